#include "Support/FakeWorkload.h"
#include "Support/SchedulerRig.h"

#include <criterion/criterion.h>

using namespace turmericpass;

namespace {

std::size_t onlineAt(SchedulerRig &Rig, const std::string &Server) {
  const auto &Streams = Rig.Fleet.Engines[Server].Streams;
  return static_cast<std::size_t>(
      std::count_if(Streams.begin(), Streams.end(), [](const auto &Each) {
        return Each.second.Work.Class != "batch";
      }));
}

const Error TimeoutError{ErrorCode::Timeout, "The server did not answer."};

} // namespace

// Guards against a slow server that keeps its share of the work, and against a
// recovered server that gets its whole share at once. All load reports claim
// that the server is idle, as reports with a delay of 5 s do.
Test(SlowServers, GetProbesOnlyAndReturnGradually) {
  SchedulerRig Rig(6, 8);
  Rig.warmUp();
  FakeWorkload Load(Rig.Fleet);
  Load.OnlinePerMilli = 0.06;
  Load.run(1000);
  Rig.Fleet.Engines["e02"].Slowness = 10;
  Load.run(200);
  cr_assert(Rig.Fleet.count("marked_slow") == 1);
  const int StartsBefore = Rig.Fleet.Engines["e02"].Starts;
  for (int I = 0; I < 10; ++I) {
    Rig.Sut.handleLoadReport("e02", {0, 0, 0.1, 5000});
    Load.run(200);
    cr_assert(onlineAt(Rig, "e02") <= 1);
  }
  // There is one probe every 400 ms.
  cr_assert(Rig.Fleet.Engines["e02"].Starts - StartsBefore <= 6);
  Rig.Fleet.Engines["e02"].Slowness = 1;
  for (int I = 0; I < 3000 && Rig.Fleet.count("recovered") == 0; ++I)
    Load.run(1);
  Load.OnlinePerMilli = 1;
  Load.run(100);
  cr_assert(onlineAt(Rig, "e02") <= 2);
  Load.run(1000);
  cr_assert(onlineAt(Rig, "e02") == 8);
}

// Guards against streams that fail with the server on which they started, and
// against tokens that are generated twice or accepted from the old server after
// the move.
Test(SlowServers, StalledStreamIsResumedElsewhere) {
  SchedulerRig Rig(4, 8);
  Rig.warmUp();
  Rig.Fleet.submit(Rig.Fleet.request("r", "check", 100));
  Rig.Fleet.advance(300);
  const StartAttempt First = Rig.Fleet.Starts.back();
  Rig.Fleet.Engines[First.Server].Slowness = 1e9;
  Rig.Fleet.advance(200);
  const StartAttempt Second = Rig.Fleet.Starts.back();
  cr_assert(Second.Server != First.Server);
  cr_assert(Second.Work.ResumeTokenIds.size() > 10);
  Rig.Sut.handleAttemptTokens(First.Id, {{77}, {"t"}});
  Rig.Sut.handleAttemptReply(First.Id, {});
  Rig.Fleet.advance(2000);
  const FakeAnswer &Answer = Rig.Fleet.Answers["r"];
  cr_assert(Answer.Tokens.size() == 100 && !Answer.HasBadOffset);
  cr_assert(Answer.Tokens.back() == 99);
  cr_assert(Answer.Finishes.size() == 1);
}

