#include "Support/SchedulerRig.h"

#include <criterion/criterion.h>

using namespace turmericpass;

namespace {

const Error Broken{ErrorCode::Timeout, "The server did not answer."};

const Finish &endOf(SchedulerRig &Rig, const std::string &Id) {
  cr_assert(Rig.Fleet.Answers[Id].Finishes.size() == 1);
  return Rig.Fleet.Answers[Id].Finishes[0];
}

/// Lets engines admit work and never answer.
void freeze(SchedulerRig &Rig) {
  for (const auto &[Name, Server] : Rig.Settings.Servers)
    Rig.Fleet.Engines[Name].Slowness = 1e9;
}

} // namespace

// Guards against an answer that is incomplete, repeated or wrongly numbered.
Test(Requests, WholeAnswerWithOffsets) {
  SchedulerRig Rig(2, 4);
  Rig.Fleet.submit(Rig.Fleet.request("r", "check", 5));
  Rig.Fleet.advance(200);
  const FakeAnswer &Answer = Rig.Fleet.Answers["r"];
  cr_assert(Answer.Accepts == 1);
  cr_assert(Answer.Tokens == std::vector<std::uint32_t>({0, 1, 2, 3, 4}));
  cr_assert(!Answer.HasBadOffset);
  cr_assert(endOf(Rig, "r").Code == FinishCode::Ok);
  cr_assert(endOf(Rig, "r").TotalTokens == 5);
  cr_assert(Rig.Sut.isIdle());
}

// Guards against an answer that starts over, or is numbered from its middle,
// when it goes on from what another dispatcher delivered.
Test(Requests, ResubmissionGoesOnFromItsTokens) {
  SchedulerRig Rig(2, 4);
  Submit Work = Rig.Fleet.request("r", "check", 5);
  Work.Attempt = 1;
  Work.ResumeTokenIds = {0, 1, 2};
  Rig.Fleet.Answers["r"].Tokens = {0, 1, 2};
  Rig.Fleet.submit(Work);
  Rig.Fleet.advance(200);
  const FakeAnswer &Answer = Rig.Fleet.Answers["r"];
  cr_assert(Answer.Tokens == std::vector<std::uint32_t>({0, 1, 2, 3, 4}));
  cr_assert(!Answer.HasBadOffset);
  cr_assert(endOf(Rig, "r").TotalTokens == 5);
}

// Guards against a resent message that runs work a second time.
Test(Requests, RepeatedAndStaleSubmitsDoNotRun) {
  SchedulerRig Rig(2, 4);
  Submit Work = Rig.Fleet.request("r", "check", 5);
  Work.Attempt = 2;
  Rig.Fleet.submit(Work);
  Rig.Fleet.submit(Work);
  Submit Stale = Work;
  Stale.Attempt = 1;
  Rig.Fleet.submit(Stale);
  Rig.Fleet.advance(200);
  Rig.Fleet.submit(Work);
  Rig.Fleet.advance(200);
  cr_assert(Rig.Fleet.Answers["r"].Starts == 1);
  cr_assert(endOf(Rig, "r").Attempt == 2);
}

// Guards against a cancelled request that runs because its Submit was late.
Test(Requests, CancelBeforeSubmitLeavesATombstone) {
  SchedulerRig Rig(2, 4);
  Rig.Fleet.advance(130000);
  Rig.Sut.cancel("gw", {"r", 0});
  Rig.Fleet.pump();
  Rig.Fleet.submit(Rig.Fleet.request("r", "check", 5));
  Rig.Fleet.advance(100);
  cr_assert(Rig.Fleet.Answers["r"].Starts == 0);
  cr_assert(endOf(Rig, "r").Ran == Execution::NotRun);
}

// Guards against a not_run about work that a process before this one ran.
Test(Requests, CancelAfterARestartKnowsNothing) {
  SchedulerRig Rig(2, 4);
  Rig.Sut.cancel("gw", {"r", 0});
  Rig.Fleet.pump();
  cr_assert(endOf(Rig, "r").Ran == Execution::Unknown);
}

