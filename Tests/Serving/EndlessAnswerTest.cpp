#include "Serving/AnswerMemory.h"
#include "Serving/StallPolicy.h"
#include "Support/OnlineBench.h"

#include <criterion/criterion.h>
#include <malloc.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

const std::string Piece(std::size_t{64} << 10U, 'x');

/// Feeds \p Send until the service closes its connection. Returns the number of
/// bytes that it took, at most \p Limit.
std::size_t feedUntilCancelled(OnlineBench &Bench, SendId Send,
                               std::size_t Limit) {
  std::size_t Fed = 0;
  while (Fed < Limit && !Bench.Channels.Cancelled.contains(Send)) {
    Bench.Channels.body(Send, Piece);
    Fed += Piece.size();
  }
  return Fed;
}

} // namespace

// Guards against a body without end that fills the memory of the VM, and
// against passing on the part of it that arrived as a complete answer.
Test(EndlessAnswer, BodyWithoutEndIsEnded) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::AtMostOnce);
  Bench.Channels.head(1, 200);
  const std::size_t Fed =
      feedUntilCancelled(Bench, 1, 2 * AnswerMemory::MaxAnswerBytes);
  cr_assert_leq(Fed, AnswerMemory::MaxAnswerBytes + Piece.size());
  cr_assert_eq(Bench.answer(1).Status, 502);
  const std::string Server = Bench.sentHeader(1, "Server");
  cr_assert_gt(Bench.Servers.find(Server)->Failures, 0);
}

// Guards against several endless bodies that together fill the memory, while
// answers of a usual size are still served.
Test(EndlessAnswer, AllAnswersTogetherAreBounded) {
  OnlineBench Bench;
  constexpr CallerId Callers = 20;
  for (CallerId Caller = 1; Caller <= Callers; ++Caller) {
    Bench.start(Caller, RequestKind::AtMostOnce);
    Bench.Channels.head(Caller, 200);
  }
  for (int Round = 1; Round <= 40; ++Round) {
    std::size_t Held = 0;
    for (CallerId Caller = 1; Caller <= Callers; ++Caller) {
      if (!Bench.Channels.Cancelled.contains(Caller))
        Bench.Channels.body(Caller, Piece);
      if (!Bench.Channels.Cancelled.contains(Caller))
        Held += static_cast<std::size_t>(Round) * Piece.size();
    }
    cr_assert_leq(Held, std::size_t{24} << 20U);
  }
  std::size_t Ended = 0;
  for (CallerId Caller = 1; Caller <= Callers; ++Caller)
    Ended += Bench.Channels.Cancelled.contains(Caller);
  cr_assert_gt(Ended, 0);
  // The memory of answers that have ended is available again.
  for (CallerId Caller = 1; Caller <= Callers; ++Caller)
    Bench.Online.callerDisconnected(Caller);
  Bench.start(100, RequestKind::AtMostOnce);
  Bench.Channels.head(Callers + 1, 200);
  Bench.Channels.body(Callers + 1, Piece);
  Bench.Channels.done(Callers + 1);
  cr_assert_eq(Bench.answer(100).Status, 200);
  cr_assert_eq(Bench.answer(100).Body.size(), Piece.size());
}

// Guards against answers that hold several times as much memory as is counted,
// because their strings grow by doubling and keep their memory when the request
// is sent to another server.
Test(EndlessAnswer, EndedAnswersFreeTheirMemory) {
  const auto UsedMemory = [] {
    const struct mallinfo2 Info = mallinfo2();
    return Info.uordblks + Info.hblkhd;
  };
  OnlineBench Bench;
  constexpr CallerId Callers = 30;
  for (CallerId Caller = 1; Caller <= Callers; ++Caller) {
    Bench.start(Caller, RequestKind::Idempotent);
    Bench.Channels.head(Caller, 200);
  }
  const std::size_t Before = UsedMemory();
  for (CallerId Caller = 1; Caller <= Callers; ++Caller) {
    feedUntilCancelled(Bench, Caller, 2 * AnswerMemory::MaxAnswerBytes);
    cr_assert_not(Bench.answer(Caller).Complete);
    cr_assert_lt(UsedMemory(), Before + (std::size_t{8} << 20U));
  }
}

