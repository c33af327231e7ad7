#include "Node/StopPolicy.h"
#include "Support/NodeBench.h"
#include "Support/SlowPeer.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

/// The size of an answer that the kernel buffers only in part.
constexpr std::size_t DrawingBytes = 4000000;

std::string requestHead(const char *Id, const char *LimitMs) {
  return std::string("POST /r/x HTTP/1.1\r\nHost: h\r\nRequest-Id: ") + Id +
         "\r\nDeadline-Ms: " + LimitMs + "\r\nContent-Length: 4\r\n\r\n";
}

} // namespace

// Guards against requests that a stopping VM takes although it may exit before
// they are over, and that are cut without an answer: they are refused, and
// their callers can go to another VM. Shorter requests are still served.
Test(NodeStop, RequestThatComesLateIsServedOrRefused) {
  NodeBench Bench;
  RawPeer Long;
  RawPeer Short;
  Bench.connect(Long);
  Bench.connect(Short);
  Long.write(requestHead("long", "3000") + "bo");
  Short.write(requestHead("short", "500") + "bo");
  runFor(Bench.Loop, 100ms);
  Bench.Node.stop();
  // The bodies end after the load balancer has noticed the stop.
  runFor(Bench.Loop, 3s);
  Long.write("dy");
  Short.write("dy");
  const std::string Refusal = Bench.answerTo(Long);
  cr_assert(Refusal.starts_with("HTTP/1.1 503"));
  cr_assert_neq(Refusal.find("Retry-After: "), std::string::npos);
  cr_assert_neq(Refusal.find("Connection: close"), std::string::npos);
  cr_assert(
      runUntil(Bench.Loop, [&] { return Bench.callerSends().size() == 1; }));
  const SendId Send = Bench.callerSends()[0];
  Bench.Channels.head(Send, 200,
                      {{"Content-Length", "2"}, {"Server-Stamp", "s"}});
  Bench.Channels.body(Send, "ok");
  Bench.Channels.done(Send);
  cr_assert(Bench.answerTo(Short).starts_with("HTTP/1.1 200"));
}

// Guards against requests that are cut without an answer at the end of a stop:
// a request that a server may have run gets a final answer that says no more
// than that, and the process exits in time.
Test(NodeStop, RequestThatOutlastsTheStopGetsAFinalAnswer) {
  NodeBench Bench;
  RawPeer Caller;
  Bench.connect(Caller);
  Caller.write(requestHead("slow", "15000") + "body");
  cr_assert(
      runUntil(Bench.Loop, [&] { return Bench.callerSends().size() == 1; }));
  Bench.Node.stop();
  const Instant StopBegan = Bench.Time.now();
  Bench.Loop.run();
  cr_assert_lt(Bench.Time.now() - StopBegan, Duration(5s));
  Caller.read();
  cr_assert(Caller.Received.starts_with("HTTP/1.1 504"), "got: %s",
            Caller.Received.c_str());
}

// Guards against answers that are cut in a stop although their callers take
// them: one that a server completed before the stop and that is taken until
// after idle connections are closed (2.6 s), and a stream that ends between the
// time of the final answers (4.45 s) and the exit (4.7 s).
Test(NodeStop, AnswersThatCallersTakeAreDelivered) {
  NodeBench Bench;
  const std::string Drawing = std::string(DrawingBytes - 3, 'x') + "end";
  SlowPeer Plain;
  RawPeer Streaming;
  Plain.connect(NodeBench::portOf(Bench.Config.FrontAddress));
  Plain.write(requestHead("plain", "15000") + "body");
  cr_assert(
      runUntil(Bench.Loop, [&] { return Bench.callerSends().size() == 1; }));
  Bench.connect(Streaming);
  Streaming.write(requestHead("stream", "15000") + "body");
  cr_assert(
      runUntil(Bench.Loop, [&] { return Bench.callerSends().size() == 2; }));
  const SendId PlainSend = Bench.callerSends()[0];
  const SendId Stream = Bench.callerSends()[1];
  Bench.Channels.head(PlainSend, 200, {{"Server-Stamp", "s"}});
  Bench.Channels.body(PlainSend, Drawing);
  Bench.Channels.done(PlainSend);
  Bench.Channels.head(
      Stream, 200,
      {{"Content-Type", "text/event-stream"}, {"Server-Stamp", "s"}});
  Bench.Channels.body(Stream, "data: a\n\n");
  Bench.Node.stop();
  const Instant StopBegan = Bench.Time.now();
  bool Ended = false;
  bool Closed = false;
  Bench.Loop.every(10ms, [&] {
    const Duration Since = Bench.Time.now() - StopBegan;
    if (!Closed)
      Closed = Plain.readSome(Since < 2800ms ? 5000 : 30000);
    if (!Ended && Since < 4580ms)
      Bench.Channels.body(Stream, "data: a\n\n");
    else if (!std::exchange(Ended, true)) {
      Bench.Channels.body(Stream, "data: b\n\n");
      Bench.Channels.done(Stream);
    }
  });
  Bench.Loop.run();
  Streaming.read();
  cr_assert(Streaming.Received.ends_with("data: b\n\n\r\n0\r\n\r\n"));
  while (!Plain.readSome(65536) && Plain.Received.size() < Drawing.size())
    ;
  cr_assert(Plain.hasReceived("end"));
  cr_assert_lt(Bench.Time.now() - StopBegan, Duration(5s));
}

// Checks at each moment of stops of different lengths that what may start is
// over before the process exits, and that the stop goes through its steps.
Test(StopPolicy, NothingStartsThatOutlastsTheProcess) {
  for (const Duration Timeout : {Duration(4s), Duration(8s), Duration(30s)})
    for (Duration Since(0); Since < Timeout; Since += 100ms) {
      const StopPolicy Policy(Since, Timeout);
      Duration Longest(0);
      while (Longest <= 60s && Policy.mayStart(Longest))
        Longest += 100ms;
      // Until the load balancer has noticed the stop, callers are served.
      if (Since < 2600ms)
        cr_assert_gt(Longest, Duration(60s));
      else
        cr_assert_leq(Since + Longest, Timeout);
      if (Policy.mustExit(false))
        cr_assert(Policy.mustAnswerAll());
      cr_assert_eq(Policy.mustExit(false), Since >= Timeout - 300ms);
      if (Policy.mayCloseListener())
        cr_assert(Policy.mayCloseIdleConnections());
    }
}
