#include "RawHttp/TcpBackendChannels.h"

#include "Loop/EventLoop.h"
#include "Support/RawPeer.h"
#include "Support/RunUntil.h"

#include <criterion/criterion.h>

using namespace turmericpass;

namespace {

struct Handler : public SendHandler {
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
  Handler Told;
  RawPeer Server;

  BackendRequest order(const std::string &Id) {
    BackendRequest Order;
    Order.Address = "127.0.0.1:" + std::to_string(Port);
    Order.Request.Method = "POST";
    Order.Request.Target = "/x";
    Order.Request.Body = "body";
    Order.EchoHeader = "Id";
    Order.EchoValue = Id;
    return Order;
  }
  /// Sends a request and waits until the server has it.
  SendId send(const std::string &Id) {
    const SendId Sent = Channels.send(order(Id), Told);
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
    return runUntil(Loop, [&] { return Told.ended(); });
  }
};

const std::string Answer =
    "HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 2\r\n\r\nok";

} // namespace

// Guards against an answer to an earlier request that is handed to the next
// one.
Test(BackendChannels, LateAnswerToAnotherRequestIsSkipped) {
  Bench B;
  B.send("r2");
  B.Server.write("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 3\r\n\r\nold");
  B.Server.write(Answer);
  cr_assert(B.ended());
  cr_assert(B.Told.Done);
  cr_assert_str_eq(B.Told.Body.c_str(), "ok");
  cr_assert_eq(B.Told.Heads, 1);
}

// Guards against a connection that is used again although its bytes do not
// belong to any request.
Test(BackendChannels, ConnectionWithExtraBytesIsNotUsedAgain) {
  Bench B;
  B.send("r2");
  B.Server.write(Answer + "extra");
  cr_assert(B.ended());
  cr_assert_not(B.Channels.hasIdleConnection(B.order("").Address));
}

// Guards against a needless new connection for each request.
Test(BackendChannels, ConnectionIsUsedAgain) {
  Bench B;
  B.send("r2");
  B.Server.write(Answer);
  cr_assert(B.ended());
  cr_assert(B.Channels.hasIdleConnection(B.order("").Address));
  B.send("r2");
  cr_assert_eq(B.Channels.opened(), 1);
}

// Guards against "not run" being said of a request that may have run.
Test(BackendChannels, ResetAfterTheRequestMeansThatItMayHaveRun) {
  Bench B;
  B.send("r2");
  B.Server.reset();
  cr_assert(B.ended());
  cr_assert_eq(*B.Told.Failure, SendFailure::Unanswered);
}

// Guards against a request that counts as sent although nobody took it.
Test(BackendChannels, RefusedConnectionMeansNotSent) {
  Bench B;
  B.Listener.drop();
  B.Channels.send(B.order("r2"), B.Told);
  cr_assert(B.ended());
  cr_assert_eq(*B.Told.Failure, SendFailure::NotSent);
}

// Guards against a reset that passes for the end of an answer without length.
Test(BackendChannels, ResetAnswerWithoutLengthIsCut) {
  Bench B;
  B.send("r2");
  B.Server.write("HTTP/1.1 200 OK\r\nId: r2\r\n\r\npart");
  cr_assert(runUntil(B.Loop, [&] { return B.Told.Body == "part"; }));
  B.Server.reset();
  cr_assert(B.ended());
  cr_assert_eq(*B.Told.Failure, SendFailure::AnswerTruncated);
}

// Guards against a lost answer where the server ends it by an orderly close.
Test(BackendChannels, ClosedAnswerWithoutLengthIsWhole) {
  Bench B;
  B.send("r2");
  B.Server.write("HTTP/1.1 200 OK\r\nId: r2\r\n\r\nwhole");
  B.Server.drop();
  cr_assert(B.ended());
  cr_assert(B.Told.Done);
  cr_assert_str_eq(B.Told.Body.c_str(), "whole");
}

// Guards against callers that wait for a connection that will not come.
Test(BackendChannels, ConnectionLimitFailsAtOnce) {
  Bench B;
  B.Channels.setConnectionLimit(B.order("").Address, 1);
  B.send("r2");
  Handler Second;
  B.Channels.send(B.order("r3"), Second);
  cr_assert(runUntil(B.Loop, [&] { return Second.ended(); }));
  cr_assert_eq(*Second.Failure, SendFailure::NotSent);
}

// Guards against a server that works on for a caller that has gone.
Test(BackendChannels, CancelClosesTheConnection) {
  Bench B;
  const SendId Id = B.send("r2");
  B.Channels.cancel(Id);
  cr_assert(runUntil(B.Loop, [&] { return B.Server.read(); }));
  cr_assert_not(B.Told.ended());
}