// Guards against answers of sound servers that are given up because those of a
// faulty one have taken all memory.
Test(EndlessAnswer, LargestAnswerMakesRoomForOthers) {
  OnlineBench Bench;
  constexpr CallerId Endless = 24;
  for (CallerId Caller = 1; Caller <= Endless; ++Caller) {
    Bench.start(Caller, RequestKind::AtMostOnce);
    Bench.Channels.head(Caller, 200);
    for (std::size_t Fed = 0; Fed < (std::size_t{1} << 20U);
         Fed += Piece.size())
      Bench.Channels.body(Caller, Piece);
  }
  cr_assert(Bench.Channels.Cancelled.empty());
  Bench.start(100, RequestKind::AtMostOnce);
  Bench.Channels.head(Endless + 1, 200);
  Bench.Channels.body(Endless + 1, Piece);
  Bench.Channels.done(Endless + 1);
  cr_assert_eq(Bench.answer(100).Status, 200);
  cr_assert_eq(Bench.Channels.Cancelled.size(), 1);
}

// Guards against megabytes that are read of an answer whose head says that it
// is too large.
Test(EndlessAnswer, AnnouncedLengthBeyondTheBoundIsEndedAtTheHead) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::AtMostOnce);
  RawHead Head;
  Head.Status = 200;
  Head.ContentLength = AnswerMemory::MaxAnswerBytes + 1;
  Bench.Channels.All[0].Handler->answerHead(1, Head);
  cr_assert(Bench.Channels.Cancelled.contains(1));
  cr_assert_eq(Bench.answer(1).Status, 502);
}

// Guards against a stream whose event never ends.
Test(EndlessAnswer, EventWithoutEndBreaksTheStreamOff) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Stream);
  Bench.stream(1, "id: 0\ndata: a\n\ndata: ");
  const std::size_t Fed =
      feedUntilCancelled(Bench, 1, 2 * AnswerMemory::MaxAnswerBytes);
  cr_assert_leq(Fed, AnswerMemory::MaxEventBytes + 2 * Piece.size());
  cr_assert(Bench.answer(1).Broken);
  cr_assert_not(Bench.answer(1).Complete);
}

// Guards against comments or empty lines without end, which are no event and
// keep a stream from counting as stalled.
Test(EndlessAnswer, CommentsWithoutEndBreakTheStreamOff) {
  for (const std::string Line : {": comment\n\n", "\n"}) {
    OnlineBench Bench;
    Bench.start(1, RequestKind::Stream);
    Bench.stream(1, "id: 0\ndata: a\n\n");
    std::string Lines;
    while (Lines.size() < Piece.size())
      Lines += Line;
    std::size_t Fed = 0;
    while (Fed < 2 * AnswerMemory::MaxAnswerBytes &&
           !Bench.Channels.Cancelled.contains(1)) {
      Bench.Channels.body(1, Lines);
      Fed += Lines.size();
    }
    cr_assert_leq(Fed, AnswerMemory::MaxEventBytes + 2 * Lines.size());
    cr_assert(Bench.answer(1).Broken);
  }
}

// Guards against a stream that is cut because many comments came between its
// events, none of them too long.
Test(EndlessAnswer, CommentsBetweenEventsAreCountedFromTheLastEvent) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Stream);
  Bench.stream(1, "id: 0\ndata: a\n\n");
  const std::string Comment = ":" + Piece + "\n\n";
  for (int Id = 1; Id <= 16; ++Id) {
    Bench.Channels.body(1, Comment + Comment);
    Bench.Channels.body(1, "id: " + std::to_string(Id) + "\ndata: a\n\n");
  }
  Bench.Channels.done(1);
  cr_assert(Bench.answer(1).Complete);
}

