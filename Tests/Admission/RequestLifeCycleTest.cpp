#include "Admission/LifeCycleFixture.h"

using namespace turmericpass;
using namespace std::chrono_literals;

// Guards against reporting a refusal to the caller while another dispatcher
// could serve the request.
Test(LifeCycle, RefusedWorkGoesToTheNextDispatcher) {
  LifeCycleFixture Fixture(true);
  Fixture.start();
  Fixture.finish("a", 1, FinishCode::Overloaded, Execution::NotRun);
  cr_assert(!Fixture.Ending && Fixture.lastPeer() == "b" &&
            Fixture.attempt() == 2);
  Fixture.finish("b", 2, FinishCode::Overloaded, Execution::NotRun);
  Fixture.finish("c", 3, FinishCode::Overloaded, Execution::NotRun);
  cr_assert(Fixture.Ending && Fixture.Ending->Code == FinishCode::Overloaded);
  cr_assert(Fixture.Ending->Ran == Execution::NotRun);
}

// Guards against an answer that starts again, or lacks its start, after its
// dispatcher was lost.
Test(LifeCycle, LostDispatcherIsReplacedAndTheAnswerGoesOn) {
  LifeCycleFixture Fixture(true);
  Fixture.start();
  Fixture.acceptLast();
  Fixture.deliverTokens("a", 1, 0, 3);
  Fixture.losePeer("a");
  const Submit Next = Fixture.submissions().back();
  cr_assert(Next.Attempt == 2 && Next.ResumeTokenIds.size() == 3);
  Fixture.deliverTokens("a", 1, 3, 2);
  cr_assert(Fixture.Delivered.size() == 3);
  Fixture.deliverTokens("b", 2, 3, 4);
  Fixture.finish("b", 2, FinishCode::Ok, Execution::Ran, 7);
  cr_assert(Fixture.Ending && Fixture.Ending->Code == FinishCode::Ok);
  cr_assert(Fixture.Delivered.size() == 7 && Fixture.deliveredIsPrefix());
}

// Guards against giving up a stream because it started long ago.
Test(LifeCycle, LongStreamOutlivesAGapWithoutDispatchers) {
  LifeCycleFixture Fixture(true);
  Fixture.start();
  Fixture.acceptLast();
  Fixture.deliverTokens("a", 1, 0, 3);
  for (int I = 0; I < 15; ++I)
    Fixture.advance(1s);
  Fixture.UsablePeers.clear();
  Fixture.losePeer("a");
  Fixture.advance(2s);
  cr_assert(!Fixture.Ending);
  Fixture.UsablePeers = {"b"};
  Fixture.advance(200ms);
  Fixture.deliverTokens("b", 2, 3, 1);
  Fixture.finish("b", 2, FinishCode::Ok, Execution::Ran, 4);
  cr_assert(Fixture.Ending && Fixture.Ending->Code == FinishCode::Ok);
}

// Guards against running work twice that may run only once.
Test(LifeCycle, OtherWorkEndsUnknownWhenItsDispatcherIsLost) {
  LifeCycleFixture Fixture(false);
  Fixture.start();
  Fixture.losePeer("a");
  cr_assert(Fixture.Ending && Fixture.Ending->Ran == Execution::Unknown);
  cr_assert(Fixture.submissions().size() == 1);
}

Test(LifeCycle, OtherWorkIsNotSubmittedAgainAfterARefusal) {
  LifeCycleFixture Fixture(false);
  Fixture.start();
  Fixture.finish("a", 1, FinishCode::NoServer, Execution::NotRun);
  cr_assert(Fixture.Ending && Fixture.Ending->Ran == Execution::NotRun);
  cr_assert(Fixture.submissions().size() == 1);
}

// A submission that never left this process does not count as a submission.
Test(LifeCycle, OtherWorkTriesTheNextDispatcherWhenAQueueIsFull) {
  LifeCycleFixture Fixture(false);
  Fixture.start();
  Fixture.Life.handleSendFailure(1, Fixture.Time.now());
  Fixture.collect();
  cr_assert(!Fixture.Ending && Fixture.lastPeer() == "b");
  Fixture.finish("b", 2, FinishCode::Overloaded, Execution::NotRun);
  cr_assert(Fixture.Ending && Fixture.Ending->Ran == Execution::NotRun);
}

// Guards against a dispatcher that stops responding without closing its
// connection.
Test(LifeCycle, SilentDispatcherIsCancelledAndReplaced) {
  LifeCycleFixture Fixture(true);
  Fixture.start();
  Fixture.advance(999ms);
  cr_assert(Fixture.submissions().size() == 1);
  Fixture.advance(2ms);
  cr_assert(Fixture.submissions().size() == 2 && Fixture.cancels() == 1);
  cr_assert(Fixture.lastPeer() == "b");
}

