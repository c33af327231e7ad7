#include "Support/GatewayBench.h"

#include <nlohmann/json.hpp>

using namespace turmericpass;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr const char *PeerA = GatewayBench::PeerA;

std::string executionOf(const HttpReply &Reply) {
  return json::parse(Reply.Body)["execution"];
}

Finish successfulFinish(const Submit &Work) {
  Finish Ending = finishOf(Work, FinishCode::Ok, Execution::Ran);
  Ending.Status = 201;
  Ending.ContentType = "text/plain";
  Ending.Body = "made";
  return Ending;
}

} // namespace

// Guards against submitting work before its intent is stored.
Test(Intent, NothingIsSentBeforeTheRowIsWon) {
  GatewayBench Bench;
  Bench.Intents.Held = true;
  const auto Caller = Bench.call(order("k1", "x"));
  cr_assert(Bench.until([&] { return Bench.Intents.Begun == 1; }));
  cr_assert(Bench.Peers.Out.empty());
  Bench.Intents.release();
  const Submit Work = Bench.submission(1);
  cr_assert(!Work.Repeatable && Work.IdempotencyKey == "k1");
  Bench.Peers.deliver(PeerA, successfulFinish(Work));
  cr_assert(Bench.replyOf(Caller).Status == 201);
}

// Guards against running work a second time when it is resent, also to another
// gateway.
Test(Intent, ResendGetsTheStoredOutcomeOnAnyGateway) {
  GatewayBench Bench;
  const auto Caller = Bench.call(order("k1", "x"));
  Bench.Peers.deliver(PeerA, successfulFinish(Bench.submission(1)));
  Bench.replyOf(Caller);
  GatewayBench Other;
  Other.Intents.Rows = Bench.Intents.Rows;
  const HttpReply Reply = Other.replyOf(Other.call(order("k1", "x")));
  cr_assert(Reply.Status == 201 && Reply.Body == "made");
  cr_assert(findHeader(Reply.Headers, "Content-Type") == "text/plain");
  cr_assert(Other.Peers.Out.empty());
}

Test(Intent, StoreThatIsDownRefusesWithNotRun) {
  GatewayBench Bench;
  Bench.Intents.Down = true;
  const HttpReply Reply = Bench.replyOf(Bench.call(order("k1", "x")));
  cr_assert(Reply.Status == 503 && executionOf(Reply) == "not_run");
  cr_assert(Bench.Peers.Out.empty());
}

Test(Intent, OtherBodyUnderTheSameKeyIsRefused) {
  GatewayBench Bench;
  Bench.call(order("k1", "x"));
  Bench.submission(1);
  const HttpReply Reply = Bench.replyOf(Bench.call(order("k1", "y")));
  cr_assert(Reply.Status == 422);
  cr_assert(Bench.Peers.all<Submit>().size() == 1);
}

// Guards against reporting a definite outcome of a call while it is unknown
// whether its gateway is still running.
Test(Intent, ResendDuringTheCallIsToldUnknown) {
  GatewayBench Bench;
  Bench.call(order("k1", "x"));
  Bench.submission(1);
  const HttpReply Reply = Bench.replyOf(Bench.call(order("k1", "x")));
  cr_assert(Reply.Status == 409 && executionOf(Reply) == "unknown");
  Bench.Intents.SinceMs -= 3'600'000;
  const HttpReply ExpiredReply = Bench.replyOf(Bench.call(order("k1", "x")));
  cr_assert(executionOf(ExpiredReply) == "unknown");
  cr_assert(json::parse(ExpiredReply.Body)["type"] ==
            "urn:turmericpass:problem:outcome-unknown");
  cr_assert(Bench.Peers.all<Submit>().size() == 1);
}

// Guards against submitting work to another dispatcher after the first one was
// lost with it, and against running it again when it is resent.
Test(Intent, LostDispatcherMakesTheOutcomeUnknownForGood) {
  GatewayBench Bench;
  const auto Caller = Bench.call(order("k1", "x"));
  Bench.submission(1);
  Bench.Peers.lose(PeerA);
  const HttpReply Reply = Bench.replyOf(Caller);
  cr_assert(Reply.Status == 502 && executionOf(Reply) == "unknown");
  const HttpReply Again = Bench.replyOf(Bench.call(order("k1", "x")));
  cr_assert(Again.Status == 502 && executionOf(Again) == "unknown");
  cr_assert(Bench.Peers.all<Submit>().size() == 1);
}

// Guards against an idempotency key that cannot be used again although its call
// did not run.
Test(Intent, RefusedCallMayBeSentAgain) {
  GatewayBench Bench;
  const auto Caller = Bench.call(order("k1", "x"));
  Bench.Peers.deliver(
      PeerA,
      finishOf(Bench.submission(1), FinishCode::Overloaded, Execution::NotRun));
  cr_assert(executionOf(Bench.replyOf(Caller)) == "not_run");
  Bench.call(order("k1", "x"));
  Bench.submission(2);
}

// Guards against losing the outcome of a call whose caller disconnected.
Test(Intent, CallGoesOnWithoutItsCallerAndItsOutcomeIsKept) {
  GatewayBench Bench;
  const auto Caller = Bench.call(order("k1", "x"));
  const Submit Work = Bench.submission(1);
  Bench.Client.cancel(Caller->Call);
  cr_assert(Bench.until([&] {
    return Bench.Stats.value("gateway_callers_departed_total") == 1;
  }));
  cr_assert(Bench.Peers.all<Cancel>().empty());
  cr_assert(!Bench.Gateway.isIdle());
  Bench.Peers.deliver(PeerA, successfulFinish(Work));
  cr_assert(Bench.replyOf(Bench.call(order("k1", "x"))).Status == 201);
  cr_assert(Bench.Peers.all<Submit>().size() == 1);
}

Test(Intent, CallerThatLeavesBeforeTheRowIsWonLeavesItFree) {
  GatewayBench Bench;
  Bench.Intents.Held = true;
  const auto Caller = Bench.call(order("k1", "x"));
  cr_assert(Bench.until([&] { return Bench.Intents.Begun == 1; }));
  Bench.Client.cancel(Caller->Call);
  cr_assert(Bench.until([&] {
    return Bench.Stats.value("gateway_callers_departed_total") == 1;
  }));
  Bench.Intents.release();
  cr_assert(Bench.Peers.Out.empty() && Bench.Intents.Rows.empty());
  cr_assert(Bench.Gateway.isIdle());
}

// Guards against delaying a finished answer without limit while the store is
// slow.
Test(Intent, AnswerWaitsForTheStoreForABoundedTime) {
  GatewayBench Bench;
  Bench.Intents.SilentFinish = true;
  const auto Caller = Bench.call(order("k1", "x"));
  Bench.Peers.deliver(PeerA, successfulFinish(Bench.submission(1)));
  Bench.Loop.runOnce(20ms);
  cr_assert(!Caller->isOver());
  Bench.Time.advance(600ms);
  cr_assert(Bench.replyOf(Caller).Body == "made");
}
