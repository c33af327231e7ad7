#include "RawHttp/CallerServer.h"

#include "Loop/EventLoop.h"
#include "Support/RawPeer.h"
#include "Support/RunUntil.h"

#include <chrono>
#include <criterion/criterion.h>
#include <stdexcept>
#include <vector>

using namespace turmericpass;

namespace {

struct RecordingHandler : public CallerHandler {
  std::vector<std::pair<CallerId, RawRequest>> Requests;
  std::vector<CallerId> Disconnected;
  void requestReceived(CallerId Id, RawRequest Request) override {
    if (Request.Target == "/throws")
      throw std::runtime_error("thrown by the test");
    this->Requests.emplace_back(Id, std::move(Request));
  }
  void callerDisconnected(CallerId Id) override {
    this->Disconnected.push_back(Id);
  }
};

struct Bench {
  BootClock Time;
  EventLoop Loop{Time};
  RecordingHandler Recorder;
  CallerServer Server{Loop, Recorder};
  RawPeer Caller;
  std::uint16_t Port = 0;

  Bench() {
    {
      RawPeer Free;
      Port = Free.listen();
    }
    cr_assert(Server.listen("127.0.0.1:" + std::to_string(Port)));
    Caller.connect(Port);
  }
  bool requests(std::size_t Count) {
    return runUntil(Loop, [&] { return Recorder.Requests.size() >= Count; });
  }
  bool closed() {
    return runUntil(Loop, [&] { return Caller.read(); });
  }
};

} // namespace

