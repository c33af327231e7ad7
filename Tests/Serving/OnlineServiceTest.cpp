#include "Serving/OnlineRequest.h"
#include "Support/OnlineBench.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

// Checks that a request reaches its server unchanged and with no more time than
// its caller allows.
Test(OnlineService, RequestIsPassedOnUnchanged) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::AtMostOnce);
  const RawRequest &Sent = Bench.Channels.last().Order.Request;
  cr_assert_str_eq(Sent.Target.c_str(), "/p/1");
  cr_assert_str_eq(Sent.Body.c_str(), "body");
  cr_assert_str_eq(Bench.sentHeader(1, "X-Own").c_str(), "kept");
  cr_assert(Bench.sentHeader(1, "Connection").empty());
  cr_assert_leq(std::stoi(Bench.sentHeader(1, "Remaining")), 4000);
  cr_assert_neq(Bench.sentHeader(1, "Server"), "");
}

// Checks that an at-most-once request that may have run is neither sent again
// nor reported as not run.
Test(OnlineService, AtMostOnceIsNeverSentAgainAfterABreak) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::AtMostOnce);
  Bench.Channels.fail(1, SendFailure::Unanswered);
  cr_assert_eq(Bench.Channels.All.size(), 1);
  cr_assert_eq(Bench.answer(1).Status, 502);
}

// Checks that a request that one full server refuses is sent to another server,
// and that the attempts end when all servers keep refusing it.
Test(OnlineService, RefusedRequestGoesToAnotherServerAndIsRefusedInTheEnd) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::AtMostOnce);
  Bench.Channels.head(1, 503, {{"Not-Run", "1"}});
  cr_assert_eq(Bench.Channels.All.size(), 2);
  cr_assert_neq(Bench.sentHeader(1, "Server"), Bench.sentHeader(2, "Server"));
  Bench.Route.TargetLatency = 50ms;
  for (SendId Id = 2; !Bench.answer(1).Complete && Id < 2000; ++Id) {
    Bench.Channels.head(Id, 421);
    runUntil(Bench.Loop, [&] {
      return Bench.Channels.All.size() > Id || Bench.answer(1).Complete;
    });
  }
  cr_assert_eq(Bench.answer(1).Status, 503);
  cr_assert_neq(rawHeader(Bench.answer(1).Headers, "Retry-After"), "");
}

// Checks that a request that one server may have run is not reported as not
// run.
Test(OnlineService, NoRefusalAfterAPossibleRun) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Idempotent);
  Bench.Channels.fail(1, SendFailure::Unanswered);
  cr_assert_eq(Bench.Channels.All.size(), 2);
  Bench.Channels.fail(2, SendFailure::Unanswered);
  cr_assert_eq(Bench.answer(1).Status, 502);
}

// Checks that the error answer of a server reaches the caller unchanged.
Test(OnlineService, FailureOfTheServerIsPassedOn) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::AtMostOnce);
  Bench.Channels.head(1, 500, {{"Stamp", "s"}});
  Bench.Channels.body(1, "why");
  Bench.Channels.done(1);
  cr_assert_eq(Bench.answer(1).Status, 500);
  cr_assert_str_eq(Bench.answer(1).Body.c_str(), "why");
  cr_assert_eq(rawHeader(Bench.answer(1).Headers, "Stamp"), "s");
}

// Checks that a truncated body is not forwarded as if it were complete.
Test(OnlineService, CutAnswerIsNotPassedOn) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Idempotent);
  Bench.Channels.head(1, 200);
  Bench.Channels.body(1, "par");
  Bench.Channels.fail(1, SendFailure::AnswerTruncated);
  Bench.Channels.head(2, 200);
  Bench.Channels.body(2, "whole");
  Bench.Channels.done(2);
  cr_assert_str_eq(Bench.answer(1).Body.c_str(), "whole");
}

