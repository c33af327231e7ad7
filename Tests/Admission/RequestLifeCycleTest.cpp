#include "Admission/LifeCycleBench.h"

using namespace turmericpass;
using namespace std::chrono_literals;

// Guards against a refusal that reaches the caller while another dispatcher
// could serve it.
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

// Guards against an answer that starts again, or loses its start, when the
// dispatcher is lost.
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

// Guards against a stream that is given up because it began long ago.
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

// Guards against a second run of work that may run once.
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

// A submission that never left this process is no submission.
Test(LifeCycle, OtherWorkTriesTheNextDispatcherWhenAQueueIsFull) {
  LifeCycleBench Bench(false);
  Bench.start();
  Bench.Life.sendFailed(1, Bench.Time.now());
  Bench.collect();
  cr_assert(!Bench.Ending && Bench.lastPeer() == "b");
  Bench.finish("b", 2, FinishCode::Overloaded, Execution::NotRun);
  cr_assert(Bench.Ending && Bench.Ending->Ran == Execution::NotRun);
}

// Guards against a dispatcher that hangs without closing its connection.
Test(LifeCycle, SilentDispatcherIsCancelledAndReplaced) {
  LifeCycleBench Bench(true);
  Bench.start();
  Bench.wait(999ms);
  cr_assert(Bench.submissions().size() == 1);
  Bench.wait(2ms);
  cr_assert(Bench.submissions().size() == 2 && Bench.cancels() == 1);
  cr_assert(Bench.lastPeer() == "b");
}

// Guards against a caller that waits for a lost VM, which closes no
// connection, and against a takeover of a dispatcher that still speaks or of
// work that runs once.
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

// Guards against `not_run` while a verdict is open, and against a caller that
// waits for a verdict that never comes.
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

// Guards against an answer with a hole after a lost message.
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

// Guards against answers that cross between requests or dispatchers.
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

// Guards against resubmissions that multiply trouble.
Test(LifeCycle, RepeatsStopWithTheBudget) {
  LifeCycleBench Bench(true, false);
  Bench.start();
  Bench.lose("a");
  cr_assert(Bench.Ending && Bench.Ending->Ran == Execution::Unknown);
  cr_assert(Bench.submissions().size() == 1);
}