// Guards against a truncated answer, which happens if the connection is closed
// at the first write event, before the answer is written.
Test(CallerServer, AnswerWithConnectionCloseIsWrittenBeforeTheClose) {
  Bench B;
  B.Caller.write("GET /r HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  cr_assert(B.requests(1));
  B.Server.reply(B.Recorder.Requests[0].first, 200, {}, "ready");
  cr_assert(B.closed());
  cr_assert(B.Caller.Received.starts_with("HTTP/1.1 200 OK\r\n"));
  cr_assert(B.Caller.Received.ends_with("\r\n\r\nready"));
}

// Guards against the loss of a request that was received together with the
// preceding request.
Test(CallerServer, RequestsOnOneConnectionAreAnsweredInTurn) {
  Bench B;
  B.Caller.write("POST /1 HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"
                 "GET /2 HTTP/1.1\r\n\r\n");
  cr_assert(B.requests(1));
  cr_assert_str_eq(B.Recorder.Requests[0].second.Body.c_str(), "ab");
  B.Server.reply(B.Recorder.Requests[0].first, 200, {}, "");
  cr_assert(B.requests(2));
  cr_assert_str_eq(B.Recorder.Requests[1].second.Target.c_str(), "/2");
}

// Guards against processing a request whose caller has disconnected.
Test(CallerServer, CallerThatLeavesIsReported) {
  Bench B;
  B.Caller.write("GET /1 HTTP/1.1\r\n\r\n");
  cr_assert(B.requests(1));
  B.Caller.drop();
  cr_assert(
      runUntil(B.Loop, [&] { return B.Recorder.Disconnected.size() == 1; }));
  cr_assert_eq(B.Server.openRequests(), 0);
}

// Guards against an aborted stream that appears complete to the caller.
Test(CallerServer, BrokenStreamHasNoEnd) {
  Bench B;
  B.Caller.write("GET /1 HTTP/1.1\r\n\r\n");
  cr_assert(B.requests(1));
  const CallerId Id = B.Recorder.Requests[0].first;
  B.Server.sendHead(Id, 200, {}, std::nullopt);
  B.Server.sendPiece(Id, "data: a\n\n");
  runUntil(B.Loop, [&] {
    B.Caller.read();
    return B.Caller.Received.ends_with("data: a\n\n\r\n");
  });
  B.Server.abortAnswer(Id);
  cr_assert(B.closed());
  cr_assert_eq(B.Caller.Received.find("0\r\n\r\n"), std::string::npos);
}

// Guards against a request body that takes more memory than the configured
// limit.
Test(CallerServer, OversizedBodiesAndBadHeadsAreRefused) {
  Bench B;
  CallerLimits Limits;
  Limits.BodyBytes = 10;
  B.Server.setLimits(Limits);
  B.Caller.write("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\nabcdefghijk");
  cr_assert(B.closed());
  cr_assert(B.Caller.Received.starts_with("HTTP/1.1 413 "));
  RawPeer Bad;
  Bad.connect(B.Port);
  Bad.write("nonsense\r\n\r\n");
  cr_assert(runUntil(B.Loop, [&] { return Bad.read(); }));
  cr_assert(Bad.Received.starts_with("HTTP/1.1 400 "));
  cr_assert(B.Recorder.Requests.empty());
}

// Guards against callers whose connections to a stopping VM stay open.
Test(CallerServer, DrainingEndsEachConnectionWithItsAnswer) {
  Bench B;
  B.Caller.write("GET /1 HTTP/1.1\r\n\r\n");
  cr_assert(B.requests(1));
  B.Server.startDraining();
  B.Server.reply(B.Recorder.Requests[0].first, 200, {}, "x");
  cr_assert(B.closed());
  cr_assert_neq(B.Caller.Received.find("Connection: close"), std::string::npos);
  RawPeer Idle;
  Idle.connect(B.Port);
  cr_assert(runUntil(B.Loop, [&] { return B.Server.openConnections() >= 1; }));
  B.Server.closeListener();
  B.Server.closeIdleConnections();
  cr_assert(runUntil(B.Loop, [&] { return Idle.read(); }));
}

// Guards against one unexpected error that takes the process, or the other
// connections, down.
Test(CallerServer, UnexpectedErrorEndsOneConnectionOnly) {
  Bench B;
  int Errors = 0;
  B.Loop.setErrorHandler([&](std::string_view) { ++Errors; });
  RawPeer Other;
  Other.connect(B.Port);
  Other.write("GET /1 HTTP/1.1\r\n\r\n");
  cr_assert(B.requests(1));
  B.Caller.write("GET /throws HTTP/1.1\r\n\r\n");
  cr_assert(B.closed());
  cr_assert_eq(Errors, 1);
  B.Loop.after(Duration(0), [] { throw std::runtime_error("in a timer"); });
  cr_assert(runUntil(B.Loop, [&] { return Errors == 2; }));
  B.Server.reply(B.Recorder.Requests[0].first, 200, {}, "alive");
  cr_assert(runUntil(B.Loop, [&] {
    Other.read();
    return Other.Received.ends_with("alive");
  }));
}

// Guards against a body without end: it is refused as soon as it exceeds the
// limit, and the connection does not stay open for the rest.
Test(CallerServer, BodyWithoutEndIsRefusedAtOnce) {
  Bench B;
  CallerLimits Limits;
  Limits.BodyBytes = 1000;
  B.Server.setLimits(Limits);
  B.Caller.write("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string Chunk = "64\r\n" + std::string(100, 'x') + "\r\n";
  cr_assert(runUntil(B.Loop, [&] {
    B.Caller.writeSome(Chunk);
    B.Caller.read();
    return B.Caller.Received.starts_with("HTTP/1.1 413 ");
  }));
  cr_assert(runUntil(B.Loop, [&] { return B.Server.openConnections() == 0; }));
}

// Guards against a caller that holds a request open by a byte now and then,
// while one that sends slowly but steadily is served.
Test(CallerServer, TricklingRequestTimesOut) {
  Bench B;
  CallerLimits Limits;
  Limits.RequestTime = std::chrono::milliseconds(700);
  B.Server.setLimits(Limits);
  RawPeer Head;
  Head.connect(B.Port);
  Head.write("GET /1 HTTP/1.1\r\nA: ");
  RawPeer Body;
  Body.connect(B.Port);
  Body.write("POST /2 HTTP/1.1\r\nContent-Length: 100000\r\n\r\n");
  RawPeer Steady;
  Steady.connect(B.Port);
  Steady.write("POST /3 HTTP/1.1\r\nContent-Length: 6000\r\n\r\n");
  const std::string Piece(600, 'x');
  for (int Step = 0; Step < 10; ++Step) {
    Head.writeSome("x");
    Body.writeSome("x");
    Steady.writeSome(Piece);
    runFor(B.Loop, std::chrono::milliseconds(200));
  }
  cr_assert(runUntil(B.Loop, [&] { return Head.read() && Body.read(); }));
  cr_assert(Head.Received.starts_with("HTTP/1.1 408 "));
  cr_assert(Body.Received.starts_with("HTTP/1.1 408 "));
  cr_assert(B.requests(1));
  cr_assert_str_eq(B.Recorder.Requests[0].second.Target.c_str(), "/3");
}