// Guards against a stream that piles up for a caller that does not read: the
// server has to wait instead, and the stream is not cut for it.
Test(EndlessAnswer, ServerWaitsForASlowCaller) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Stream, true);
  Bench.stream(1, "id: 0\ndata: a\n\n");
  Bench.Callers.Unsent = AnswerMemory::MaxUnsentBytes + 1;
  Bench.Channels.body(1, "id: 1\ndata: b\n\n");
  cr_assert(Bench.Channels.Paused.contains(1));
  runFor(Bench.Loop, 900ms);
  cr_assert_eq(Bench.Channels.All.size(), 1);
  Bench.Callers.Unsent = 0;
  Bench.Online.callerCaughtUp(1);
  cr_assert_not(Bench.Channels.Paused.contains(1));
  Bench.Channels.body(1, "id: 2\ndata: c\n\n");
  Bench.Channels.done(1);
  cr_assert(Bench.answer(1).Complete);
}

// Guards against cutting a stream that is slow at an even pace, and against a
// stall limit that ignores what callers of the route accept.
Test(StallPolicy, LimitFollowsThePaceOfTheStream) {
  ManualClock Time;
  RouteSettings Route;
  Route.TargetLatency = 300ms;
  Route.EventGapTarget = 500ms;
  StallPolicy Policy;
  Policy.start(Time.now());
  cr_assert(Policy.retryLimit(Route) == Duration(900ms));
  cr_assert_not(Policy.abandonLimit(Route));
  Policy.recordHead(Time.now(), true);
  cr_assert(Policy.retryLimit(Route) == Duration(1s));
  cr_assert(*Policy.abandonLimit(Route) == Duration(4500ms));
  for (int Event = 0; Event < 3; ++Event) {
    Time.advance(900ms);
    Policy.recordEvent(Time.now());
  }
  cr_assert(Policy.retryLimit(Route) == Duration(3600ms));
}

// Guards against a stalled stream that sends a byte now and then: only whole
// events are progress, so it is resumed at another server, or ended where that
// is not allowed.
Test(StallPolicy, TricklingBytesAreNoProgress) {
  OnlineBench Bench;
  Bench.Route.TargetLatency = 50ms;
  Bench.start(1, RequestKind::Stream, true);
  Bench.stream(1, "id: 0\ndata: a\n\nid: 1\nda");
  cr_assert(runUntil(Bench.Loop, [&] {
    if (Bench.Channels.All.size() == 1)
      Bench.Channels.body(1, "t");
    return Bench.Channels.All.size() == 2;
  }));
  Bench.Route.Timeout = 20s;
  Bench.start(2, RequestKind::Stream, false, "20000");
  Bench.stream(3, "id: 0\ndata: a\n\nid: 1\nda");
  cr_assert(runUntil(Bench.Loop, [&] {
    if (!Bench.answer(2).Broken)
      Bench.Channels.body(3, "t");
    return Bench.answer(2).Broken;
  }));
}

// Guards against cutting a plain answer whose body arrives slowly but steadily.
Test(StallPolicy, SlowBodyIsNotCut) {
  OnlineBench Bench;
  Bench.Route.TargetLatency = 100ms;
  Bench.start(1, RequestKind::Idempotent);
  Bench.Channels.head(1, 200);
  for (int Step = 0; Step < 4; ++Step) {
    runFor(Bench.Loop, 300ms);
    Bench.Channels.body(1, std::string(600, 'x'));
  }
  Bench.Channels.done(1);
  cr_assert_eq(Bench.Channels.All.size(), 1);
  cr_assert_eq(Bench.answer(1).Body.size(), 2400);
}

// Guards against a dark server that is not noticed, because its requests may
// not be repeated: they are left at the server, which is avoided.
Test(StallPolicy, SilentServerIsAvoidedAlsoIfTheRequestMayNotRepeat) {
  OnlineBench Bench;
  Bench.Route.TargetLatency = 50ms;
  Bench.start(1, RequestKind::AtMostOnce);
  const std::string Server = Bench.sentHeader(1, "Server");
  cr_assert(runUntil(Bench.Loop,
                     [&] { return Bench.Servers.find(Server)->Failures > 0; }));
  cr_assert_eq(Bench.Channels.All.size(), 1);
  cr_assert_not(Bench.Channels.Cancelled.contains(1));
  cr_assert_not(Bench.answer(1).Complete);
}
