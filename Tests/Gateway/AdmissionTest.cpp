#include "Support/GatewayBench.h"

#include <nlohmann/json.hpp>

using namespace turmericpass;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

std::string executionOf(const HttpReply &Reply) {
  return json::parse(Reply.Body)["execution"];
}

} // namespace

Test(GatewayAdmission, QuotaIsRefusedWithTheTimeToWait) {
  FleetSettings Settings = benchSettings();
  Settings.Customers["hanbit"].TokensPerSecond = 100;
  GatewayBench Bench(Settings);
  Bench.call(chat(false));
  Bench.submission(1);
  const HttpReply Reply = Bench.replyOf(Bench.call(chat(false)));
  cr_assert(Reply.Status == 429 && executionOf(Reply) == "not_run");
  // The request reserves 514 tokens. A burst of 150 tokens is available, and
  // the quota of this gateway refills at 75 tokens per second.
  cr_assert(findHeader(Reply.Headers, "Retry-After") == "5", "%s",
            findHeader(Reply.Headers, "Retry-After").c_str());
  cr_assert(Bench.Peers.all<Submit>().size() == 1);
}

// Guards against queueing a request whose expected wait exceeds its deadline.
Test(GatewayAdmission, LoadIsShedWhenNoQueueMeetsTheDeadline) {
  GatewayBench Bench;
  const auto First = Bench.call(chat(false));
  const Submit Work = Bench.submission(1);
  for (const char *Peer : {GatewayBench::PeerA, GatewayBench::PeerB})
    Bench.Peers.deliver(
        Peer, Accepted{Work.RequestId, 1, {"assistant", 0, 90, 0, 3000}});
  HttpRequest Urgent = chat(false);
  Urgent.Headers.emplace_back("Turmericpass-Deadline", "2000");
  const HttpReply Reply = Bench.replyOf(Bench.call(Urgent));
  cr_assert(Reply.Status == 503 && executionOf(Reply) == "not_run");
  cr_assert(findHeader(Reply.Headers, "Retry-After") == "3");
  Bench.call(chat(false));
  Bench.submission(2);
}

Test(GatewayAdmission, QuarantinedRequestIsRefusedAtOnce) {
  GatewayBench Bench;
  Bench.call(chat(false));
  Bench.Fleet.Quarantine.insert(Bench.submission(1).Fingerprint);
  const HttpReply Reply = Bench.replyOf(Bench.call(chat(false)));
  cr_assert(Reply.Status == 422 && executionOf(Reply) == "not_run");
  cr_assert(Bench.Peers.all<Submit>().size() == 1);
}

// Guards against a refused stream that is answered with status 200 and an error
// event. No byte has been sent yet, so the status can still report the refusal.
Test(GatewayAdmission, StreamThatWasRefusedGetsAProblemDocument) {
  GatewayBench Bench;
  const auto Caller = Bench.call(chat(true));
  for (const char *Peer : {GatewayBench::PeerA, GatewayBench::PeerB}) {
    const Submit Work = Bench.submission(Peer == GatewayBench::PeerA ? 1 : 2);
    Finish Refusal = finishOf(Work, FinishCode::Overloaded, Execution::NotRun);
    Refusal.RetryAfterMs = 1500;
    Bench.Peers.deliver(Peer, Refusal);
  }
  const HttpReply Reply = Bench.replyOf(Caller);
  cr_assert(Reply.Status == 503 && executionOf(Reply) == "not_run");
  cr_assert(findHeader(Reply.Headers, "Retry-After") == "2");
}