// Guards against a caller that waits for a lost VM, which does not close its
// connections. Also guards against resubmitting a request whose dispatcher
// still sends tokens, or one that may run only once.
Test(LifeCycle, SilentDispatcherOfANodeThatIsNotLiveIsReplaced) {
  for (const bool Repeatable : {true, false}) {
    LifeCycleFixture Fixture(Repeatable);
    Fixture.start();
    Fixture.acceptLast();
    Fixture.advance(1s);
    Fixture.deliverTokens("a", 1, 0, 1);
    Fixture.advance(1500ms);
    Fixture.Life.replaceSilentDispatcher({"a"}, Fixture.Time.now());
    Fixture.collect();
    cr_assert(Fixture.submissions().size() == 1);
    Fixture.advance(500ms);
    Fixture.Life.replaceSilentDispatcher({"b"}, Fixture.Time.now());
    Fixture.collect();
    cr_assert(Fixture.submissions().size() == 1);
    Fixture.Life.replaceSilentDispatcher({"a"}, Fixture.Time.now());
    Fixture.collect();
    cr_assert(!Fixture.Ending);
    cr_assert(Fixture.submissions().size() == (Repeatable ? 2 : 1));
  }
}

// Guards against reporting `not_run` before the dispatcher has reported whether
// the request ran, and against waiting for ever for that report.
Test(LifeCycle, GivingUpWaitsForTheVerdictAndThenSaysUnknown) {
  for (const bool Answered : {true, false}) {
    LifeCycleFixture Fixture(true);
    Fixture.start();
    Fixture.acceptLast();
    Fixture.advance(LifeCycleFixture::Limit);
    cr_assert(!Fixture.Ending && Fixture.cancels() == 1);
    if (Answered)
      Fixture.finish("a", 1, FinishCode::Cancelled, Execution::NotRun);
    else
      Fixture.advance(Fixture.Limits.ExecutionReportTimeout);
    cr_assert(Fixture.Ending &&
              Fixture.Ending->Code == FinishCode::DeadlineExceeded);
    cr_assert(Fixture.Ending->Ran ==
              (Answered ? Execution::NotRun : Execution::Unknown));
  }
}

// Guards against an answer that lacks tokens after a lost message.
Test(LifeCycle, CutAnswerIsResumedElsewhere) {
  LifeCycleFixture Fixture(true);
  Fixture.start();
  Fixture.deliverTokens("a", 1, 0, 2);
  Fixture.deliverTokens("a", 1, 4, 2);
  Fixture.finish("a", 1, FinishCode::Ok, Execution::Ran, 6);
  cr_assert(!Fixture.Ending && Fixture.Delivered.size() == 2);
  Fixture.advance(Fixture.Limits.GapTimeout);
  cr_assert(Fixture.lastPeer() == "b");
  cr_assert(Fixture.submissions().back().ResumeTokenIds.size() == 2);
}

Test(LifeCycle, CrossedAndRepeatedPiecesGiveTheAnswerOnce) {
  LifeCycleFixture Fixture(true);
  Fixture.start();
  Fixture.finish("a", 1, FinishCode::Ok, Execution::Ran, 6);
  Fixture.deliverTokens("a", 1, 3, 3);
  Fixture.deliverTokens("a", 1, 0, 2);
  Fixture.deliverTokens("a", 1, 0, 4);
  cr_assert(Fixture.Ending && Fixture.Ending->Code == FinishCode::Ok);
  cr_assert(Fixture.Delivered.size() == 6 && Fixture.deliveredIsPrefix());
}

// Guards against delivering tokens of another request, dispatcher or attempt.
Test(LifeCycle, PiecesOfOthersAreDropped) {
  LifeCycleFixture Fixture(true);
  Fixture.start();
  Chunk Foreign = LifeCycleFixture::makeCorrectChunk(1, 0, 2);
  Foreign.RequestId = "r2";
  Fixture.Life.handleChunk("a", Foreign, Fixture.Time.now());
  Fixture.deliverTokens("b", 1, 0, 2);
  Fixture.deliverTokens("a", 2, 0, 2);
  cr_assert(Fixture.Delivered.empty());
}

// Guards against resubmissions that exceed the budget and multiply the load.
Test(LifeCycle, RepeatsStopWithTheBudget) {
  LifeCycleFixture Fixture(true, false);
  Fixture.start();
  Fixture.losePeer("a");
  cr_assert(Fixture.Ending && Fixture.Ending->Ran == Execution::Unknown);
  cr_assert(Fixture.submissions().size() == 1);
}
