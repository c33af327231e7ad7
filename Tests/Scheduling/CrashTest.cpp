#include "Support/SchedulerRig.h"

#include <criterion/criterion.h>

using namespace turmericpass;

namespace {

int totalCrashes(SchedulerRig &Rig) {
  int Sum = 0;
  for (const auto &[Name, Engine] : Rig.Fleet.Engines)
    Sum += Engine.Crashes;
  return Sum;
}

void submitPoison(SchedulerRig &Rig, int Index) {
  Submit Work =
      Rig.Fleet.request("poison" + std::to_string(Index), "check", 50);
  Work.Fingerprint = "666";
  Rig.Fleet.Poison = "666";
  Rig.Fleet.submit(Work);
}

int failedInnocents(SchedulerRig &Rig) {
  int Failed = 0;
  for (const auto &[Id, Answer] : Rig.Fleet.Answers)
    if (!Id.starts_with("poison"))
      Failed += Answer.Finishes.size() == 1 &&
                        Answer.Finishes[0].Code == FinishCode::Ok &&
                        Answer.Tokens.size() == Rig.Fleet.Lengths[Id] &&
                        !Answer.HasBadOffset
                    ? 0
                    : 1;
  return Failed;
}

void submitInnocents(SchedulerRig &Rig, int From, int Count) {
  for (int I = From; I < From + Count; ++I)
    Rig.Fleet.submit(Rig.Fleet.request("r" + std::to_string(I), "check", 50));
}

} // namespace

// Guards against a crashing request that takes down one server after another
// because its caller resends it, and against the failure of innocent requests
// on these servers.
Test(Crashes, ResentPoisonCostsTwoServers) {
  SchedulerRig Rig(8, 8);
  Rig.warmUp();
  submitInnocents(Rig, 0, 40);
  for (int I = 0; I < 50; ++I) {
    submitPoison(Rig, I);
    submitInnocents(Rig, 40 + I * 4, 4);
    Rig.Fleet.advance(60);
  }
  Rig.Fleet.advance(20000);
  cr_assert(totalCrashes(Rig) <= 2);
  cr_assert(failedInnocents(Rig) == 0);
  cr_assert(Rig.Fleet.Announced == std::vector<std::string>{"666"});
  cr_assert(Rig.Fleet.Answers["poison49"].Starts == 0);
  cr_assert(Rig.Fleet.Answers["poison49"].Finishes[0].Ran == Execution::NotRun);
  cr_assert(Rig.Fleet.Answers["poison0"].Finishes[0].Code ==
            FinishCode::Quarantined);
  cr_assert(Rig.Fleet.Answers["poison0"].Finishes[0].Ran != Execution::NotRun);
}

// As above, but all copies are sent before the first one crashes a server.
Test(Crashes, PoisonSentAtOnceCostsTwoServers) {
  SchedulerRig Rig(8, 8);
  Rig.warmUp();
  submitInnocents(Rig, 0, 20);
  for (int I = 0; I < 50; ++I)
    submitPoison(Rig, I);
  Rig.Fleet.advance(20000);
  cr_assert(totalCrashes(Rig) <= 2);
  cr_assert(failedInnocents(Rig) == 0);
  for (int I = 0; I < 50; ++I)
    cr_assert(Rig.Fleet.Answers["poison" + std::to_string(I)].Finishes.size() ==
              1);
}

// Guards against equal requests that crash several servers at the same time,
// before the first crash makes them suspects.
Test(Crashes, EqualRequestsShareAServerUntilOneEnds) {
  SchedulerRig Rig(8, 8);
  Rig.warmUp();
  const auto Send = [&](int From) {
    std::set<std::string> Used;
    for (int I = From; I < From + 6; ++I) {
      Submit Work = Rig.Fleet.request("e" + std::to_string(I), "check", 20);
      Work.Fingerprint = "777";
      Rig.Fleet.submit(Work);
      Used.insert(Rig.Fleet.Starts.back().Server);
    }
    return Used.size();
  };
  cr_assert(Send(0) == 1);
  Rig.Fleet.advance(1000);
  cr_assert(Send(6) > 1);
}

// Guards against suspects that share a server, where a second crash would not
// show which one is the cause, and against innocent requests that remain
// suspects.
Test(Crashes, SuspectsAreRetriedApart) {
  SchedulerRig Rig(4, 8);
  Rig.warmUp();
  submitInnocents(Rig, 0, 32);
  Rig.Fleet.advance(100);
  std::set<std::string> Suspects;
  for (const auto &[Id, Each] : Rig.Fleet.Engines["e00"].Streams)
    Suspects.insert(Each.Work.RequestId);
  cr_assert(Suspects.size() == 8);
  std::set<std::string> Cleared;
  Rig.Fleet.OnStart = [&](const StartAttempt &Order) {
    if (Suspects.count(Order.Work.RequestId) == 0)
      return;
    for (const auto &[Id, Each] : Rig.Fleet.Engines[Order.Server].Streams)
      cr_assert(Suspects.count(Each.Work.RequestId) == 0 ||
                Each.Next - Each.Work.ResumeTokenIds.size() >= 16);
  };
  Rig.Fleet.crash("e00");
  Rig.Fleet.advance(5000);
  cr_assert(failedInnocents(Rig) == 0);
  cr_assert(Rig.Fleet.Announced.empty());
}