// Guards against a not_run that is false, and an unknown that need not be.
Test(Requests, VerdictFollowsTheFurthestAttempt) {
  SchedulerRig Rig(1, 1);
  freeze(Rig);
  for (const char *Id : {"runs", "waits"})
    Rig.Fleet.submit(Rig.Fleet.request(Id, "check", 5));
  Rig.Sut.cancel("gw", {"waits", 0});
  Rig.Sut.cancel("gw", {"runs", 0});
  Rig.Fleet.pump();
  cr_assert(endOf(Rig, "waits").Ran == Execution::NotRun);
  cr_assert(endOf(Rig, "runs").Ran == Execution::Unknown);
  Rig.Fleet.submit(Rig.Fleet.request("refused", "check", 5));
  Rig.Sut.handleAttemptFailure(Rig.Fleet.Starts.back().Id, Broken,
                               AttemptProgress::NotSent);
  Rig.Sut.cancel("gw", {"refused", 0});
  Rig.Fleet.pump();
  cr_assert(endOf(Rig, "refused").Ran == Execution::NotRun);
  Rig.Fleet.advance(100);
  Rig.Fleet.submit(Rig.Fleet.request("began", "check", 5));
  Rig.Sut.handleAttemptTokens(Rig.Fleet.Starts.back().Id, {{0}, {"t"}});
  Rig.Sut.cancel("gw", {"began", 0});
  Rig.Fleet.pump();
  cr_assert(endOf(Rig, "began").Ran == Execution::Ran);
}

// A refusal after an attempt that was sent does not make the work not run.
Test(Requests, RefusalAfterASentAttemptIsUnknown) {
  SchedulerRig Rig(1, 1);
  freeze(Rig);
  Rig.Fleet.submit(Rig.Fleet.request("r", "check", 5));
  Rig.Sut.handleAttemptFailure(Rig.Fleet.Starts.back().Id, Broken,
                               AttemptProgress::Sent);
  Rig.Fleet.pump();
  cr_assert(Rig.Fleet.Starts.size() == 2);
  Rig.Sut.handleAttemptFailure(Rig.Fleet.Starts.back().Id, Broken,
                               AttemptProgress::NotSent);
  Rig.Sut.cancel("gw", {"r", 0});
  Rig.Fleet.pump();
  cr_assert(endOf(Rig, "r").Ran == Execution::Unknown);
}

// Guards against a call that runs twice and must not: by retry, by hedge, by
// move, by preemption or by a resubmission.
Test(Requests, NonRepeatableWorkIsSentOnce) {
  SchedulerRig Rig(4, 4);
  Rig.warmUp();
  for (const AttemptProgress Progress :
       {AttemptProgress::NotSent, AttemptProgress::Sent}) {
    const std::string Id =
        Progress == AttemptProgress::NotSent ? "refused" : "sent";
    Submit Work = Rig.Fleet.request(Id, "batch", 50);
    Work.Repeatable = false;
    Rig.Fleet.submit(Work);
    const StartAttempt Start = Rig.Fleet.Starts.back();
    Rig.Fleet.Engines[Start.Server].Slowness = 1000;
    for (int I = 0; I < 40; ++I)
      Rig.Fleet.submit(Rig.Fleet.request(Id + std::to_string(I), "check", 50));
    Rig.Fleet.advance(1500);
    Work.Attempt = 1;
    Rig.Fleet.submit(Work);
    cr_assert(endOf(Rig, Id).Ran == Execution::Unknown);
    Rig.Fleet.Answers[Id].Finishes.clear();
    Rig.Sut.handleAttemptFailure(Start.Id, Broken, Progress);
    Rig.Fleet.advance(500);
    cr_assert(Rig.Fleet.Answers[Id].Starts == 1);
    cr_assert(endOf(Rig, Id).Ran == (Progress == AttemptProgress::NotSent
                                         ? Execution::NotRun
                                         : Execution::Unknown));
  }
}

// Guards against work that runs after its deadline.
Test(Requests, DeadlineEndsQueuedAndRunningWork) {
  SchedulerRig Rig(1, 1);
  freeze(Rig);
  Submit Work = Rig.Fleet.request("runs", "check", 5);
  Work.RemainingMs = 100;
  Rig.Fleet.submit(Work);
  Submit Later = Rig.Fleet.request("waits", "check", 5);
  Later.RemainingMs = 90;
  Rig.Fleet.submit(Later);
  Rig.Fleet.advance(110);
  cr_assert(endOf(Rig, "waits").Code == FinishCode::DeadlineExceeded);
  cr_assert(endOf(Rig, "waits").Ran == Execution::NotRun);
  cr_assert(endOf(Rig, "runs").Ran == Execution::Unknown);
  cr_assert(Rig.Fleet.Cancels.size() == 1);
}

