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

const Error Late{ErrorCode::Timeout, "The server did not answer."};

} // namespace

// Guards against a slow server that goes on getting its part of the work, and
// against one that gets all of it back at once. Load reports claim all along
// that it is idle, as reports 5 s late do.
Test(SlowServers, GetProbesOnlyAndReturnGradually) {
  SchedulerRig Rig(6, 8);
  Rig.warmUp();
  FakeWorkload Load(Rig.Fleet);
  Load.OnlinePerMilli = 0.06;
  Load.run(1000);
  Rig.Fleet.Engines["e02"].Slowness = 10;
  Load.run(200);
  cr_assert(Rig.Fleet.count("marked_slow") == 1);
  const int Before = Rig.Fleet.Engines["e02"].Starts;
  for (int I = 0; I < 10; ++I) {
    Rig.Sut.handleLoadReport("e02", {0, 0, 0.1, 5000});
    Load.run(200);
    cr_assert(onlineAt(Rig, "e02") <= 1);
  }
  // One probe in 400 ms.
  cr_assert(Rig.Fleet.Engines["e02"].Starts - Before <= 6);
  Rig.Fleet.Engines["e02"].Slowness = 1;
  for (int I = 0; I < 3000 && Rig.Fleet.count("recovered") == 0; ++I)
    Load.run(1);
  Load.OnlinePerMilli = 1;
  Load.run(100);
  cr_assert(onlineAt(Rig, "e02") <= 2);
  Load.run(1000);
  cr_assert(onlineAt(Rig, "e02") == 8);
}

// Guards against streams that end with the server they began on, and against
// tokens that are generated again or come from the old server afterwards.
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

// Guards against an answer made of two servers' tokens when a copy and the
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
  Rig.Sut.handleAttemptFailure(Copy.Id, Late, AttemptProgress::Admitted);
  Rig.Fleet.pump();
  cr_assert(Rig.Fleet.Cancels == std::vector<SchedulerAttemptId>{Copy.Id});
  Rig.Sut.handleAttemptTokens(First.Id, {{2}, {"c"}});
  Rig.Sut.handleAttemptReply(First.Id, {200, "", "", "stop"});
  Rig.Fleet.pump();
  const FakeAnswer &Answer = Rig.Fleet.Answers["r"];
  cr_assert(Answer.Tokens == std::vector<std::uint32_t>({0, 1, 2}));
  cr_assert(!Answer.HasBadOffset && Answer.Finishes.size() == 1);
}

// Guards against copies that double the load of a fleet that is slow as a
// whole.
Test(SlowServers, CopiesStayWithinTheBudget) {
  SchedulerRig Rig(6, 16);
  Rig.warmUp();
  const auto Copies = [&] {
    return Rig.Fleet.count("hedged") + Rig.Fleet.count("moved");
  };
  const int Before = Copies();
  for (auto &[Name, Engine] : Rig.Fleet.Engines)
    Engine.Slowness = 1e9;
  for (int I = 0; I < 60; ++I)
    Rig.Fleet.submit(Rig.Fleet.request("r" + std::to_string(I), "check", 100));
  Rig.Fleet.advance(150);
  cr_assert(Copies() - Before >= 4);
  cr_assert(Copies() - Before <= 8);
}

// Guards against retries that add up while every attempt fails. The first 64
// are the burst allowance.
Test(SlowServers, RetriesStayWithinTheBudget) {
  SchedulerRig Rig(4, 8);
  std::size_t Attempts = 0;
  Rig.Fleet.OnStart = [&](const StartAttempt &) { ++Attempts; };
  for (int I = 0; I < 100; ++I) {
    Rig.Fleet.submit(Rig.Fleet.request("r" + std::to_string(I), "check", 100));
    while (!Rig.Fleet.Starts.empty()) {
      const SchedulerAttemptId Id = Rig.Fleet.Starts.back().Id;
      Rig.Fleet.Starts.clear();
      Rig.Sut.handleAttemptFailure(Id, Late, AttemptProgress::Sent);
      Rig.Fleet.pump();
    }
  }
  cr_assert(Attempts > 100 + 32 && Attempts <= 100 + 64);
}

// A plain service's duration stands in place of the time to first token.
Test(SlowServers, PlainCallsAreCopiedAtThePeersTail) {
  FleetSettings Settings = fakeSettings(0, 0);
  for (const char *Name : {"p0", "p1", "p2"})
    Settings.Servers[Name] = {Name, "p", "z", "", 8, false};
  SchedulerRig Rig(Settings);
  // A length of 0 answers at once after the first step's time.
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
