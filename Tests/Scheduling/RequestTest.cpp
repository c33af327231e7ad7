#include "Support/SchedulerRig.h"

#include <criterion/criterion.h>

using namespace turmericpass;

namespace {

const Error TimeoutError{ErrorCode::Timeout, "The server did not answer."};

const Finish &finishOf(SchedulerRig &Rig, const std::string &Id) {
  cr_assert(Rig.Fleet.Answers[Id].Finishes.size() == 1);
  return Rig.Fleet.Answers[Id].Finishes[0];
}

/// Makes all engines admit requests and never answer.
void freezeEngines(SchedulerRig &Rig) {
  for (const auto &[Name, Server] : Rig.Settings.Servers)
    Rig.Fleet.Engines[Name].Slowness = 1e9;
}

} // namespace

// Guards against an answer with missing or repeated tokens or wrong offsets.
Test(Requests, WholeAnswerWithOffsets) {
  SchedulerRig Rig(2, 4);
  Rig.Fleet.submit(Rig.Fleet.request("r", "check", 5));
  Rig.Fleet.advance(200);
  const FakeAnswer &Answer = Rig.Fleet.Answers["r"];
  cr_assert(Answer.Accepts == 1);
  cr_assert(Answer.Tokens == std::vector<std::uint32_t>({0, 1, 2, 3, 4}));
  cr_assert(!Answer.HasBadOffset);
  cr_assert(finishOf(Rig, "r").Code == FinishCode::Ok);
  cr_assert(finishOf(Rig, "r").TotalTokens == 5);
  cr_assert(Rig.Sut.isIdle());
}

// Guards against an answer that starts again, or has wrong offsets, when it
// resumes from the tokens that another dispatcher delivered.
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
  cr_assert(finishOf(Rig, "r").TotalTokens == 5);
}

// Guards against running a request twice because its message was resent.
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
  cr_assert(finishOf(Rig, "r").Attempt == 2);
}

// Guards against running a cancelled request because its Submit arrives late.
Test(Requests, CancelBeforeSubmitLeavesATombstone) {
  SchedulerRig Rig(2, 4);
  Rig.Fleet.advance(130000);
  Rig.Sut.cancel("gw", {"r", 0});
  Rig.Fleet.pump();
  Rig.Fleet.submit(Rig.Fleet.request("r", "check", 5));
  Rig.Fleet.advance(100);
  cr_assert(Rig.Fleet.Answers["r"].Starts == 0);
  cr_assert(finishOf(Rig, "r").Ran == Execution::NotRun);
}

// Guards against reporting not_run for work that an earlier process may have
// run.
Test(Requests, CancelAfterARestartKnowsNothing) {
  SchedulerRig Rig(2, 4);
  Rig.Sut.cancel("gw", {"r", 0});
  Rig.Fleet.pump();
  cr_assert(finishOf(Rig, "r").Ran == Execution::Unknown);
}

// Guards against a false not_run, and against an unknown where the state is
// known.
Test(Requests, VerdictFollowsTheFurthestAttempt) {
  SchedulerRig Rig(1, 1);
  freezeEngines(Rig);
  for (const char *Id : {"runs", "waits"})
    Rig.Fleet.submit(Rig.Fleet.request(Id, "check", 5));
  Rig.Sut.cancel("gw", {"waits", 0});
  Rig.Sut.cancel("gw", {"runs", 0});
  Rig.Fleet.pump();
  cr_assert(finishOf(Rig, "waits").Ran == Execution::NotRun);
  cr_assert(finishOf(Rig, "runs").Ran == Execution::Unknown);
  Rig.Fleet.submit(Rig.Fleet.request("refused", "check", 5));
  Rig.Sut.handleAttemptFailure(Rig.Fleet.Starts.back().Id, TimeoutError,
                               AttemptProgress::NotSent);
  Rig.Sut.cancel("gw", {"refused", 0});
  Rig.Fleet.pump();
  cr_assert(finishOf(Rig, "refused").Ran == Execution::NotRun);
  Rig.Fleet.advance(100);
  Rig.Fleet.submit(Rig.Fleet.request("began", "check", 5));
  Rig.Sut.handleAttemptTokens(Rig.Fleet.Starts.back().Id, {{0}, {"t"}});
  Rig.Sut.cancel("gw", {"began", 0});
  Rig.Fleet.pump();
  cr_assert(finishOf(Rig, "began").Ran == Execution::Ran);
}

// Guards against reporting not_run after a refusal, although an earlier attempt
// was sent.
Test(Requests, RefusalAfterASentAttemptIsUnknown) {
  SchedulerRig Rig(1, 1);
  freezeEngines(Rig);
  Rig.Fleet.submit(Rig.Fleet.request("r", "check", 5));
  Rig.Sut.handleAttemptFailure(Rig.Fleet.Starts.back().Id, TimeoutError,
                               AttemptProgress::Sent);
  Rig.Fleet.pump();
  cr_assert(Rig.Fleet.Starts.size() == 2);
  Rig.Sut.handleAttemptFailure(Rig.Fleet.Starts.back().Id, TimeoutError,
                               AttemptProgress::NotSent);
  Rig.Sut.cancel("gw", {"r", 0});
  Rig.Fleet.pump();
  cr_assert(finishOf(Rig, "r").Ran == Execution::Unknown);
}

