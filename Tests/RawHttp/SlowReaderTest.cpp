#include "Loop/EventLoop.h"
#include "RawHttp/CallerServer.h"
#include "RawHttp/OutputProgress.h"
#include "Support/RunUntil.h"
#include "Support/SlowPeer.h"

#include <criterion/criterion.h>
#include <vector>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

/// The time since boot, and what the test adds to it.
class AheadClock : public Clock {
public:
  Instant now() const override { return this->Real.now() + this->Ahead; }
  std::int64_t wallMillis() const override { return this->Real.wallMillis(); }
  Duration Ahead = Duration(0);

private:
  BootClock Real;
};

/// More than the kernel buffers for a connection.
const std::string Drawing = std::string(std::size_t{12} << 20U, 'x') + "end";

struct Bench : public CallerHandler {
  AheadClock Time;
  EventLoop Loop{Time};
  CallerServer Server{Loop, *this};
  SlowPeer Caller;
  std::vector<CallerId> Requests;
  std::vector<CallerId> Left;
  std::uint16_t Port = 0;

  Bench() {
    {
      RawPeer Free;
      this->Port = Free.listen();
    }
    cr_assert(this->Server.listen("127.0.0.1:" + std::to_string(this->Port)));
    this->Caller.connect(this->Port);
  }
  void requestReceived(CallerId Id, RawRequest) override {
    this->Requests.push_back(Id);
  }
  void callerDisconnected(CallerId Id) override { this->Left.push_back(Id); }

  /// Sends a request and returns its id.
  CallerId request() {
    const std::size_t Before = this->Requests.size();
    this->Caller.write("GET /1 HTTP/1.1\r\n\r\n");
    cr_assert(
        runUntil(this->Loop, [&] { return this->Requests.size() > Before; }));
    return this->Requests.back();
  }
  /// Sends a request that is answered with Drawing.
  void requestDrawing() {
    this->Server.reply(this->request(), 200, {}, Drawing);
  }
  /// Reads for at least \p Span, at a rate at which Drawing takes about 3 s.
  void readFor(Duration Span) {
    const Instant End = this->Time.now() + Span;
    while (this->Time.now() < End) {
      runFor(this->Loop, 10ms);
      this->Caller.readSome(40000);
    }
  }
  /// Reads to the end of the connection.
  bool readToEnd() {
    return runUntil(this->Loop, [&] { return this->Caller.readSome(200000); });
  }
  bool hasNoConnection() {
    return runUntil(this->Loop,
                    [&] { return this->Server.openConnections() == 0; });
  }
};

} // namespace

// Guards against answers that are cut at a stop because their connections
// count as idle while most of the answer waits to be sent (review/1).
Test(SlowReader, StopClosesTheConnectionAfterTheAnswerIsTaken) {
  Bench B;
  B.requestDrawing();
  B.Server.startDraining();
  for (int Step = 0; Step < 10; ++Step) {
    B.Server.closeIdleConnections();
    B.readFor(100ms);
  }
  cr_assert_lt(B.Caller.Received.size(), Drawing.size());
  cr_assert(runUntil(B.Loop, [&] {
    B.Server.closeIdleConnections();
    return B.Caller.readSome(200000);
  }));
  cr_assert(B.Caller.hasReceived("end"));
  cr_assert(B.hasNoConnection());
}

// Guards against a stream whose last events are cut at a stop.
Test(SlowReader, StopDeliversTheRestOfAStream) {
  Bench B;
  const CallerId Id = B.request();
  B.Server.sendHead(Id, 200, {}, std::nullopt);
  B.Server.sendPiece(Id, Drawing);
  B.Server.startDraining();
  B.Server.closeIdleConnections();
  B.readFor(500ms);
  B.Server.finish(Id);
  B.Server.closeIdleConnections();
  cr_assert(B.readToEnd());
  cr_assert(B.Caller.hasReceived("end\r\n0\r\n\r\n"));
}

// Guards against an idle timeout, unchanged or new, that cuts an answer that
// takes longer, and against one that no longer ends idle connections.
Test(SlowReader, IdleTimeBeginsWhenTheAnswerIsTaken) {
  Bench B;
  B.requestDrawing();
  CallerLimits Limits;
  Limits.IdleTime = 300ms;
  B.Server.setLimits(Limits);
  B.readFor(1500ms);
  cr_assert_lt(B.Caller.Received.size(), Drawing.size());
  cr_assert(B.readToEnd());
  cr_assert(B.Caller.hasReceived("end"));
}

// Guards against the kernel's limit for unresponsive peers (2.5 s), which also
// closes the connection of a caller that pauses.
Test(SlowReader, PauseOfSomeSecondsCutsNothing) {
  Bench B;
  B.requestDrawing();
  runFor(B.Loop, 6s);
  B.Caller.write("GET /2 HTTP/1.1\r\nConnection: close\r\n\r\n");
  cr_assert(runUntil(B.Loop, [&] {
    B.Caller.readSome(200000);
    return B.Requests.size() == 2;
  }));
  B.Server.reply(B.Requests.back(), 200, {}, "second");
  cr_assert(B.readToEnd());
  cr_assert(B.Caller.hasReceived("endHTTP/1.1 200 OK\r\nContent-Length: "
                                 "6\r\nConnection: close\r\n\r\nsecond"));
}