// Guards against an answer that mixes tokens of two servers when a copy and the
// first attempt answer at about the same time.
Test(SlowServers, OneCopyWinsAndTheOtherIsCancelled) {
  SchedulerRig Rig(4, 8);
  Rig.warmUp();
  for (auto &[Name, Engine] : Rig.Fleet.Engines)
    Engine.Slowness = 1e9;
  Rig.Fleet.submit(Rig.Fleet.request("r", "check", 100));
  const StartAttempt First = Rig.Fleet.Starts.back();
  Rig.Fleet.advance(60);
  const StartAttempt Copy = Rig.Fleet.Starts.back();
  cr_assert(Copy.Id != First.Id && Copy.Server != First.Server);
  Rig.Sut.handleAttemptTokens(First.Id, {{0, 1}, {"a", "b"}});
  Rig.Sut.handleAttemptTokens(Copy.Id, {{0}, {"x"}});
  Rig.Sut.handleAttemptFailure(Copy.Id, TimeoutError,
                               AttemptProgress::Admitted);
  Rig.Fleet.pump();
  cr_assert(Rig.Fleet.Cancels == std::vector<SchedulerAttemptId>{Copy.Id});
  Rig.Sut.handleAttemptTokens(First.Id, {{2}, {"c"}});
  Rig.Sut.handleAttemptReply(First.Id, {200, "", "", "stop"});
  Rig.Fleet.pump();
  const FakeAnswer &Answer = Rig.Fleet.Answers["r"];
  cr_assert(Answer.Tokens == std::vector<std::uint32_t>({0, 1, 2}));
  cr_assert(!Answer.HasBadOffset && Answer.Finishes.size() == 1);
}

// Guards against copies that double the load of a fleet in which all servers
// are slow.
Test(SlowServers, CopiesStayWithinTheBudget) {
  SchedulerRig Rig(6, 16);
  Rig.warmUp();
  const auto Copies = [&] {
    return Rig.Fleet.count("hedged") + Rig.Fleet.count("moved");
  };
  const int CopiesBefore = Copies();
  for (auto &[Name, Engine] : Rig.Fleet.Engines)
    Engine.Slowness = 1e9;
  for (int I = 0; I < 60; ++I)
    Rig.Fleet.submit(Rig.Fleet.request("r" + std::to_string(I), "check", 100));
  Rig.Fleet.advance(150);
  cr_assert(Copies() - CopiesBefore >= 4);
  cr_assert(Copies() - CopiesBefore <= 8);
}

// Guards against unlimited retries while every attempt fails. The first 64
// retries are the burst of the budget.
Test(SlowServers, RetriesStayWithinTheBudget) {
  SchedulerRig Rig(4, 8);
  std::size_t Attempts = 0;
  Rig.Fleet.OnStart = [&](const StartAttempt &) { ++Attempts; };
  for (int I = 0; I < 100; ++I) {
    Rig.Fleet.submit(Rig.Fleet.request("r" + std::to_string(I), "check", 100));
    while (!Rig.Fleet.Starts.empty()) {
      const SchedulerAttemptId Id = Rig.Fleet.Starts.back().Id;
      Rig.Fleet.Starts.clear();
      Rig.Sut.handleAttemptFailure(Id, TimeoutError, AttemptProgress::Sent);
      Rig.Fleet.pump();
    }
  }
  cr_assert(Attempts > 100 + 32 && Attempts <= 100 + 64);
}

// Guards against plain calls that are not hedged. Their duration is used in
// place of the time to first token.
Test(SlowServers, PlainCallsAreCopiedAtThePeersTail) {
  FleetSettings Settings = fakeSettings(0, 0);
  for (const char *Name : {"p0", "p1", "p2"})
    Settings.Servers[Name] = {Name, "p", "z", "", 8, false};
  SchedulerRig Rig(Settings);
  // A request of length 0 is answered after the time of the first step.
  const auto Call = [&](const std::string &Id) {
    Submit Work = Rig.Fleet.request(Id, "check", 0);
    Work.Service = "p";
    Rig.Fleet.submit(Work);
  };
  for (int I = 0; I < 60; ++I) {
    Call("w" + std::to_string(I));
    Rig.Fleet.advance(30);
  }
  for (auto &[Name, Engine] : Rig.Fleet.Engines)
    Engine.Slowness = 1e9;
  Call("r");
  Rig.Fleet.advance(20);
  cr_assert(Rig.Fleet.Answers["r"].Starts == 1);
  Rig.Fleet.advance(20);
  cr_assert(Rig.Fleet.Answers["r"].Starts == 2);
  Rig.Sut.handleAttemptReply(Rig.Fleet.Starts.back().Id, {200, "", "body", ""});
  Rig.Fleet.pump();
  cr_assert(Rig.Fleet.Answers["r"].Finishes.size() == 1);
  cr_assert(Rig.Fleet.Answers["r"].Finishes[0].Body == "body");
  cr_assert(Rig.Fleet.Cancels.size() == 1);
}