// Guards against refusals without a reason, a truth and a time to come back.
Test(Requests, RefusalsAreNotRun) {
  FleetSettings Settings = fakeSettings(1, 1);
  Settings.Limits.QueuePerService = 2;
  SchedulerRig Rig(Settings);
  freeze(Rig);
  for (int I = 0; I < 4; ++I)
    Rig.Fleet.submit(Rig.Fleet.request(std::to_string(I), "check", 5));
  cr_assert(endOf(Rig, "3").Code == FinishCode::Overloaded);
  cr_assert(endOf(Rig, "3").RetryAfterMs > 0);
  cr_assert(endOf(Rig, "3").Load.QueuedOnline == 2);
  Submit Other = Rig.Fleet.request("no-server", "check", 5);
  Other.Service = "p";
  Rig.Fleet.submit(Other);
  cr_assert(endOf(Rig, "no-server").Code == FinishCode::NoServer);
  Rig.Fleet.submit(Rig.Fleet.request("no-class", "none", 5));
  cr_assert(endOf(Rig, "no-class").Code == FinishCode::InvalidRequest);
  Rig.Sut.drain();
  // The queue of batch work is not full.
  Rig.Fleet.submit(Rig.Fleet.request("drained", "batch", 5));
  cr_assert(endOf(Rig, "drained").Ran == Execution::NotRun);
  cr_assert(!Rig.Sut.isIdle());
}

// Guards against work that is accepted only to miss its deadline in the queue.
Test(Requests, ShedsWhatCannotMeetItsDeadline) {
  SchedulerRig Rig(1, 4);
  Rig.warmUp();
  for (int I = 0; I < 80; ++I)
    Rig.Fleet.submit(Rig.Fleet.request("q" + std::to_string(I), "check", 20));
  Submit Hasty = Rig.Fleet.request("hasty", "check", 20);
  Hasty.RemainingMs = 1000;
  Rig.Fleet.submit(Hasty);
  cr_assert(endOf(Rig, "hasty").Code == FinishCode::Overloaded);
  cr_assert(endOf(Rig, "hasty").Ran == Execution::NotRun);
  cr_assert(endOf(Rig, "hasty").RetryAfterMs > 1000);
}

// Guards against work for a caller that is gone.
Test(Requests, LostPeerEndsItsWork) {
  SchedulerRig Rig(1, 1);
  freeze(Rig);
  Rig.Fleet.submit(Rig.Fleet.request("lost", "check", 5), "gone");
  Rig.Fleet.submit(Rig.Fleet.request("kept", "check", 5), "gw");
  Rig.Sut.handlePeerLoss("gone");
  Rig.Fleet.pump();
  cr_assert(Rig.Fleet.Cancels.size() == 1);
  cr_assert(Rig.Fleet.Answers["lost"].Finishes.empty());
  cr_assert(Rig.Fleet.Answers["kept"].Starts == 1);
}

// Guards against work that starts on a leaving server, and against streams
// cut off because their server leaves or is handed to another owner.
Test(Requests, LeavingServersOnlyFinish) {
  SchedulerRig Rig(2, 4);
  for (int I = 0; I < 2; ++I)
    Rig.Fleet.submit(Rig.Fleet.request("r" + std::to_string(I), "check", 50));
  Rig.Sut.setLeavingServers({"e00"});
  Rig.Fleet.OnStart = [](const StartAttempt &Order) {
    cr_assert(Order.Server == "e01");
  };
  for (int I = 2; I < 20; ++I)
    Rig.Fleet.submit(Rig.Fleet.request("r" + std::to_string(I), "check", 50));
  Rig.Fleet.advance(100);
  Rig.Sut.configure(Rig.Settings, {});
  Rig.Fleet.OnStart = [](const StartAttempt &) { cr_assert(false); };
  Rig.Fleet.submit(Rig.Fleet.request("late", "check", 5));
  Rig.Fleet.advance(2000);
  cr_assert(endOf(Rig, "late").Code == FinishCode::NoServer);
  for (int I = 0; I < 2; ++I)
    cr_assert(endOf(Rig, "r" + std::to_string(I)).Code == FinishCode::Ok);
  cr_assert(Rig.Fleet.Cancels.empty());
  cr_assert(Rig.Sut.isIdle());
}
