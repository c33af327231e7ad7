#include "Admission/LifeCycleBench.h"

using namespace turmericpass;
using namespace std::chrono_literals;

// Guards against reporting a refusal to the caller while another dispatcher
// could serve the request.
Test(LifeCycle, RefusedWorkGoesToTheNextDispatcher) {
  LifeCycleBench Bench(true);
  Bench.start();
  Bench.finish("a", 1, FinishCode::Overloaded, Execution::NotRun);
  cr_assert(!Bench.Ending && Bench.lastPeer() == "b" && Bench.attempt() == 2);
  Bench.finish("b", 2, FinishCode::Overloaded, Execution::NotRun);
  Bench.finish("c", 3, FinishCode::Overloaded, Execution::NotRun);
  cr_assert(Bench.Ending && Bench.Ending->Code == FinishCode::Overloaded);
  cr_assert(Bench.Ending->Ran == Execution::NotRun);
}

// Guards against an answer that starts again, or lacks its start, after its
// dispatcher was lost.
Test(LifeCycle, LostDispatcherIsReplacedAndTheAnswerGoesOn) {
  LifeCycleBench Bench(true);
  Bench.start();
  Bench.accept();
  Bench.tokens("a", 1, 0, 3);
  Bench.lose("a");
  const Submit Next = Bench.submissions().back();
  cr_assert(Next.Attempt == 2 && Next.ResumeTokenIds.size() == 3);
  Bench.tokens("a", 1, 3, 2);
  cr_assert(Bench.Delivered.size() == 3);
  Bench.tokens("b", 2, 3, 4);
  Bench.finish("b", 2, FinishCode::Ok, Execution::Ran, 7);
  cr_assert(Bench.Ending && Bench.Ending->Code == FinishCode::Ok);
  cr_assert(Bench.Delivered.size() == 7 && Bench.deliveredIsPrefix());
}

// Guards against giving up a stream because it started long ago.
Test(LifeCycle, LongStreamOutlivesAGapWithoutDispatchers) {
  LifeCycleBench Bench(true);
  Bench.start();
  Bench.accept();
  Bench.tokens("a", 1, 0, 3);
  for (int I = 0; I < 15; ++I)
    Bench.wait(1s);
  Bench.Usable.clear();
  Bench.lose("a");
  Bench.wait(2s);
  cr_assert(!Bench.Ending);
  Bench.Usable = {"b"};
  Bench.wait(200ms);
  Bench.tokens("b", 2, 3, 1);
  Bench.finish("b", 2, FinishCode::Ok, Execution::Ran, 4);
  cr_assert(Bench.Ending && Bench.Ending->Code == FinishCode::Ok);
}

// Guards against running work twice that may run only once.
Test(LifeCycle, OtherWorkEndsUnknownWhenItsDispatcherIsLost) {
  LifeCycleBench Bench(false);
  Bench.start();
  Bench.lose("a");
  cr_assert(Bench.Ending && Bench.Ending->Ran == Execution::Unknown);
  cr_assert(Bench.submissions().size() == 1);
}

Test(LifeCycle, OtherWorkIsNotSubmittedAgainAfterARefusal) {
  LifeCycleBench Bench(false);
  Bench.start();
  Bench.finish("a", 1, FinishCode::NoServer, Execution::NotRun);
  cr_assert(Bench.Ending && Bench.Ending->Ran == Execution::NotRun);
  cr_assert(Bench.submissions().size() == 1);
}

// A submission that never left this process does not count as a submission.
Test(LifeCycle, OtherWorkTriesTheNextDispatcherWhenAQueueIsFull) {
  LifeCycleBench Bench(false);
  Bench.start();
  Bench.Life.sendFailed(1, Bench.Time.now());
  Bench.collect();
  cr_assert(!Bench.Ending && Bench.lastPeer() == "b");
  Bench.finish("b", 2, FinishCode::Overloaded, Execution::NotRun);
  cr_assert(Bench.Ending && Bench.Ending->Ran == Execution::NotRun);
}

// Guards against a dispatcher that stops responding without closing its
// connection.
Test(LifeCycle, SilentDispatcherIsCancelledAndReplaced) {
  LifeCycleBench Bench(true);
  Bench.start();
  Bench.wait(999ms);
  cr_assert(Bench.submissions().size() == 1);
  Bench.wait(2ms);
  cr_assert(Bench.submissions().size() == 2 && Bench.cancels() == 1);
  cr_assert(Bench.lastPeer() == "b");
}

