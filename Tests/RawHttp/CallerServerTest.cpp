#include "RawHttp/CallerServer.h"

#include "Loop/EventLoop.h"
#include "Support/RawPeer.h"
#include "Support/RunUntil.h"

#include <criterion/criterion.h>
#include <vector>

using namespace turmericpass;

namespace {

struct Handler : public CallerHandler {
  std::vector<std::pair<CallerId, RawRequest>> Requests;
  std::vector<CallerId> Left;
  void requested(CallerId Id, RawRequest Request) override {
    this->Requests.emplace_back(Id, std::move(Request));
  }
  void callerDisconnected(CallerId Id) override { this->Left.push_back(Id); }
};

struct Bench {
  BootClock Time;
  EventLoop Loop{Time};
  Handler Told;
  CallerServer Server{Loop, Told};
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
    return runUntil(Loop, [&] { return Told.Requests.size() >= Count; });
  }
  bool closed() {
    return runUntil(Loop, [&] { return Caller.read(); });
  }
};

} // namespace

// Guards against an answer that is cut because its connection is closed as soon
// as it opens for writing.
Test(CallerServer, AnswerWithConnectionCloseIsWrittenBeforeTheClose) {
  Bench B;
  B.Caller.write("GET /r HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  cr_assert(B.requests(1));
  B.Server.reply(B.Told.Requests[0].first, 200, {}, "ready");
  cr_assert(B.closed());
  cr_assert(B.Caller.Received.starts_with("HTTP/1.1 200 OK\r\n"));
  cr_assert(B.Caller.Received.ends_with("\r\n\r\nready"));
}

// Guards against a request that is lost because it came behind another one.
Test(CallerServer, RequestsOnOneConnectionAreAnsweredInTurn) {
  Bench B;
  B.Caller.write("POST /1 HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"
                 "GET /2 HTTP/1.1\r\n\r\n");
  cr_assert(B.requests(1));
  cr_assert_str_eq(B.Told.Requests[0].second.Body.c_str(), "ab");
  B.Server.reply(B.Told.Requests[0].first, 200, {}, "");
  cr_assert(B.requests(2));
  cr_assert_str_eq(B.Told.Requests[1].second.Target.c_str(), "/2");
}

// Guards against work for a caller that has gone.
Test(CallerServer, CallerThatLeavesIsReported) {
  Bench B;
  B.Caller.write("GET /1 HTTP/1.1\r\n\r\n");
  cr_assert(B.requests(1));
  B.Caller.drop();
  cr_assert(runUntil(B.Loop, [&] { return B.Told.Left.size() == 1; }));
  cr_assert_eq(B.Server.openRequests(), 0);
}

// Guards against a stream that looks complete although it was broken off.
Test(CallerServer, BrokenStreamHasNoEnd) {
  Bench B;
  B.Caller.write("GET /1 HTTP/1.1\r\n\r\n");
  cr_assert(B.requests(1));
  const CallerId Id = B.Told.Requests[0].first;
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

// Guards against a body that takes more memory than the operator allows.
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
  cr_assert(B.Told.Requests.empty());
}

// Guards against callers that are kept on a VM that stops.
Test(CallerServer, DrainingEndsEachConnectionWithItsAnswer) {
  Bench B;
  B.Caller.write("GET /1 HTTP/1.1\r\n\r\n");
  cr_assert(B.requests(1));
  B.Server.startDraining();
  B.Server.reply(B.Told.Requests[0].first, 200, {}, "x");
  cr_assert(B.closed());
  cr_assert_neq(B.Caller.Received.find("Connection: close"), std::string::npos);
  RawPeer Idle;
  Idle.connect(B.Port);
  cr_assert(runUntil(B.Loop, [&] { return B.Server.openConnections() >= 1; }));
  B.Server.closeListener();
  B.Server.closeIdleConnections();
  cr_assert(runUntil(B.Loop, [&] { return Idle.read(); }));
}