// Guards against running a call twice that must not be repeated, by a retry,
// hedge, move, preemption or resubmission.
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
    cr_assert(finishOf(Rig, Id).Ran == Execution::Unknown);
    Rig.Fleet.Answers[Id].Finishes.clear();
    Rig.Sut.handleAttemptFailure(Start.Id, TimeoutError, Progress);
    Rig.Fleet.advance(500);
    cr_assert(Rig.Fleet.Answers[Id].Starts == 1);
    cr_assert(finishOf(Rig, Id).Ran == (Progress == AttemptProgress::NotSent
                                            ? Execution::NotRun
                                            : Execution::Unknown));
  }
}

// Guards against work that runs after its deadline.
Test(Requests, DeadlineEndsQueuedAndRunningWork) {
  SchedulerRig Rig(1, 1);
  freezeEngines(Rig);
  Submit Work = Rig.Fleet.request("runs", "check", 5);
  Work.RemainingMs = 100;
  Rig.Fleet.submit(Work);
  Submit Later = Rig.Fleet.request("waits", "check", 5);
  Later.RemainingMs = 90;
  Rig.Fleet.submit(Later);
  Rig.Fleet.advance(110);
  cr_assert(finishOf(Rig, "waits").Code == FinishCode::DeadlineExceeded);
  cr_assert(finishOf(Rig, "waits").Ran == Execution::NotRun);
  cr_assert(finishOf(Rig, "runs").Ran == Execution::Unknown);
  cr_assert(Rig.Fleet.Cancels.size() == 1);
}

// Guards against refusals without a code, a correct execution state and a time
// to retry.
Test(Requests, RefusalsAreNotRun) {
  FleetSettings Settings = fakeSettings(1, 1);
  Settings.Limits.QueuePerService = 2;
  SchedulerRig Rig(Settings);
  freezeEngines(Rig);
  for (int I = 0; I < 4; ++I)
    Rig.Fleet.submit(Rig.Fleet.request(std::to_string(I), "check", 5));
  cr_assert(finishOf(Rig, "3").Code == FinishCode::Overloaded);
  cr_assert(finishOf(Rig, "3").RetryAfterMs > 0);
  cr_assert(finishOf(Rig, "3").Load.QueuedOnline == 2);
  Submit Other = Rig.Fleet.request("no-server", "check", 5);
  Other.Service = "p";
  Rig.Fleet.submit(Other);
  cr_assert(finishOf(Rig, "no-server").Code == FinishCode::NoServer);
  Rig.Fleet.submit(Rig.Fleet.request("no-class", "none", 5));
  cr_assert(finishOf(Rig, "no-class").Code == FinishCode::InvalidRequest);
  Rig.Sut.drain();
  // The queue of batch work is not full.
  Rig.Fleet.submit(Rig.Fleet.request("drained", "batch", 5));
  cr_assert(finishOf(Rig, "drained").Ran == Execution::NotRun);
  cr_assert(!Rig.Sut.isIdle());
}

// Guards against accepting work that would miss its deadline in the queue.
Test(Requests, ShedsWhatCannotMeetItsDeadline) {
  SchedulerRig Rig(1, 4);
  Rig.warmUp();
  for (int I = 0; I < 80; ++I)
    Rig.Fleet.submit(Rig.Fleet.request("q" + std::to_string(I), "check", 20));
  Submit Urgent = Rig.Fleet.request("hasty", "check", 20);
  Urgent.RemainingMs = 1000;
  Rig.Fleet.submit(Urgent);
  cr_assert(finishOf(Rig, "hasty").Code == FinishCode::Overloaded);
  cr_assert(finishOf(Rig, "hasty").Ran == Execution::NotRun);
  cr_assert(finishOf(Rig, "hasty").RetryAfterMs > 1000);
}

// Guards against work that continues although its peer is lost.
Test(Requests, LostPeerEndsItsWork) {
  SchedulerRig Rig(1, 1);
  freezeEngines(Rig);
  Rig.Fleet.submit(Rig.Fleet.request("lost", "check", 5), "gone");
  Rig.Fleet.submit(Rig.Fleet.request("kept", "check", 5), "gw");
  Rig.Sut.handlePeerLoss("gone");
  Rig.Fleet.pump();
  cr_assert(Rig.Fleet.Cancels.size() == 1);
  cr_assert(Rig.Fleet.Answers["lost"].Finishes.empty());
  cr_assert(Rig.Fleet.Answers["kept"].Starts == 1);
}

// Guards against work that starts on a leaving server, and against streams that
// are cancelled because their server leaves or moves to another owner.
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
  cr_assert(finishOf(Rig, "late").Code == FinishCode::NoServer);
  for (int I = 0; I < 2; ++I)
    cr_assert(finishOf(Rig, "r" + std::to_string(I)).Code == FinishCode::Ok);
  cr_assert(Rig.Fleet.Cancels.empty());
  cr_assert(Rig.Sut.isIdle());
}