// Checks that a stream that another server resumes has no gap, no duplicate
// event and no partial event.
Test(OnlineService, ResumableStreamGoesOnAfterItsLastWholeEvent) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Stream, true);
  Bench.stream(1, "id: 0\ndata: a\n\nid: 1\nda");
  Bench.Channels.fail(1, SendFailure::AnswerTruncated);
  cr_assert_str_eq(Bench.sentHeader(2, "After").c_str(), "0");
  Bench.stream(2, "id: 1\ndata: b\n\n");
  Bench.Channels.done(2);
  cr_assert_str_eq(Bench.answer(1).Body.c_str(),
                   "id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
  cr_assert(Bench.answer(1).Complete);
  cr_assert_eq(rawHeader(Bench.answer(1).Headers, "Stamp"), "of 1");
}

// Checks that a stream is aborted if the resumed part does not follow directly.
Test(OnlineService, ResumedStreamWithAGapIsBrokenOff) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Stream, true);
  Bench.stream(1, "id: 0\ndata: a\n\n");
  Bench.Channels.fail(1, SendFailure::AnswerTruncated);
  Bench.stream(2, "id: 2\ndata: c\n\n");
  cr_assert(Bench.answer(1).Broken);
  cr_assert_eq(Bench.answer(1).Body.find("data: c"), std::string::npos);
}

// Checks that a stream that is not resumable does not run twice.
Test(OnlineService, OtherStreamsAreBrokenOff) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Stream);
  Bench.stream(1, "id: 0\ndata: a\n\n");
  Bench.Channels.fail(1, SendFailure::AnswerTruncated);
  cr_assert_eq(Bench.Channels.All.size(), 1);
  cr_assert(Bench.answer(1).Broken);
  cr_assert_not(Bench.answer(1).Complete);
}

// Guards against a stream that looks complete although its server crashed: the
// answer has no length, and the end of the connection ends it inside an event.
Test(OnlineService, StreamThatEndsInsideAnEventIsBrokenOff) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Stream);
  Bench.stream(1, "id: 0\ndata: a\n\nid: 1\nda");
  Bench.Channels.done(1);
  cr_assert(Bench.answer(1).Broken);
  cr_assert_not(Bench.answer(1).Complete);
  cr_assert_eq(Bench.answer(1).Body.find("id: 1"), std::string::npos);
}

// Guards against a stream that is broken off although another server can go on
// with it.
Test(OnlineService, ResumableStreamThatEndsInsideAnEventIsResumed) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Stream, true);
  Bench.stream(1, "id: 0\ndata: a\n\nid: 1\nda");
  Bench.Channels.done(1);
  cr_assert_eq(Bench.Channels.All.size(), 2);
  cr_assert_str_eq(Bench.sentHeader(2, "After").c_str(), "0");
  Bench.stream(2, "id: 1\ndata: b\n\n");
  Bench.Channels.done(2);
  cr_assert(Bench.answer(1).Complete);
  cr_assert_str_eq(Bench.answer(1).Body.c_str(),
                   "id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
}

// Guards against an empty stream without a length that looks complete, and that
// clears a request that crashes servers.
Test(OnlineService, EmptyStreamWithoutALengthIsBrokenOff) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Stream, true);
  Bench.stream(1, "");
  Bench.Channels.done(1);
  cr_assert_eq(Bench.Channels.All.size(), 2);
  Bench.start(2, RequestKind::Stream);
  Bench.Channels.head(
      3, 200, {{"Content-Type", "text/event-stream"}, {"Content-Length", "0"}});
  Bench.Channels.done(3);
  cr_assert(Bench.answer(2).Complete);
}

// Checks that the request of a disconnected caller is cancelled at its server,
// unless it is an at-most-once request, which must not be interrupted.
Test(OnlineService, CallerThatLeavesStopsWhatMayBeStopped) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Stream);
  Bench.start(2, RequestKind::AtMostOnce);
  Bench.Online.callerDisconnected(1);
  Bench.Online.callerDisconnected(2);
  cr_assert(Bench.Channels.Cancelled.contains(1));
  cr_assert_not(Bench.Channels.Cancelled.contains(2));
  cr_assert_eq(Bench.Online.openCallCount(), 0);
}

