#include "RawHttp/TcpBackendChannels.h"

#include "Loop/EventLoop.h"
#include "Support/RawPeer.h"
#include "Support/RunUntil.h"

#include <criterion/criterion.h>

using namespace turmericpass;

namespace {

struct RecordingHandler : public SendHandler {
  int Heads = 0;
  std::string Body;
  bool Done = false;
  std::optional<SendFailure> Failure;
  void answerHead(SendId, const RawHead &) override { ++this->Heads; }
  void answerBody(SendId, std::string_view Bytes) override {
    this->Body += Bytes;
  }
  void answerDone(SendId) override { this->Done = true; }
  void sendFailed(SendId, SendFailure Why, std::string_view) override {
    this->Failure = Why;
  }
  bool ended() const { return this->Done || this->Failure.has_value(); }
};

struct Bench {
  BootClock Time;
  EventLoop Loop{Time};
  RawPeer Listener;
  std::uint16_t Port = Listener.listen();
  TcpBackendChannels Channels{Loop};
  RecordingHandler Recorder;
  RawPeer Server;

  BackendRequest makeRequest(const std::string &Id) {
    BackendRequest Request;
    Request.Address = "127.0.0.1:" + std::to_string(Port);
    Request.Request.Method = "POST";
    Request.Request.Target = "/x";
    Request.Request.Body = "body";
    Request.EchoHeader = "Id";
    Request.EchoValue = Id;
    return Request;
  }
  /// Sends a request and waits until the server has it.
  SendId send(const std::string &Id) {
    const SendId Sent = Channels.send(makeRequest(Id), Recorder);
    cr_assert(runUntil(Loop, [&] {
      if (Server.Descriptor < 0)
        Server.Descriptor = Listener.accept();
      if (Server.Descriptor >= 0)
        Server.read();
      return Server.Received.ends_with("\r\n\r\nbody");
    }));
    Server.Received.clear();
    return Sent;
  }
  bool ended() {
    return runUntil(Loop, [&] { return Recorder.ended(); });
  }
};

const std::string Answer =
    "HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 2\r\n\r\nok";

} // namespace

// Guards against an answer to an earlier request being delivered as the answer
// to the next request.
Test(BackendChannels, LateAnswerToAnotherRequestIsSkipped) {
  Bench B;
  B.send("r2");
  B.Server.write("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 3\r\n\r\nold");
  B.Server.write(Answer);
  cr_assert(B.ended());
  cr_assert(B.Recorder.Done);
  cr_assert_str_eq(B.Recorder.Body.c_str(), "ok");
  cr_assert_eq(B.Recorder.Heads, 1);
}

// Guards against the reuse of a connection on which bytes were received that
// belong to no request.
Test(BackendChannels, ConnectionWithExtraBytesIsNotUsedAgain) {
  Bench B;
  B.send("r2");
  B.Server.write(Answer + "extra");
  cr_assert(B.ended());
  cr_assert_not(B.Channels.hasIdleConnection(B.makeRequest("").Address));
}

// Guards against a needless new connection for each request.
Test(BackendChannels, ConnectionIsUsedAgain) {
  Bench B;
  B.send("r2");
  B.Server.write(Answer);
  cr_assert(B.ended());
  cr_assert(B.Channels.hasIdleConnection(B.makeRequest("").Address));
  B.send("r2");
  cr_assert_eq(B.Channels.openedConnections(), 1);
}

// Guards against a request being reported as not run although it may have run.
Test(BackendChannels, ResetAfterTheRequestMeansThatItMayHaveRun) {
  Bench B;
  B.send("r2");
  B.Server.reset();
  cr_assert(B.ended());
  cr_assert_eq(*B.Recorder.Failure, SendFailure::Unanswered);
}

// Guards against a request being reported as sent although no server accepted
// the connection.
Test(BackendChannels, RefusedConnectionMeansNotSent) {
  Bench B;
  B.Listener.drop();
  B.Channels.send(B.makeRequest("r2"), B.Recorder);
  cr_assert(B.ended());
  cr_assert_eq(*B.Recorder.Failure, SendFailure::NotSent);
}

// Guards against a connection reset being treated as the end of an answer
// without a declared length.
Test(BackendChannels, ResetAnswerWithoutLengthIsCut) {
  Bench B;
  B.send("r2");
  B.Server.write("HTTP/1.1 200 OK\r\nId: r2\r\n\r\npart");
  cr_assert(runUntil(B.Loop, [&] { return B.Recorder.Body == "part"; }));
  B.Server.reset();
  cr_assert(B.ended());
  cr_assert_eq(*B.Recorder.Failure, SendFailure::AnswerTruncated);
}

// Guards against the loss of an answer that the server ends by closing the
// connection.
Test(BackendChannels, ClosedAnswerWithoutLengthIsWhole) {
  Bench B;
  B.send("r2");
  B.Server.write("HTTP/1.1 200 OK\r\nId: r2\r\n\r\nwhole");
  B.Server.drop();
  cr_assert(B.ended());
  cr_assert(B.Recorder.Done);
  cr_assert_str_eq(B.Recorder.Body.c_str(), "whole");
}

// Guards against a request that waits without end for a connection when the
// connection limit is reached.
Test(BackendChannels, ConnectionLimitFailsAtOnce) {
  Bench B;
  B.Channels.setConnectionLimit(B.makeRequest("").Address, 1);
  B.send("r2");
  RecordingHandler Second;
  B.Channels.send(B.makeRequest("r3"), Second);
  cr_assert(runUntil(B.Loop, [&] { return Second.ended(); }));
  cr_assert_eq(*Second.Failure, SendFailure::NotSent);
}

// Guards against a server that continues to process a request after the caller
// disconnected.
Test(BackendChannels, CancelClosesTheConnection) {
  Bench B;
  const SendId Id = B.send("r2");
  B.Channels.cancel(Id);
  cr_assert(runUntil(B.Loop, [&] { return B.Server.read(); }));
  cr_assert_not(B.Recorder.ended());
}
