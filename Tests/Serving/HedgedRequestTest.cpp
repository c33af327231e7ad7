#include "Support/OnlineBench.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view FirstEvent = "id: 0\ndata: a\n\n";

/// An OnlineBench whose service is known to answer at once.
struct HedgeBench : OnlineBench {
  /// The requests that make the times of the service known.
  static constexpr CallerId Warmup = 100;

  HedgeBench() {
    Online.setHedging({0.2, 20ms, 0.2});
    for (CallerId Caller = 1000; Caller < 1000 + Warmup; ++Caller) {
      start(Caller, RequestKind::Idempotent);
      Channels.head(Channels.last().Id, 200);
      Channels.done(Channels.last().Id);
    }
  }

  /// Starts a request and waits until its copy is sent. The first send is
  /// number 101 and the copy is number 102.
  void startLate(RequestKind Kind, bool Resumable = true,
                 const std::string &Parts = "") {
    start(1, Kind, Resumable, "4000", Parts);
    cr_assert(
        runUntil(Loop, [&] { return Channels.All.size() == Warmup + 2; }));
    cr_assert_neq(sentHeader(First, "Server"), sentHeader(Copy, "Server"));
  }
  /// Starts a request that must not get a copy.
  void checkNoCopy(RequestKind Kind, bool Resumable = true,
                   const std::string &Parts = "") {
    start(1, Kind, Resumable, "4000", Parts);
    runFor(Loop, 60ms);
    cr_assert_eq(Channels.All.size(), Warmup + 1);
    Channels.head(First, 200);
    Channels.body(First, "whole");
    Channels.done(First);
    cr_assert_str_eq(answer(1).Body.c_str(), "whole");
  }
  double ended(const std::string &Outcome) {
    return Stats.value("hedge_copies_ended_total{outcome=\"" + Outcome + "\"}");
  }
  double refused(const std::string &Reason) {
    return Stats.value("hedge_copies_refused_total{reason=\"" + Reason + "\"}");
  }
  int load() {
    return Loads.totalLoad("s1").Online + Loads.totalLoad("s2").Online;
  }

  static constexpr SendId First = Warmup + 1;
  static constexpr SendId Copy = Warmup + 2;
};

} // namespace

// Guards against a late request that waits for its first server alone, and
// against a loser that goes on running.
Test(HedgedRequest, CopyThatAnswersFirstWins) {
  HedgeBench Bench;
  Bench.startLate(RequestKind::Idempotent);
  cr_assert_eq(Bench.load(), 2);
  Bench.Channels.head(HedgeBench::Copy, 200);
  cr_assert(Bench.Channels.Cancelled.contains(HedgeBench::First));
  // The loser answers after all.
  Bench.Channels.head(HedgeBench::First, 200);
  Bench.Channels.body(HedgeBench::First, "first");
  Bench.Channels.body(HedgeBench::Copy, "copy");
  Bench.Channels.done(HedgeBench::Copy);
  Bench.Channels.done(HedgeBench::First);
  cr_assert_str_eq(Bench.answer(1).Body.c_str(), "copy");
  cr_assert(Bench.answer(1).Complete);
  cr_assert_eq(Bench.Stats.value("hedge_copies_sent_total"), 1);
  cr_assert_eq(Bench.ended("won"), 1);
  cr_assert_eq(Bench.load(), 0);
  cr_assert_eq(Bench.Online.openCallCount(), 0);
}

// Guards against two answers at the same instant that are both passed on, and
// against a copy that is not cancelled when it loses.
Test(HedgedRequest, FirstSendThatAnswersFirstWins) {
  HedgeBench Bench;
  Bench.startLate(RequestKind::Idempotent);
  Bench.Channels.head(HedgeBench::First, 200);
  Bench.Channels.head(HedgeBench::Copy, 200);
  Bench.Channels.body(HedgeBench::Copy, "copy");
  Bench.Channels.body(HedgeBench::First, "first");
  Bench.Channels.done(HedgeBench::Copy);
  Bench.Channels.done(HedgeBench::First);
  cr_assert(Bench.Channels.Cancelled.contains(HedgeBench::Copy));
  cr_assert_not(Bench.Channels.Cancelled.contains(HedgeBench::First));
  cr_assert_str_eq(Bench.answer(1).Body.c_str(), "first");
  cr_assert_eq(Bench.ended("lost"), 1);
  cr_assert_eq(Bench.load(), 0);
}