// Guards against a truncated answer that is mistaken for the loss of its
// server. A second one would put an innocent request in quarantine.
Test(Crashes, TruncatedAnswersMakeNoSuspects) {
  SchedulerRig Rig(3, 8);
  Rig.warmUp();
  submitInnocents(Rig, 0, 6);
  Rig.Fleet.advance(100);
  for (int Round = 0; Round < 3; ++Round) {
    for (auto &[Name, Engine] : Rig.Fleet.Engines)
      for (const auto &[Id, Each] : Engine.Streams) {
        if (Each.Work.RequestId != "r0")
          continue;
        const SchedulerAttemptId CutAttempt = Id;
        Engine.Streams.erase(CutAttempt);
        Rig.Sut.handleAttemptFailure(
            CutAttempt, {ErrorCode::Unavailable, "The connection was closed."},
            AttemptProgress::Admitted);
        break;
      }
    Rig.Fleet.advance(130);
  }
  cr_assert(Rig.Fleet.Answers["r0"].Starts >= 3);
  Rig.Fleet.advance(3000);
  cr_assert(failedInnocents(Rig) == 0);
  cr_assert(Rig.Fleet.Announced.empty());
}

// Guards against a lost server that is used again before it answers, and
// against one that is never used again.
Test(Crashes, LostServerComesBack) {
  SchedulerRig Rig(2, 8);
  Rig.warmUp();
  submitInnocents(Rig, 0, 8);
  Rig.Fleet.advance(100);
  Rig.Fleet.crash("e00", 100000);
  const int StartsBefore = Rig.Fleet.Engines["e00"].Starts;
  submitInnocents(Rig, 8, 20);
  Rig.Fleet.advance(5000);
  cr_assert(Rig.Fleet.Engines["e00"].Starts == StartsBefore);
  cr_assert(failedInnocents(Rig) == 0);
  Rig.Fleet.Engines["e00"].DownUntil = Rig.Now.now();
  Rig.Sut.handleLoadReport("e00", {0, 0, 0, 5000});
  submitInnocents(Rig, 28, 8);
  Rig.Fleet.advance(1000);
  cr_assert(Rig.Fleet.Engines["e00"].Starts > StartsBefore);
}

// Guards against running requests whose fingerprint another node has put in
// quarantine.
Test(Crashes, QuarantineOfOtherNodesHolds) {
  SchedulerRig Rig(1, 1);
  submitInnocents(Rig, 0, 2);
  Rig.Sut.addQuarantinedFingerprints({"fr1", "fr2"});
  Rig.Fleet.pump();
  submitInnocents(Rig, 2, 1);
  Rig.Fleet.advance(1000);
  cr_assert(Rig.Fleet.Answers["r1"].Finishes[0].Code ==
            FinishCode::Quarantined);
  cr_assert(Rig.Fleet.Answers["r1"].Finishes[0].Ran == Execution::NotRun);
  cr_assert(Rig.Fleet.Answers["r2"].Starts == 0);
  cr_assert(Rig.Fleet.Announced.empty());
}

// Guards against a server that sends invalid answers so fast that it looks like
// the least loaded one and receives most of the work.
Test(Crashes, ServerWithInvalidAnswersGetsProbesOnly) {
  SchedulerRig Rig(4, 8);
  Rig.warmUp();
  const int StartsBefore = Rig.Fleet.Engines["e00"].Starts;
  for (int Round = 0; Round < 40; ++Round) {
    submitInnocents(Rig, Round * 4, 4);
    auto &Streams = Rig.Fleet.Engines["e00"].Streams;
    while (!Streams.empty()) {
      const SchedulerAttemptId Id = Streams.begin()->first;
      Streams.erase(Id);
      Rig.Sut.handleAttemptFailure(
          Id, {ErrorCode::Malformed, "The event is malformed."},
          AttemptProgress::Admitted);
      Rig.Fleet.advance(0);
    }
    Rig.Fleet.advance(50);
  }
  Rig.Fleet.advance(5000);
  cr_assert(failedInnocents(Rig) == 0);
  const int Starts = Rig.Fleet.Engines["e00"].Starts - StartsBefore;
  // One window of requests before the failures are known, and then a probe
  // every 400 ms.
  cr_assert(Starts <= 8 + 2000 / 400, "%d", Starts);
}

// Guards against innocent requests in quarantine because a server closes
// connections without crashing. Its load report shows that it did not crash.
Test(Crashes, ServerThatCutsAndAnswersMakesNoSuspects) {
  SchedulerRig Rig(1, 8);
  Rig.warmUp();
  submitInnocents(Rig, 0, 1);
  auto &Streams = Rig.Fleet.Engines["e00"].Streams;
  for (int Round = 0; Round < 4; ++Round) {
    for (int Turn = 0; Turn < 1000 && Streams.empty(); ++Turn)
      Rig.Fleet.advance(20);
    cr_assert(!Streams.empty());
    const SchedulerAttemptId Id = Streams.begin()->first;
    Streams.erase(Id);
    Rig.Sut.handleAttemptFailure(
        Id, {ErrorCode::Unavailable, "The connection was closed."},
        AttemptProgress::Admitted);
    Rig.Fleet.advance(60);
    Rig.Sut.handleLoadReport("e00", {0, 0, 0, 500});
  }
  Rig.Fleet.advance(20000);
  cr_assert(failedInnocents(Rig) == 0);
  cr_assert(Rig.Fleet.Announced.empty());
}