// Guards against a caller that waits for a lost VM, which does not close its
// connections. Also guards against resubmitting a request whose dispatcher
// still sends tokens, or one that may run only once.
Test(LifeCycle, SilentDispatcherOfANodeThatIsNotLiveIsReplaced) {
  for (const bool Repeatable : {true, false}) {
    LifeCycleBench Bench(Repeatable);
    Bench.start();
    Bench.accept();
    Bench.wait(1s);
    Bench.tokens("a", 1, 0, 1);
    Bench.wait(1500ms);
    Bench.Life.replaceSilentDispatcher({"a"}, Bench.Time.now());
    Bench.collect();
    cr_assert(Bench.submissions().size() == 1);
    Bench.wait(500ms);
    Bench.Life.replaceSilentDispatcher({"b"}, Bench.Time.now());
    Bench.collect();
    cr_assert(Bench.submissions().size() == 1);
    Bench.Life.replaceSilentDispatcher({"a"}, Bench.Time.now());
    Bench.collect();
    cr_assert(!Bench.Ending);
    cr_assert(Bench.submissions().size() == (Repeatable ? 2 : 1));
  }
}

// Guards against reporting `not_run` before the dispatcher has reported whether
// the request ran, and against waiting for ever for that report.
Test(LifeCycle, GivingUpWaitsForTheVerdictAndThenSaysUnknown) {
  for (const bool Answered : {true, false}) {
    LifeCycleBench Bench(true);
    Bench.start();
    Bench.accept();
    Bench.wait(LifeCycleBench::Limit);
    cr_assert(!Bench.Ending && Bench.cancels() == 1);
    if (Answered)
      Bench.finish("a", 1, FinishCode::Cancelled, Execution::NotRun);
    else
      Bench.wait(Bench.Limits.VerdictLimit);
    cr_assert(Bench.Ending &&
              Bench.Ending->Code == FinishCode::DeadlineExceeded);
    cr_assert(Bench.Ending->Ran ==
              (Answered ? Execution::NotRun : Execution::Unknown));
  }
}

// Guards against an answer that lacks tokens after a lost message.
Test(LifeCycle, CutAnswerIsResumedElsewhere) {
  LifeCycleBench Bench(true);
  Bench.start();
  Bench.tokens("a", 1, 0, 2);
  Bench.tokens("a", 1, 4, 2);
  Bench.finish("a", 1, FinishCode::Ok, Execution::Ran, 6);
  cr_assert(!Bench.Ending && Bench.Delivered.size() == 2);
  Bench.wait(Bench.Limits.GapLimit);
  cr_assert(Bench.lastPeer() == "b");
  cr_assert(Bench.submissions().back().ResumeTokenIds.size() == 2);
}

Test(LifeCycle, CrossedAndRepeatedPiecesGiveTheAnswerOnce) {
  LifeCycleBench Bench(true);
  Bench.start();
  Bench.finish("a", 1, FinishCode::Ok, Execution::Ran, 6);
  Bench.tokens("a", 1, 3, 3);
  Bench.tokens("a", 1, 0, 2);
  Bench.tokens("a", 1, 0, 4);
  cr_assert(Bench.Ending && Bench.Ending->Code == FinishCode::Ok);
  cr_assert(Bench.Delivered.size() == 6 && Bench.deliveredIsPrefix());
}

// Guards against delivering tokens of another request, dispatcher or attempt.
Test(LifeCycle, PiecesOfOthersAreDropped) {
  LifeCycleBench Bench(true);
  Bench.start();
  Chunk Foreign = LifeCycleBench::rightChunk(1, 0, 2);
  Foreign.RequestId = "r2";
  Bench.Life.chunk("a", Foreign, Bench.Time.now());
  Bench.tokens("b", 1, 0, 2);
  Bench.tokens("a", 2, 0, 2);
  cr_assert(Bench.Delivered.empty());
}

// Guards against resubmissions that exceed the budget and multiply the load.
Test(LifeCycle, RepeatsStopWithTheBudget) {
  LifeCycleBench Bench(true, false);
  Bench.start();
  Bench.lose("a");
  cr_assert(Bench.Ending && Bench.Ending->Ran == Execution::Unknown);
  cr_assert(Bench.submissions().size() == 1);
}