// Guards against a copy whose answer is not that of the request, but ends the
// first send.
Test(HedgedRequest, AnswerThatDoesNotNameTheRequestDoesNotWin) {
  for (const bool IsCopy : {true, false}) {
    HedgeBench Bench;
    Bench.startLate(RequestKind::Idempotent);
    const SendId Improper = IsCopy ? HedgeBench::Copy : HedgeBench::First;
    const SendId Proper = IsCopy ? HedgeBench::First : HedgeBench::Copy;
    Bench.Channels.headAsIs(Improper, 200);
    cr_assert(Bench.Channels.Cancelled.contains(Improper));
    cr_assert_not(Bench.Channels.Cancelled.contains(Proper));
    Bench.Channels.head(Proper, 200);
    Bench.Channels.body(Proper, "proper");
    Bench.Channels.done(Proper);
    cr_assert_str_eq(Bench.answer(1).Body.c_str(), "proper");
    cr_assert_eq(Bench.load(), 0);
  }
}

// Guards against a stream that joins the head of one run with the events of the
// other, and against comments that win although they answer nothing.
Test(HedgedRequest, FirstEventDecidesBetweenStreams) {
  HedgeBench Bench;
  Bench.start(1, RequestKind::Stream, true);
  Bench.stream(HedgeBench::First, ": ping\n\n");
  cr_assert(runUntil(Bench.Loop, [&] {
    return Bench.Channels.All.size() == HedgeBench::Copy;
  }));
  Bench.stream(HedgeBench::Copy, "id: 0\nda");
  Bench.Channels.body(HedgeBench::First, ": ping\n\n");
  cr_assert_eq(Bench.answer(1).Status, 0);
  Bench.Channels.body(HedgeBench::Copy, "ta: a\n\n");
  cr_assert(Bench.Channels.Cancelled.contains(HedgeBench::First));
  Bench.Channels.body(HedgeBench::First, "id: 0\ndata: x\n\n");
  // A stream of one run may have any ids.
  Bench.Channels.body(HedgeBench::Copy, "id: 5\ndata: b\n\n");
  Bench.Channels.done(HedgeBench::Copy);
  cr_assert(Bench.answer(1).Complete);
  cr_assert_str_eq(Bench.answer(1).Body.c_str(),
                   "id: 0\ndata: a\n\nid: 5\ndata: b\n\n");
  cr_assert_eq(rawHeader(Bench.answer(1).Headers, "Stamp"), "of 102");
}

// Guards against a stream whose beginning is lost or withheld because no copy
// may be sent.
Test(HedgedRequest, HeldBeginningIsPassedOnWithoutACopy) {
  HedgeBench Bench;
  Bench.Servers.remove("s2");
  Bench.start(1, RequestKind::Stream, true);
  const SendId Send = Bench.Channels.last().Id;
  Bench.stream(Send, ": ping\n\n");
  cr_assert_eq(Bench.answer(1).Status, 0);
  cr_assert(
      runUntil(Bench.Loop, [&] { return Bench.answer(1).Status == 200; }));
  cr_assert_str_eq(Bench.answer(1).Body.c_str(), ": ping\n\n");
  Bench.Channels.body(Send, FirstEvent);
  Bench.Channels.done(Send);
  cr_assert(Bench.answer(1).Complete);
  cr_assert_eq(Bench.Channels.All.size(), HedgeBench::First);
  cr_assert_eq(Bench.refused("capacity"), 1);
}

// Guards against a refused or failed copy that ends the request or causes a
// third send while the first one is still running.
Test(HedgedRequest, FailedCopyLeavesTheFirstSendRunning) {
  for (int Case = 0; Case < 4; ++Case) {
    HedgeBench Bench;
    Bench.startLate(RequestKind::Idempotent);
    if (Case == 0)
      Bench.Channels.head(HedgeBench::Copy, 503, {{"Not-Run", "1"}});
    else if (Case == 1)
      Bench.Channels.head(HedgeBench::Copy, 421);
    else if (Case == 2)
      Bench.Channels.head(HedgeBench::Copy, 500);
    else
      Bench.Channels.fail(HedgeBench::Copy, SendFailure::NotSent);
    cr_assert_eq(Bench.Channels.All.size(), HedgeBench::Copy);
    cr_assert_not(Bench.Channels.Cancelled.contains(HedgeBench::First));
    Bench.Channels.head(HedgeBench::First, 200);
    Bench.Channels.body(HedgeBench::First, "first");
    Bench.Channels.done(HedgeBench::First);
    cr_assert_str_eq(Bench.answer(1).Body.c_str(), "first");
    cr_assert_eq(Bench.ended("failed"), 1);
    cr_assert_eq(Bench.load(), 0);
  }
}