// Checks that a caller gets its final answer when the time limit of the route
// ends.
Test(OnlineService, TimeoutGivesTheFinalAnswer) {
  OnlineBench Bench;
  Bench.Route.Timeout = 50ms;
  Bench.start(1, RequestKind::AtMostOnce);
  cr_assert(runUntil(Bench.Loop, [&] { return Bench.answer(1).Complete; }));
  cr_assert_eq(Bench.answer(1).Status, 504);
  cr_assert(Bench.Channels.Cancelled.contains(1));
}

// Checks that a request does not wait if no server can serve it.
Test(OnlineService, WithoutServersTheRequestIsRefusedAtOnce) {
  OnlineBench Bench;
  Bench.Servers.remove("s1");
  Bench.Servers.remove("s2");
  Bench.start(1, RequestKind::AtMostOnce);
  cr_assert_eq(Bench.answer(1).Status, 503);
  cr_assert_eq(Bench.Channels.All.size(), 0);
}

// Checks that a repeatable request is sent to another server if the first one
// does not respond.
Test(OnlineService, SilentServerIsLeftIfTheRequestMayRunAgain) {
  OnlineBench Bench;
  Bench.Route.TargetLatency = 10ms;
  Bench.start(1, RequestKind::Idempotent);
  cr_assert(
      runUntil(Bench.Loop, [&] { return Bench.Channels.All.size() == 2; }));
  cr_assert(Bench.Channels.Cancelled.contains(1));
}

// Checks that a request that crashes one server after the other is blocked.
Test(OnlineService, RequestThatCrashesItsServersIsBarred) {
  OnlineBench Bench;
  Bench.Route.MaxAttempts = 1;
  for (SendId Id = 1; Id <= 5; Id += 2) {
    Bench.start(7, RequestKind::Idempotent);
    Bench.Channels.fail(Id, SendFailure::Unanswered);
    // The crash check reaches the server, which does not accept the connection.
    cr_assert(runUntil(Bench.Loop,
                       [&] { return Bench.Channels.All.size() == Id + 1; }));
    Bench.Channels.fail(Id + 1, SendFailure::NotSent);
  }
  const std::size_t Before = Bench.Channels.All.size();
  Bench.start(7, RequestKind::Idempotent);
  cr_assert_eq(Bench.Channels.All.size(), Before);
  cr_assert_eq(Bench.answer(7).Status, 503);
}

// Guards against sending a request again and again to servers that it crashes,
// because servers that fail it without running it reset the count.
Test(OnlineService, FailureOfAServerDoesNotResetTheCrashCount) {
  OnlineBench Bench;
  Bench.Route.MaxAttempts = 1;
  for (int Crash = 0; Crash < 3; ++Crash) {
    Bench.start(7, RequestKind::Idempotent);
    const SendId Send = Bench.Channels.last().Id;
    Bench.Channels.fail(Send, SendFailure::Unanswered);
    cr_assert(runUntil(Bench.Loop,
                       [&] { return Bench.Channels.last().Id == Send + 1; }));
    Bench.Channels.fail(Send + 1, SendFailure::NotSent);
    if (Crash == 2)
      break;
    Bench.start(7, RequestKind::Idempotent);
    Bench.Channels.head(Bench.Channels.last().Id, 500);
    Bench.Channels.done(Bench.Channels.last().Id);
  }
  const std::size_t Before = Bench.Channels.All.size();
  Bench.start(7, RequestKind::Idempotent);
  cr_assert_eq(Bench.Channels.All.size(), Before);
  cr_assert_eq(Bench.answer(7).Status, 503);
}

