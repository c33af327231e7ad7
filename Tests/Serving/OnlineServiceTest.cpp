#include "Support/OnlineBench.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

// Guards against a request that reaches its server changed, or with more time
// than its caller gives.
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

// Guards against a request that may run once and runs twice, and against "not
// run" being said of it.
Test(OnlineService, AtMostOnceIsNeverSentAgainAfterABreak) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::AtMostOnce);
  Bench.Channels.fail(1, SendFailure::Unanswered);
  cr_assert_eq(Bench.Channels.All.size(), 1);
  cr_assert_eq(Bench.answer(1).Status, 502);
}

// Guards against callers that are turned away by one full server while another
// one is free, and against a request that goes round for ever.
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

// Guards against a refusal that says "not run" after one server may have run
// the request.
Test(OnlineService, NoRefusalAfterAPossibleRun) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Idempotent);
  Bench.Channels.fail(1, SendFailure::Unanswered);
  cr_assert_eq(Bench.Channels.All.size(), 2);
  Bench.Channels.fail(2, SendFailure::Unanswered);
  cr_assert_eq(Bench.answer(1).Status, 502);
}

// Guards against a server's own failure that is replaced or changed.
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

// Guards against a truncated body that looks like the whole one.
Test(OnlineService, CutAnswerIsNotPassedOn) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Idempotent);
  Bench.Channels.head(1, 200);
  Bench.Channels.body(1, "par");
  Bench.Channels.fail(1, SendFailure::AnswerCut);
  Bench.Channels.head(2, 200);
  Bench.Channels.body(2, "whole");
  Bench.Channels.done(2);
  cr_assert_str_eq(Bench.answer(1).Body.c_str(), "whole");
}

// Guards against a stream with a gap, a doubled event or a part of one when it
// goes on at another server.
Test(OnlineService, ResumableStreamGoesOnAfterItsLastWholeEvent) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Stream, true);
  Bench.stream(1, "id: 0\ndata: a\n\nid: 1\nda");
  Bench.Channels.fail(1, SendFailure::AnswerCut);
  cr_assert_str_eq(Bench.sentHeader(2, "After").c_str(), "0");
  Bench.stream(2, "id: 1\ndata: b\n\n");
  Bench.Channels.done(2);
  cr_assert_str_eq(Bench.answer(1).Body.c_str(),
                   "id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
  cr_assert(Bench.answer(1).Complete);
  cr_assert_eq(rawHeader(Bench.answer(1).Headers, "Stamp"), "of 1");
}

// Guards against two runs that are joined with a gap between them.
Test(OnlineService, ResumedStreamWithAGapIsBrokenOff) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Stream, true);
  Bench.stream(1, "id: 0\ndata: a\n\n");
  Bench.Channels.fail(1, SendFailure::AnswerCut);
  Bench.stream(2, "id: 2\ndata: c\n\n");
  cr_assert(Bench.answer(1).Broken);
  cr_assert_eq(Bench.answer(1).Body.find("data: c"), std::string::npos);
}

// Guards against a stream that may not be resumed and runs twice.
Test(OnlineService, OtherStreamsAreBrokenOff) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Stream);
  Bench.stream(1, "id: 0\ndata: a\n\n");
  Bench.Channels.fail(1, SendFailure::AnswerCut);
  cr_assert_eq(Bench.Channels.All.size(), 1);
  cr_assert(Bench.answer(1).Broken);
  cr_assert_not(Bench.answer(1).Complete);
}

// Guards against servers that work on for callers that have gone, and against
// an at-most-once request that is cut in its work.
Test(OnlineService, CallerThatLeavesStopsWhatMayBeStopped) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Stream);
  Bench.start(2, RequestKind::AtMostOnce);
  Bench.Online.callerLeft(1);
  Bench.Online.callerLeft(2);
  cr_assert(Bench.Channels.Cancelled.contains(1));
  cr_assert_not(Bench.Channels.Cancelled.contains(2));
  cr_assert_eq(Bench.Online.open(), 0);
}

// Guards against callers that are held past the operator's time-out.
Test(OnlineService, TimeoutGivesTheFinalAnswer) {
  OnlineBench Bench;
  Bench.Route.Timeout = 50ms;
  Bench.start(1, RequestKind::AtMostOnce);
  cr_assert(runUntil(Bench.Loop, [&] { return Bench.answer(1).Complete; }));
  cr_assert_eq(Bench.answer(1).Status, 504);
  cr_assert(Bench.Channels.Cancelled.contains(1));
}

// Guards against a request that waits although no server can serve it.
Test(OnlineService, WithoutServersTheRequestIsRefusedAtOnce) {
  OnlineBench Bench;
  Bench.Servers.remove("s1");
  Bench.Servers.remove("s2");
  Bench.start(1, RequestKind::AtMostOnce);
  cr_assert_eq(Bench.answer(1).Status, 503);
  cr_assert_eq(Bench.Channels.All.size(), 0);
}

// Guards against a silent server that keeps a request which could be served
// elsewhere.
Test(OnlineService, SilentServerIsLeftIfTheRequestMayRunAgain) {
  OnlineBench Bench;
  Bench.Route.TargetLatency = 10ms;
  Bench.start(1, RequestKind::Idempotent);
  cr_assert(
      runUntil(Bench.Loop, [&] { return Bench.Channels.All.size() == 2; }));
  cr_assert(Bench.Channels.Cancelled.contains(1));
}

// Guards against a request that crashes one server after the other.
Test(OnlineService, RequestThatCrashesItsServersIsBarred) {
  OnlineBench Bench;
  Bench.Route.MaxAttempts = 1;
  for (SendId Id = 1; Id <= 5; Id += 2) {
    Bench.start(7, RequestKind::Idempotent);
    Bench.Channels.fail(Id, SendFailure::Unanswered);
    // The server is asked, and does not accept the connection.
    cr_assert(runUntil(Bench.Loop,
                       [&] { return Bench.Channels.All.size() == Id + 1; }));
    Bench.Channels.fail(Id + 1, SendFailure::NotSent);
  }
  const std::size_t Before = Bench.Channels.All.size();
  Bench.start(7, RequestKind::Idempotent);
  cr_assert_eq(Bench.Channels.All.size(), Before);
  cr_assert_eq(Bench.answer(7).Status, 503);
}

// Guards against an innocent request that is barred because connections broke.
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