// Guards against a retry while the copy is still running, and against a retry
// that exceeds the attempts of the route.
Test(HedgedRequest, FailedFirstSendLeavesTheCopyRunning) {
  HedgeBench Bench;
  Bench.startLate(RequestKind::Stream);
  Bench.stream(HedgeBench::Copy, ": ping\n\n");
  Bench.Channels.fail(HedgeBench::First, SendFailure::Unanswered);
  // The failure alone starts no send except the check of the server.
  cr_assert_eq(Bench.Channels.All.size(), HedgeBench::Copy);
  Bench.Channels.body(HedgeBench::Copy, FirstEvent);
  Bench.Channels.done(HedgeBench::Copy);
  cr_assert(Bench.answer(1).Complete);
  cr_assert_eq(Bench.answer(1).Body, ": ping\n\n" + std::string(FirstEvent));
  HedgeBench Both;
  Both.startLate(RequestKind::Idempotent);
  Both.Channels.fail(HedgeBench::First, SendFailure::Unanswered);
  Both.Channels.fail(HedgeBench::Copy, SendFailure::Unanswered);
  cr_assert_eq(Both.answer(1).Status, 502);
  cr_assert_eq(Both.Channels.All.size(), HedgeBench::Copy);
  cr_assert_eq(Both.load(), 0);
}

// Guards against events of two runs in one stream: after the winner broke off,
// the resumed part must follow directly.
Test(HedgedRequest, StreamThatBreaksOffAfterTheRaceIsResumed) {
  HedgeBench Bench;
  Bench.Route.MaxAttempts = 3;
  Bench.startLate(RequestKind::Stream);
  Bench.stream(HedgeBench::Copy, FirstEvent);
  Bench.Channels.fail(HedgeBench::Copy, SendFailure::AnswerTruncated);
  const SendId Next = HedgeBench::Copy + 1;
  cr_assert_eq(Bench.Channels.All.size(), Next);
  cr_assert_eq(Bench.sentHeader(Next, "After"), "0");
  Bench.stream(Next, "id: 2\ndata: c\n\n");
  cr_assert(Bench.answer(1).Broken);
  cr_assert_eq(Bench.answer(1).Body, FirstEvent);
}

// Guards against sends that go on after the caller left, or after the VM gave
// the final answer because it stops.
Test(HedgedRequest, EndOfTheCallCancelsBothSends) {
  for (const bool Stops : {false, true}) {
    HedgeBench Bench;
    Bench.startLate(RequestKind::Idempotent);
    if (Stops) {
      Bench.Online.endCalls(true);
      cr_assert_eq(Bench.answer(1).Status, 504);
    } else {
      Bench.Online.callerDisconnected(1);
    }
    cr_assert(Bench.Channels.Cancelled.contains(HedgeBench::First));
    cr_assert(Bench.Channels.Cancelled.contains(HedgeBench::Copy));
    cr_assert_eq(Bench.ended("cancelled"), 1);
    cr_assert_eq(Bench.load(), 0);
    Bench.Channels.head(HedgeBench::Copy, 200);
    cr_assert_eq(Bench.Online.openCallCount(), 0);
  }
}

// Guards against a second run of a request that may not be repeated.
Test(HedgedRequest, OnlyRepeatableRequestsGetACopy) {
  HedgeBench().checkNoCopy(RequestKind::AtMostOnce);
  HedgeBench().checkNoCopy(RequestKind::Stream, false);
  HedgeBench OneAttempt;
  OneAttempt.Route.MaxAttempts = 1;
  OneAttempt.checkNoCopy(RequestKind::Idempotent);
}

// Guards against a copy that crashes a second server.
Test(HedgedRequest, SuspectsAndTrialsGetNoCopy) {
  HedgeBench Bench;
  Bench.Crashes.addCrash({makeCrashSuspects("/x", "", "bad:1,o:3")}, 1);
  Bench.checkNoCopy(RequestKind::Idempotent, true, "bad:1,own:3");
  cr_assert_eq(Bench.refused("suspect"), 1);
  HedgeBench Trial;
  Trial.IsChosenForTrials = true;
  CrashRecord Blocked;
  Blocked.Suspect = sharedPromptParts("bad:2,o:3").front();
  Blocked.IsPart = true;
  Blocked.AgeSeconds = 60;
  Blocked.Servers = {{1, 1}, {2, 1}, {3, 1}};
  Blocked.Requests = {1, 2, 3};
  Trial.Crashes.mergeRecord(Blocked);
  Trial.checkNoCopy(RequestKind::Idempotent, true, "bad:2,own:3");
  cr_assert_eq(Trial.refused("suspect"), 1);
}

