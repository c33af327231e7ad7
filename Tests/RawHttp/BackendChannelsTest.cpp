#include "RawHttp/TcpBackendChannels.h"

#include "Loop/EventLoop.h"
#include "Support/AnswerRecorder.h"
#include "Support/RawPeer.h"
#include "Support/RunUntil.h"

#include <criterion/criterion.h>
#include <utility>

using namespace turmericpass;

namespace {

struct Bench {
  BootClock Time;
  EventLoop Loop{Time};
  RawPeer Listener;
  std::uint16_t Port = Listener.listen();
  TcpBackendChannels Channels{Loop};
  AnswerRecorder Recorder;
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
  SendId send(const std::string &Id, const std::string &Method = "POST") {
    BackendRequest Request = makeRequest(Id);
    Request.Request.Method = Method;
    const SendId Sent = Channels.send(std::move(Request), Recorder);
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
    return runUntil(Loop, [&] { return Recorder.hasEnded(); });
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

// Guards against a second copy of an answer that arrives late, on a connection
// that is in use again: before the next request is written, together with its
// answer, in pieces, and without the header that identifies it.
Test(BackendChannels, SecondCopyOfAnAnswerIsNotTakenForTheNextOne) {
  const std::string First =
      "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 3\r\n\r\nold";
  const std::string Anonymous =
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold";
  for (const std::string &Copy : {First, Anonymous})
    for (std::size_t Split = 0; Split <= Copy.size(); Split += 7) {
      Bench B;
      B.send("r1");
      B.Server.write(First);
      cr_assert(B.ended());
      B.Recorder = AnswerRecorder();
      B.Server.write(Copy.substr(0, Split));
      RawPeer NewConnection;
      bool Answered = false;
      B.Channels.send(B.makeRequest("r2"), B.Recorder);
      cr_assert(runUntil(B.Loop, [&] {
        if (NewConnection.Descriptor < 0)
          NewConnection.Descriptor = B.Listener.accept();
        RawPeer &Current =
            NewConnection.Descriptor < 0 ? B.Server : NewConnection;
        Current.read();
        if (!Answered && Current.Received.ends_with("\r\n\r\nbody")) {
          Answered = true;
          if (NewConnection.Descriptor < 0)
            Current.write(Copy.substr(Split));
          Current.write(Answer);
        }
        return B.Recorder.hasEnded();
      }));
      if (Copy == First || NewConnection.Descriptor >= 0)
        cr_assert_str_eq(B.Recorder.Body.c_str(), "ok");
      else
        cr_assert(B.Recorder.Failure.has_value() && B.Recorder.Body.empty());
    }
}

// Guards against a refusal of a request that names no id, such as a check of
// the server's health, that the server writes once more on the kept connection:
// the next request, which may be running, would be told not to have run. The
// same holds for a caller's request without an id.
Test(BackendChannels, SecondCopyOfARefusalRefusesNoOtherRequest) {
  const std::string Refusal = "HTTP/1.1 503 Service Unavailable\r\n"
                              "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  for (const bool IsCheck : {true, false}) {
    Bench B;
    BackendRequest Unnamed = B.makeRequest("");
    if (IsCheck)
      Unnamed.EchoHeader.clear();
    B.Channels.send(std::move(Unnamed), B.Recorder);
    cr_assert(runUntil(B.Loop, [&] {
      if (B.Server.Descriptor < 0)
        B.Server.Descriptor = B.Listener.accept();
      else
        B.Server.read();
      return B.Server.Received.ends_with("\r\n\r\nbody");
    }));
    B.Server.Received.clear();
    B.Server.write(Refusal);
    cr_assert(B.ended());
    B.Recorder = AnswerRecorder();
    B.send("r2");
    B.Server.write(Refusal);
    cr_assert(B.ended());
    cr_assert_eq(B.Recorder.Heads, 0);
    cr_assert(B.Recorder.Failure == SendFailure::AnswerTruncated);
  }
}

// Guards against reading without end from a server that is not waited for.
Test(BackendChannels, ServerWaitsWhileItsAnswerIsNotRead) {
  Bench B;
  const SendId Id = B.send("r2");
  B.Server.write("HTTP/1.1 200 OK\r\nId: r2\r\n\r\n");
  cr_assert(runUntil(B.Loop, [&] { return B.Recorder.Heads == 1; }));
  B.Channels.setReading(Id, false);
  const std::string Piece(100'000, 'x');
  std::size_t Sent = 0;
  for (int Round = 0; Round < 200; ++Round) {
    Sent += B.Server.writeSome(Piece);
    B.Loop.runOnce(Duration(1000));
  }
  // The buffers of the sockets are full, and the process holds none of it.
  cr_assert_lt(Sent, 200 * Piece.size());
  cr_assert_lt(B.Recorder.Body.size(), Piece.size());
  B.Channels.setReading(Id, true);
  cr_assert(runUntil(B.Loop, [&] { return B.Recorder.Body.size() >= Sent; }));
  B.Server.drop();
  cr_assert(B.ended());
  cr_assert(B.Recorder.Done);
}

// Guards against answers to other requests that a VM reads without end, at full
// speed, while the request waits for its own.
Test(BackendChannels, AnswersToOtherRequestsAreSkippedUpToALimit) {
  const std::string Body(8000, 'x');
  const std::string Endless = "HTTP/1.1 200 OK\r\nId: other\r\n\r\n";
  const std::string Whole =
      "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 8000\r\n\r\n" + Body;
  for (const auto &Case :
       {std::pair(Endless, Body), std::pair(std::string(), Whole)}) {
    const std::string &Repeated = Case.second;
    Bench B;
    B.send("r2");
    B.Server.write(Case.first);
    std::size_t Sent = 0;
    cr_assert(runUntil(B.Loop, [&] {
      const std::string_view All = Repeated;
      Sent += B.Server.writeSome(All.substr(Sent % All.size()));
      return B.Recorder.hasEnded() || Sent > (std::size_t{32} << 20U);
    }));
    cr_assert(B.Recorder.Failure.has_value());
    cr_assert_eq(B.Recorder.Heads, 0);
  }
}

// Guards against heads without end: interim answers, header lines, chunk
// extensions and trailers.
Test(BackendChannels, HeadWithoutEndIsInvalid) {
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nId: r2\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> Cases = {
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"", "HTTP/1.1 103 Early\r\nA: b\r\n\r\n"},
      {"HTTP/1.1 200 ", "OK "},
      {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
      {"HTTP/1.1 200 OK\r\nA: ", "b"},
      {Chunked + "1;", "x"},
      {Chunked + "0\r\n", "A: b\r\n"}};
  for (const auto &[Start, Repeated] : Cases) {
    Bench B;
    B.send("r2");
    B.Server.write(Start);
    std::string Piece;
    while (Piece.size() < 8192)
      Piece += Repeated;
    std::size_t Sent = 0;
    cr_assert(runUntil(B.Loop, [&] {
      // A write that takes a part of the piece is continued, so that the head
      // is valid up to the limit.
      const std::string_view All = Piece;
      Sent += B.Server.writeSome(All.substr(Sent % All.size()));
      return B.Recorder.hasEnded() || Sent > (std::size_t{16} << 20U);
    }));
    cr_assert(B.Recorder.Failure.has_value(), "%s", Repeated.c_str());
    cr_assert(B.Recorder.Body.empty());
  }
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

// Guards against a wait for the body that an answer to a HEAD request announces
// but does not have.
Test(BackendChannels, AnswerToAHeadRequestEndsWithItsHead) {
  for (const std::string Header :
       {"Content-Length: 5", "Transfer-Encoding: chunked"}) {
    Bench B;
    B.send("r2", "HEAD");
    B.Server.write("HTTP/1.1 200 OK\r\nId: r2\r\n" + Header + "\r\n\r\n");
    cr_assert(B.ended());
    cr_assert(B.Recorder.Done);
    B.Recorder = AnswerRecorder();
    B.send("r2");
    B.Server.write(Answer);
    cr_assert(B.ended());
    cr_assert_str_eq(B.Recorder.Body.c_str(), "ok");
    cr_assert_eq(B.Channels.openedConnections(), 1);
  }
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
  AnswerRecorder Second;
  B.Channels.send(B.makeRequest("r3"), Second);
  cr_assert(runUntil(B.Loop, [&] { return Second.hasEnded(); }));
  cr_assert_eq(*Second.Failure, SendFailure::NotSent);
}

// Guards against a server that continues to process a request after the caller
// disconnected.
Test(BackendChannels, CancelClosesTheConnection) {
  Bench B;
  const SendId Id = B.send("r2");
  B.Channels.cancel(Id);
  cr_assert(runUntil(B.Loop, [&] { return B.Server.read(); }));
  cr_assert_not(B.Recorder.hasEnded());
}

// Guards against an answer of the store, or a view of another VM, whose body
// has no end: its receiver keeps it until it is complete.
Test(BackendChannels, BodyBeyondItsLimitFails) {
  Bench B;
  BackendRequest Request = B.makeRequest("r2");
  Request.MaxBodyBytes = 100'000;
  B.Channels.send(std::move(Request), B.Recorder);
  const std::string Chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";
  bool HeadSent = false;
  cr_assert(runUntil(B.Loop, [&] {
    if (B.Server.Descriptor < 0)
      B.Server.Descriptor = B.Listener.accept();
    if (B.Server.Descriptor < 0)
      return false;
    if (!std::exchange(HeadSent, true))
      B.Server.write("HTTP/1.1 200 OK\r\nId: r2\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n");
    B.Server.write(Chunk);
    return B.Recorder.hasEnded();
  }));
  cr_assert_eq(*B.Recorder.Failure, SendFailure::AnswerTruncated);
  cr_assert_leq(B.Recorder.Body.size(), 100'000);
}

// Guards against an answer that is given to the caller as whole and empty
// although its server stopped inside its head and closed, or inside the head of
// the answer after an interim or a late one. Plays each position.
Test(BackendChannels, ServerThatClosesInsideItsHeadGivesNoAnswer) {
  const std::string Head = "HTTP/1.1 200 OK\r\nId: r2\r\n"
                           "Content-Type: text/event-stream\r\n\r\n";
  for (const std::string &Before :
       {std::string(), std::string("HTTP/1.1 100 Continue\r\n\r\n"),
        std::string(
            "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 3\r\n\r\nold")})
    for (std::size_t Cut = 0; Cut < Head.size(); ++Cut) {
      Bench B;
      B.send("r2");
      B.Server.write(Before + Head.substr(0, Cut));
      B.Server.drop();
      cr_assert(B.ended());
      cr_assert(B.Recorder.Failure.has_value(), "cut at %zu", Cut);
      cr_assert_neq(*B.Recorder.Failure, SendFailure::NotSent);
      cr_assert_eq(B.Recorder.Heads, 0, "cut at %zu", Cut);
      cr_assert(B.Recorder.Body.empty());
    }
}

// Guards against a chunked answer that counts as whole although its server
// closed inside a chunk, between two chunks, or inside the trailers.
Test(BackendChannels, ServerThatClosesInsideItsChunksCutsTheAnswer) {
  const std::string Body = "2\r\nok\r\n3\r\nyes\r\n0\r\nTrailer: x\r\n\r\n";
  for (std::size_t Cut = 0; Cut < Body.size(); ++Cut) {
    Bench B;
    B.send("r2");
    B.Server.write("HTTP/1.1 200 OK\r\nId: r2\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n" +
                   Body.substr(0, Cut));
    B.Server.drop();
    cr_assert(B.ended());
    cr_assert_not(B.Recorder.Done, "cut at %zu", Cut);
    cr_assert_eq(*B.Recorder.Failure, SendFailure::AnswerTruncated);
  }
}