// Guards against callers that hold their answers for ever: one that takes
// nothing is disconnected, with its answer complete or not, and its request is
// ended.
Test(SlowReader, CallerThatTakesNothingIsDisconnected) {
  Bench B;
  SlowPeer Streaming;
  Streaming.connect(B.Port);
  Streaming.write("GET /s HTTP/1.1\r\n\r\n");
  cr_assert(runUntil(B.Loop, [&] { return B.Requests.size() == 1; }));
  const CallerId Stream = B.Requests[0];
  B.Server.sendHead(Stream, 200, {}, std::nullopt);
  B.Server.sendPiece(Stream, Drawing);
  B.requestDrawing();
  runFor(B.Loop, 700ms);
  B.Time.Ahead = OutputProgress::UnreadTime - 2s;
  runFor(B.Loop, 700ms);
  cr_assert_eq(B.Server.openConnections(), 2);
  B.Time.Ahead = OutputProgress::UnreadTime + 2s;
  // The kernel's own limit ends the connections some seconds later.
  runFor(B.Loop, 1500ms);
  cr_assert_eq(B.Server.openConnections(), 0);
  cr_assert_eq(B.Left.size(), 1);
  cr_assert_eq(B.Left[0], Stream);
}

// Guards against an answer that is dropped because its caller has closed its
// sending side, which it may do as it sends nothing more.
Test(SlowReader, CallerThatSendsNothingMoreGetsItsAnswer) {
  Bench B;
  B.requestDrawing();
  shutdown(B.Caller.Descriptor, SHUT_WR);
  B.readFor(300ms);
  cr_assert(B.readToEnd());
  cr_assert(B.Caller.hasReceived("end"));
  cr_assert(B.hasNoConnection());
}

// Guards against a request limit that is in force while the answer before the
// request is being taken, and against one that is lost afterwards.
Test(SlowReader, PartOfTheNextRequestCutsNothing) {
  Bench B;
  CallerLimits Limits;
  Limits.RequestTime = 300ms;
  B.Server.setLimits(Limits);
  B.requestDrawing();
  B.Caller.write("GET /2 HT");
  B.readFor(1500ms);
  cr_assert(B.readToEnd());
  cr_assert_neq(B.Caller.Received.find("endHTTP/1.1 408 "), std::string::npos);
}

// Guards against a sum of unsent bytes that drifts, which would pause all
// answers or none.
Test(SlowReader, SumOfUnsentBytesFollowsTheBuffers) {
  Bench B;
  cr_assert_eq(B.Server.totalUnsentBytes(), 0);
  B.requestDrawing();
  cr_assert_gt(B.Server.totalUnsentBytes(), Drawing.size());
  B.readFor(300ms);
  cr_assert_lt(B.Server.totalUnsentBytes(), Drawing.size());
  const std::size_t One = B.Server.totalUnsentBytes();
  SlowPeer Other;
  Other.connect(B.Port);
  Other.write("GET /2 HTTP/1.1\r\n\r\n");
  cr_assert(runUntil(B.Loop, [&] { return B.Requests.size() == 2; }));
  B.Server.reply(B.Requests.back(), 200, {}, Drawing);
  cr_assert_gt(B.Server.totalUnsentBytes(), One + Drawing.size() / 2);
  Other.reset();
  cr_assert(runUntil(B.Loop, [&] { return B.Server.openConnections() == 1; }));
  cr_assert_leq(B.Server.totalUnsentBytes(), One);
  cr_assert(runUntil(B.Loop, [&] {
    B.Caller.readSome(200000);
    return B.Caller.hasReceived("end");
  }));
  cr_assert_eq(B.Server.totalUnsentBytes(), 0);
}

// Checks that each taken byte extends the time, and that output after a pause
// without output starts a new one.
Test(OutputProgress, CallerHasTimeFromTheLastTakenByte) {
  ManualClock Time;
  OutputProgress Output(Time.now());
  Time.advance(1h);
  Output.recordWritten(100, Time.now());
  cr_assert_not(Output.hasStopped(Time.now()));
  for (int Step = 0; Step < 5; ++Step) {
    Time.advance(OutputProgress::UnreadTime - 1ms);
    cr_assert_not(Output.hasStopped(Time.now()));
    // Bytes that are added are no progress of the caller.
    Output.recordWritten(1, Time.now());
    Output.recordUntaken(100, Time.now());
  }
  Time.advance(OutputProgress::UnreadTime);
  Output.recordWritten(1, Time.now());
  Output.recordUntaken(101, Time.now());
  cr_assert(Output.hasStopped(Time.now()));
  Output.recordUntaken(0, Time.now());
  cr_assert(Output.isAllTaken());
  Time.advance(1h);
  cr_assert_not(Output.hasStopped(Time.now()));
}

// Checks that a peer that acknowledges window probes is not taken for one whose
// packets get lost.
Test(OutputProgress, PeerThatDoesNotReadIsNotUnresponsive) {
  PeerState Peer;
  Peer.Unacknowledged = 5;
  Peer.SinceAcknowledgement = 3s;
  cr_assert_not(Peer.isUnresponsive());
  Peer.UnansweredPackets = 1;
  cr_assert_not(Peer.isUnresponsive());
  Peer.UnansweredPackets = 2;
  cr_assert(Peer.isUnresponsive());
  Peer.SinceAcknowledgement = 1s;
  cr_assert_not(Peer.isUnresponsive());
}