// Guards against copies that displace other requests: a copy needs a free slot
// and enough free slots of the service.
Test(HedgedRequest, CopyNeedsFreeSlots) {
  HedgeBench Full;
  for (int I = 0; I < 2; ++I) {
    Full.Loads.addBatchItem("s1");
    Full.Loads.addBatchItem("s2");
  }
  Full.checkNoCopy(RequestKind::Idempotent);
  cr_assert_eq(Full.refused("capacity"), 1);
  HedgeBench Reserved;
  Reserved.Online.setHedging({0.2, 20ms, 0.9});
  Reserved.checkNoCopy(RequestKind::Idempotent);
  cr_assert_eq(Reserved.refused("capacity"), 1);
}

// Guards against copies that wait for a slot at a full server, although the
// service as a whole has free slots.
Test(HedgedRequest, CopyNeverWaitsForASlot) {
  HedgeBench Bench;
  Bench.Online.setHedging({0.2, 20ms, 0});
  Bench.start(1, RequestKind::Idempotent);
  const char *Other =
      Bench.sentHeader(HedgeBench::First, "Server") == "s1" ? "s2" : "s1";
  Bench.Loads.addOnlineRequest(Other);
  Bench.Loads.addOnlineRequest(Other);
  runFor(Bench.Loop, 60ms);
  cr_assert_eq(Bench.Channels.All.size(), HedgeBench::First);
  cr_assert_eq(Bench.refused("capacity"), 1);
}

// Guards against copies on servers that fail, that have the request, or whose
// last slot a VM of their own zone may just have taken.
Test(CopyPlacement, OnlyReliableServersWithAFreeSlotAreChosen) {
  OnlineBench Bench;
  Bench.Servers.update({"s3", "model", "127.0.0.1:3", "b", 2, false, 1});
  const std::set<std::string> Tried = {"s1"};
  cr_assert_eq(Bench.Placement.placeCopy("model", Tried).Server->Entry.Id,
               "s2");
  cr_assert_eq(Bench.Placement.placeCopy("model", Tried).FreeSlots, 1);
  Bench.Servers.recordFailure("s2");
  const CopyPlacement Far = Bench.Placement.placeCopy("model", Tried);
  cr_assert_eq(Far.Server->Entry.Id, "s3");
  cr_assert_eq(Far.FreeSlots, 4.0 / 6);
  Bench.Loads.addBatchItem("s3");
  cr_assert_eq(Bench.Placement.placeCopy("model", Tried).Server, nullptr);
}

// Guards against a refused copy that uses up an attempt of the route.
Test(HedgedRequest, RefusedCopyIsNoAttempt) {
  HedgeBench Bench;
  Bench.startLate(RequestKind::Idempotent);
  Bench.Channels.head(HedgeBench::Copy, 503, {{"Not-Run", "1"}});
  Bench.Channels.fail(HedgeBench::First, SendFailure::Unanswered);
  cr_assert_eq(Bench.Channels.All.size(), HedgeBench::Copy + 1);
  cr_assert_not(Bench.answer(1).Complete);
}

// Guards against copies that a stopping VM starts, although it may not be there
// for the answer.
Test(HedgedRequest, StoppingVmSendsNoCopy) {
  HedgeBench Bench;
  Bench.start(1, RequestKind::Idempotent);
  Bench.Online.stopHedging();
  runFor(Bench.Loop, 60ms);
  cr_assert_eq(Bench.Channels.All.size(), HedgeBench::First);
}

// Guards against copies of requests whose time is nearly up.
Test(HedgedRequest, RequestWithoutTimeGetsNoCopy) {
  HedgeBench Bench;
  Bench.start(1, RequestKind::Idempotent, false, "15");
  cr_assert(runUntil(Bench.Loop, [&] { return Bench.answer(1).Complete; }));
  cr_assert_eq(Bench.Channels.All.size(), HedgeBench::First);
}

// Guards against a silent first server that keeps the request although the copy
// is running elsewhere.
Test(HedgedRequest, StalledFirstSendLeavesTheCopyRunning) {
  HedgeBench Bench;
  Bench.Route.TargetLatency = 10ms;
  Bench.startLate(RequestKind::Idempotent);
  cr_assert(runUntil(Bench.Loop, [&] {
    return Bench.Channels.Cancelled.contains(HedgeBench::First);
  }));
  cr_assert_eq(Bench.Channels.All.size(), HedgeBench::Copy);
  Bench.Channels.head(HedgeBench::Copy, 200);
  Bench.Channels.done(HedgeBench::Copy);
  cr_assert_eq(Bench.answer(1).Status, 200);
}
