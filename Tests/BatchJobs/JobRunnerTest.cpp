#include "Support/RunnerBench.h"

#include <criterion/criterion.h>

using namespace turmericpass;

namespace {

/// Runs a job of two items whose first commits meet \p Faults, and checks that
/// each item stands once.
void checkEachListedOnce(std::deque<RowFault> Faults) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 2));
  Bench.Rows.Faults = std::move(Faults);
  Bench.complete(1);
  cr_assert(runUntil(Bench.Loop, [&] { return Bench.Rows.Transactions >= 2; }));
  Bench.complete(2);
  cr_assert(runUntil(Bench.Loop, [&] {
    const KnownJob *Known = Bench.Book.find("j");
    return Known && Known->Head.ListedItems == 2;
  }));
  const std::vector<ItemResult> Listed = Bench.results("j");
  cr_assert_eq(Listed.size(), 2);
  cr_assert_neq(Listed[0].ItemId, Listed[1].ItemId);
  cr_assert_str_eq(Listed[0].Output.c_str(), "a\nb");
  cr_assert_not(Bench.Runner.owns("j"));
}

} // namespace

// Guards against a result that is listed twice because the answer to its
// commit was lost.
Test(JobRunner, LostAnswerToACommitListsNothingTwice) {
  checkEachListedOnce({RowFault::AnswerLost, RowFault::Refused,
                       RowFault::Refused, RowFault::Refused});
}

// Guards against a result that is listed twice when every try of its first
// commit has no answer until the runner gives that commit up.
Test(JobRunner, CommitGivenUpWithoutAnswerListsNothingTwice, .timeout = 60) {
  std::deque<RowFault> Faults(1, RowFault::AnswerLost);
  // More tries than one commit makes.
  Faults.insert(Faults.end(), 60, RowFault::Refused);
  checkEachListedOnce(Faults);
}

// Guards against a stream that is joined from pieces with a gap between them.
Test(JobRunner, BrokenItemGoesOnAfterItsLastEvent) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 1));
  Bench.Channels.head(1, 200, {{"Content-Type", "text/event-stream"}});
  Bench.Channels.body(1, "id: 0\ndata: a\n\nid: 1\ndata: par");
  Bench.Channels.fail(1, SendFailure::AnswerCut);
  cr_assert(runUntil(Bench.Loop, [&] {
    Bench.Runner.schedule();
    return Bench.Channels.All.size() >= 2 &&
           Bench.Channels.last().Order.Request.Target == "/x";
  }));
  const FakeChannels::Sent Again = Bench.Channels.last();
  cr_assert_str_eq(
      std::string(rawHeader(Again.Order.Request.Headers, "After")).c_str(),
      "0");
  Bench.Channels.head(Again.Id, 200);
  Bench.Channels.body(Again.Id, "id: 1\ndata: part\n\n");
  Bench.Channels.done(Again.Id);
  cr_assert(runUntil(Bench.Loop, [&] { return !Bench.Runner.owns("j"); }));
  cr_assert_str_eq(Bench.results("j").at(0).Output.c_str(), "a\npart");
}

// Guards against a result that is cut in its last event and looks complete.
Test(JobRunner, AnswerThatEndsInsideAnEventIsNotAResult) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 1));
  Bench.Channels.head(1, 200);
  Bench.Channels.body(1, "id: 0\ndata: a\n\nid: 1\nda");
  Bench.Channels.done(1);
  cr_assert(Bench.Runner.owns("j"));
  cr_assert_eq(Bench.Runner.find("j")->Items[0].State, ItemState::Pending);
}

// Guards against an item that is given up before its route allows it.
Test(JobRunner, ItemIsGivenUpOnlyAfterAllItsAttempts) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 1));
  for (std::size_t Attempt = 1; Attempt <= 3; ++Attempt) {
    cr_assert(runUntil(Bench.Loop, [&] {
      Bench.Runner.schedule();
      return Bench.Channels.All.size() == Attempt;
    }));
    cr_assert(Bench.Runner.owns("j"));
    Bench.Channels.head(Attempt, 500);
  }
  cr_assert(runUntil(Bench.Loop, [&] { return !Bench.Runner.owns("j"); }));
  cr_assert_not(Bench.results("j").at(0).Succeeded);
}

// Guards against the loss of what a VM's items have produced when it stops.
Test(JobRunner, ReleasedJobKeepsTheProgressOfItsItems) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 1));
  Bench.Channels.head(1, 200);
  Bench.Channels.body(1, "id: 0\ndata: a\n\n");
  Bench.Runner.release();
  cr_assert(Bench.Channels.Cancelled.contains(1));
  cr_assert(runUntil(Bench.Loop, [&] {
    return Bench.Book.find("j")->Head.Owner.empty();
  }));
  cr_assert_eq(Bench.Rows.count(JobStore::DataTable, "run/j/"), 1);
}

// Guards against callers that wait because batch items keep every slot.
Test(JobRunner, ItemsGiveWayToCallers) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 8));
  Bench.Loads.startOnline("s1");
  Bench.Loads.startOnline("s1");
  Bench.Runner.schedule();
  cr_assert_eq(Bench.Channels.Cancelled.size(), 2);
  cr_assert_eq(Bench.Loads.total("s1").Batch, 6);
}

// Guards against a job whose caller ended it and whose items run on.
Test(JobRunner, EndedJobStopsItsItems) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 2));
  const KnownJob Known = *Bench.Book.find("j");
  JobHead Head = Known.Head;
  Head.Ended = true;
  bool Ended = false;
  Bench.Store.change("j", Head, Known.Version, {}, 0, {},
                     Bench.Time.now() + std::chrono::seconds(5), Bench.Book,
                     [&](JobStore::ChangeOutcome) { Ended = true; });
  cr_assert(runUntil(Bench.Loop, [&] { return Ended; }));
  Bench.Runner.headsChanged({"j"});
  cr_assert_eq(Bench.Channels.Cancelled.size(), 2);
  cr_assert_not(Bench.Runner.owns("j"));
}