// Checks that a request is not blocked because of broken connections to a
// running server.
Test(OnlineService, BrokenConnectionsOfALivingServerBarNothing) {
  OnlineBench Bench;
  Bench.Route.MaxAttempts = 1;
  for (SendId Id = 1; Id <= 9; Id += 2) {
    Bench.start(7, RequestKind::Idempotent);
    cr_assert_eq(Bench.Channels.All.size(), Id, "sent at %zu", std::size_t(Id));
    Bench.Channels.fail(Id, SendFailure::Unanswered);
    cr_assert(runUntil(Bench.Loop,
                       [&] { return Bench.Channels.All.size() == Id + 1; }));
    Bench.Channels.head(Id + 1, 200);
    Bench.Channels.done(Id + 1);
  }
}

// Guards against counting the crash of a server against streams that were well
// under way there.
Test(OnlineService, StreamUnderWayIsNotSuspectedOfACrash) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Stream);
  Bench.stream(1, "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n");
  Bench.Channels.fail(1, SendFailure::AnswerTruncated);
  Bench.start(2, RequestKind::Stream);
  Bench.stream(2, "id: 0\ndata: a\n\n");
  Bench.Channels.fail(2, SendFailure::AnswerTruncated);
  cr_assert(
      runUntil(Bench.Loop, [&] { return Bench.Channels.All.size() >= 3; }));
  for (SendId Check = 3; Check <= Bench.Channels.All.size(); ++Check)
    Bench.Channels.fail(Check, SendFailure::NotSent);
  runFor(Bench.Loop, 100ms);
  cr_assert_eq(Bench.Crashes.size(), 1);
}

// Guards against requests that crash servers by a part that their prompts
// share, and against a Retry-After that brings them back at once.
Test(OnlineService, RequestWithABlockedPartIsRefused) {
  OnlineBench Bench;
  for (std::uint32_t Server = 1; Server <= 3; ++Server)
    Bench.Crashes.addCrash({makeCrashSuspects("/x/" + std::to_string(Server),
                                              "", "a:1,bad:2,o:3")},
                           Server);
  Bench.Crashes.recordSuccess(makeCrashSuspects("/y", "", "a:1,o:3"));
  Bench.start(1, RequestKind::Stream, true, "4000", "a:1,bad:2,own:3");
  cr_assert_eq(Bench.answer(1).Status, 503);
  cr_assert_str_eq(rawHeader(Bench.answer(1).Headers, "Retry-After").data(),
                   "5.00");
  cr_assert_eq(Bench.Channels.All.size(), 0);
  Bench.start(2, RequestKind::Stream, true, "4000", "a:1,good:2,own:3");
  cr_assert_eq(Bench.Channels.All.size(), 1);
}

// Guards against a part that nobody tries again because its trial was refused
// by a full server, and against a trial at several servers.
Test(OnlineService, TrialEndsWithTheFirstRun) {
  OnlineBench Bench;
  Bench.IsChosenForTrials = true;
  CrashRecord Blocked;
  Blocked.Suspect = sharedPromptParts("bad:2,o:3").front();
  Blocked.IsPart = true;
  Blocked.AgeSeconds = 60;
  Blocked.Servers = {{1, 1}, {2, 1}, {3, 1}};
  Blocked.Requests = {1, 2, 3};
  Bench.Crashes.mergeRecord(Blocked);
  Bench.start(1, RequestKind::Stream, true, "4000", "bad:2,own:3");
  cr_assert_eq(Bench.Channels.All.size(), 1);
  Bench.Channels.head(1, 503, {{"Not-Run", "1"}});
  cr_assert_eq(Bench.Channels.All.size(), 2);
  Bench.Channels.fail(2, SendFailure::Unanswered);
  cr_assert_eq(Bench.Channels.All.size(), 2);
  cr_assert_eq(Bench.answer(1).Status, 502);
}