// Guards against unbounded memory use by a caller that does not read its
// stream.
Test(GatewayAdmission, SlowReaderIsCutOffAndItsWorkCancelled) {
  GatewayBench Bench;
  Bench.callStream(chat(true));
  const Submit Work = Bench.submission(1);
  Chunk Piece = chunkOf(Work, 0, std::string(64'000, 'x'));
  // The event loop does not run here, so the caller reads nothing.
  for (int I = 0; I < 100; ++I) {
    Piece.Offset = static_cast<std::uint64_t>(I);
    Bench.Peers.deliver(GatewayBench::PeerA, Piece);
  }
  cr_assert(Bench.Stats.value("gateway_slow_readers_total") == 1);
  cr_assert(Bench.Peers.all<Cancel>().size() == 1);
  cr_assert(Bench.until([&] { return Bench.Gateway.isIdle(); }));
}

// Guards against a shutdown that aborts a stream or accepts new requests.
Test(GatewayAdmission, DrainFinishesStreamsAndRefusesNewCallers) {
  GatewayBench Bench;
  const auto Caller = Bench.callStream(chat(true));
  const Submit Work = Bench.submission(1);
  Bench.Peers.deliver(GatewayBench::PeerA, chunkOf(Work, 0, "good"));
  Bench.Gateway.drain();
  const auto LateCaller = Bench.call(chat(false));
  cr_assert(Bench.until([&] { return LateCaller->isOver(); }));
  cr_assert(LateCaller->Failed);
  cr_assert(!Bench.Gateway.isIdle());
  Finish Ending = finishOf(Work, FinishCode::Ok, Execution::Ran);
  Ending.TotalTokens = 1;
  Bench.Peers.deliver(GatewayBench::PeerA, Ending);
  cr_assert(!Bench.Gateway.isIdle());
  cr_assert(Bench.until([&] { return Bench.Gateway.isIdle(); }));
  cr_assert(Bench.until([&] { return Caller->isOver(); }));
  cr_assert(Caller->Got.ends_with("data: [DONE]\n\n"));
}

// Guards against a stream that stalls because the VM of its dispatcher is no
// longer live. Such a VM closes no connection.
Test(GatewayAdmission, VanishedNodeIsReplacedWithinTheStream) {
  GatewayBench Bench;
  Bench.call(chat(true));
  Bench.Peers.deliver(GatewayBench::PeerA,
                      chunkOf(Bench.submission(1), 0, "good "));
  Bench.Fleet.Live.erase("a1");
  Bench.Gateway.configure();
  Bench.Time.advance(2s);
  cr_assert(Bench.submission(2).ResumeTokenIds.size() == 1);
  cr_assert(Bench.Peers.lastPeer() == GatewayBench::PeerB);
}

// Guards against a stream that stalls after the connection to its dispatcher is
// lost.
Test(GatewayAdmission, LostDispatcherIsReplacedWithinTheStream) {
  GatewayBench Bench;
  const auto Caller = Bench.callStream(chat(true));
  const Submit First = Bench.submission(1);
  Bench.Peers.deliver(GatewayBench::PeerA, chunkOf(First, 0, "good "));
  Bench.Peers.lose(GatewayBench::PeerA);
  const Submit Next = Bench.submission(2);
  cr_assert(Bench.Peers.lastPeer() == GatewayBench::PeerB);
  cr_assert(Next.ResumeTokenIds.size() == 1 && Next.Attempt == 2);
  Bench.Peers.deliver(GatewayBench::PeerB, chunkOf(Next, 1, "day"));
  Finish Ending = finishOf(Next, FinishCode::Ok, Execution::Ran);
  Ending.TotalTokens = 2;
  Bench.Peers.deliver(GatewayBench::PeerB, Ending);
  cr_assert(Bench.until([&] { return Caller->isOver(); }));
  cr_assert(Caller->Done && Caller->Got.ends_with("data: [DONE]\n\n"));
}

// Guards against a decision log without which `turmericpass explain` cannot
// report why a request was submitted to a dispatcher, resubmitted or refused.
Test(GatewayAdmission, DecisionsAboutARequestAreOnRecord) {
  GatewayBench Bench;
  const auto Caller = Bench.call(chat(false));
  for (const std::size_t Count : {1, 2}) {
    const Submit Work = Bench.submission(Count);
    const std::string Peer = Bench.Peers.lastPeer();
    Bench.Peers.deliver(
        Peer, finishOf(Work, FinishCode::Overloaded, Execution::NotRun));
  }
  Bench.replyOf(Caller);
  const Submit Work = Bench.submission(1);
  const auto Records = Bench.Records.about(Work.RequestId);
  cr_assert(Records.size() == 3);
  cr_assert(Records[0].Kind == "submission");
  cr_assert(Records[0].Text.find("own zone") != std::string::npos);
  cr_assert(Records[1].Kind == "resubmission");
  cr_assert(Records[1].Text.find("refused it with overloaded") !=
            std::string::npos);
  cr_assert(Records[2].Kind == "outcome");
  cr_assert(Records[2].Text.find("execution not_run") != std::string::npos);
  Bench.Fleet.Quarantine.insert(Work.Fingerprint);
  const HttpReply Reply = Bench.replyOf(Bench.call(chat(false)));
  const auto Refusals =
      Bench.Records.about(findHeader(Reply.Headers, "X-Request-Id"));
  cr_assert(Refusals.size() == 1 && Refusals[0].Kind == "refusal");
  cr_assert(Refusals[0].Text.find("quarantined") != std::string::npos);
}