// Guards against requests to a server that leaves, after the list of servers
// still shows it as ready, or shows it again after an outage.
Test(OnlineService, ServerThatSaysItLeavesGetsNoMoreRequests) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Idempotent);
  const std::string Leaving = Bench.sentHeader(1, "Server");
  Bench.Channels.head(1, 200, {{"Leaving", "1"}});
  Bench.Channels.done(1);
  cr_assert_eq(Bench.answer(1).Status, 200);
  const ServerEntry Entry = Bench.Servers.find(Leaving)->Entry;
  const auto CheckUnused = [&](CallerId Caller) {
    Bench.start(Caller, RequestKind::Idempotent);
    const SendId Send = Bench.Channels.last().Id;
    cr_assert_str_neq(Bench.sentHeader(Send, "Server").c_str(),
                      Leaving.c_str());
    Bench.Channels.head(Send, 200);
    Bench.Channels.done(Send);
  };
  for (CallerId Caller = 2; Caller < 12; ++Caller)
    CheckUnused(Caller);
  Bench.Servers.update(Entry);
  CheckUnused(12);
  Bench.Servers.remove(Leaving);
  Bench.Servers.update(Entry);
  for (CallerId Caller = 13; Caller < 23; ++Caller)
    CheckUnused(Caller);
  ServerEntry Restarted = Entry;
  ++Restarted.StartUnixMillis;
  Bench.Servers.update(Restarted);
  cr_assert_eq(Bench.Servers.usableServers("model").size(), 2);
}

// Guards against a refusal whose mark of a leaving server is overlooked.
Test(OnlineService, RefusalOfALeavingServerIsNoticed) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::AtMostOnce);
  Bench.Channels.head(1, 503, {{"Not-Run", "1"}, {"Leaving", "1"}});
  cr_assert_eq(Bench.Channels.All.size(), 2);
  cr_assert_eq(Bench.Servers.usableServers("model").size(), 1);
}

// Guards against crashes that are not counted because an earlier check of the
// server never got an answer.
Test(OnlineService, CheckWithoutAnAnswerEnds) {
  OnlineBench Bench;
  Bench.Route.MaxAttempts = 1;
  Bench.Servers.remove("s2");
  for (CallerId Caller : {1, 2}) {
    Bench.start(Caller, RequestKind::Idempotent);
    const SendId Send = Bench.Channels.last().Id;
    Bench.Channels.fail(Send, SendFailure::Unanswered);
    cr_assert(runUntil(Bench.Loop,
                       [&] { return Bench.Channels.last().Id == Send + 1; }));
    cr_assert(runUntil(Bench.Loop, [&] {
      return Bench.Channels.Cancelled.contains(Send + 1);
    }));
  }
  cr_assert_eq(Bench.Crashes.size(), 0);
}

// Checks that a negative number in a header is not taken for a huge one.
Test(OnlineRequest, NegativeNumbersAreNotRead) {
  cr_assert_not(parseHeaderNumber("-1"));
  cr_assert_not(parseHeaderNumber("1x"));
  cr_assert_not(parseHeaderNumber(""));
  cr_assert_eq(*parseHeaderNumber("12"), 12);
}

// Guards against a request that is sent again and again until its time is up,
// because none of its servers accepts a connection (inc-6337).
Test(OnlineService, RequestWithoutReachableServersIsRefused) {
  OnlineBench Bench;
  Bench.Route.TargetLatency = 50ms;
  Bench.start(1, RequestKind::AtMostOnce);
  const Instant Start = Bench.Time.now();
  std::size_t Failed = 0;
  cr_assert(runUntil(Bench.Loop, [&] {
    while (Failed < Bench.Channels.All.size() && !Bench.answer(1).Complete)
      Bench.Channels.fail(++Failed, SendFailure::NotSent);
    return Bench.answer(1).Complete;
  }));
  cr_assert_eq(Bench.answer(1).Status, 503);
  cr_assert_lt(Bench.Time.now() - Start, Duration(1s));
  cr_assert_lt(Failed, 30);
}
