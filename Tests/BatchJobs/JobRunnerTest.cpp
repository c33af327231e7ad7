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
  Bench.Channels.fail(1, SendFailure::AnswerTruncated);
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
  cr_assert(runUntil(Bench.Loop,
                     [&] { return Bench.Book.find("j")->Head.Owner.empty(); }));
  cr_assert_eq(Bench.Rows.count(JobStore::DataTable, "run/j/"), 1);
}

// Guards against the loss of what items have produced when their VM is killed.
Test(JobRunner, SavedProgressIsWhereAnotherVmGoesOn) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 1));
  Bench.Channels.head(1, 200);
  Bench.Channels.body(1, "id: 0\ndata: a\n\n");
  Bench.Runner.saveProgress();
  Bench.Runner.saveProgress();
  cr_assert_eq(Bench.Rows.Transactions, 2, "unchanged progress is not saved");
  JobRunner Other({Bench.Loop, Bench.Channels, Bench.Store, Bench.Book,
                   Bench.Servers, Bench.Loads, Bench.Placement, Bench.Crashes,
                   Bench.Detector, Bench.Protocol, Bench.Log, Bench.Stats,
                   [&] { return &Bench.Settings; }, [] { return 0; },
                   [] { return false; }, "other"});
  const KnownJob Known = *Bench.Book.find("j");
  JobMetadata Head = Known.Head;
  Head.Owner = "other";
  ++Head.Epoch;
  Bench.Store.change("j", Head, Known.Version, {}, 0, {},
                     Bench.Time.now() + std::chrono::seconds(5), Bench.Book,
                     [&](JobStore::ChangeOutcome) { Other.own("j"); });
  cr_assert(
      runUntil(Bench.Loop, [&] { return Bench.Channels.All.size() == 2; }));
  cr_assert_str_eq(
      std::string(
          rawHeader(Bench.Channels.last().Order.Request.Headers, "After"))
          .c_str(),
      "0");
}

// Guards against callers that wait because batch items keep every slot.
Test(JobRunner, ItemsGiveWayToCallers) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 8));
  Bench.Loads.addOnlineRequest("s1");
  Bench.Loads.addOnlineRequest("s1");
  Bench.Runner.schedule();
  cr_assert_eq(Bench.Channels.Cancelled.size(), 2);
  cr_assert_eq(Bench.Loads.totalLoad("s1").Batch, 6);
}

// Guards against a job whose caller ended it and whose items run on.
Test(JobRunner, EndedJobStopsItsItems) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 2));
  const KnownJob Known = *Bench.Book.find("j");
  JobMetadata Head = Known.Head;
  Head.Ended = true;
  bool Ended = false;
  Bench.Store.change("j", Head, Known.Version, {}, 0, {},
                     Bench.Time.now() + std::chrono::seconds(5), Bench.Book,
                     [&](JobStore::ChangeOutcome) { Ended = true; });
  cr_assert(runUntil(Bench.Loop, [&] { return Ended; }));
  Bench.Runner.handleJobChanges({"j"});
  cr_assert_eq(Bench.Channels.Cancelled.size(), 2);
  cr_assert_not(Bench.Runner.owns("j"));
}

// Replays a backlog after an outage: more items than slots, some of which are
// late already. Guards against items that could be on time and wait behind
// those that cannot, and against late items that wait for ever.
Test(JobRunner, ItemsThatCanBeOnTimeGoFirst) {
  RunnerBench Bench;
  Bench.Settings.Routes[0].JobTargetLatency = std::chrono::seconds(18);
  Bench.Servers.update({"s1", "model", "127.0.0.1:1", "a", 1, false, 1});
  cr_assert(Bench.startJob("blocker", 1));
  Bench.StoreNow = 100'000;
  std::map<std::string, std::size_t> Started;
  const std::map<std::string, std::int64_t> Backlog = {{"late", 0},
                                                       {"fresh", 99'000}};
  for (const auto &Each : Backlog) {
    const std::string &JobId = Each.first;
    JobMetadata Head;
    Head.Host = "h";
    Head.Target = "/";
    Head.Route = "jobs";
    Head.Owner = "self";
    Head.Epoch = 1;
    Head.AcceptedAtMillis = Each.second;
    Head.TotalItems = 20;
    std::vector<JobItem> Items;
    Items.reserve(20);
    for (int I = 0; I < 20; ++I)
      Items.push_back({JobId + std::to_string(I), "/" + JobId, {}, "b", 1});
    bool Accepts = false;
    Bench.Store.accept(JobId, Head, Items,
                       Bench.Time.now() + std::chrono::seconds(5), Bench.Book,
                       [&](JobStore::ChangeOutcome) { Accepts = true; });
    cr_assert(runUntil(Bench.Loop, [&] { return Accepts; }));
    Bench.Runner.own(JobId);
    cr_assert(runUntil(
        Bench.Loop, [&] { return !Bench.Runner.find(JobId)->Items.empty(); }));
  }
  // Each end of an item frees the one slot for the next.
  for (SendId Id = 1; Id <= 16; ++Id) {
    Bench.complete(Id);
    Bench.Runner.schedule();
    cr_assert_eq(Bench.Channels.All.size(), Id + 1);
    ++Started[Bench.Channels.last().Order.Request.Target];
  }
  cr_assert_eq(Started["/late"], 2);
  cr_assert_eq(Started["/fresh"], 14);
}

// Guards against late items that take the slots for which items of another VM
// wait that can be on time.
Test(JobRunner, LateItemsLeaveSlotsToUrgentItemsElsewhere) {
  RunnerBench Bench;
  Bench.Settings.Routes[0].JobTargetLatency = std::chrono::seconds(18);
  Bench.StoreNow = 100'000;
  Bench.OtherVmsHaveUrgentItems = true;
  Bench.Servers.update({"s1", "model", "127.0.0.1:1", "a", 3, false, 1});
  cr_assert(Bench.startJob("j", 3, 1));
  cr_assert_eq(Bench.Channels.All.size(), 1);
  Bench.OtherVmsHaveUrgentItems = false;
  Bench.Runner.schedule();
  cr_assert_eq(Bench.Channels.All.size(), 3);
}

namespace {

/// Starts a job of \p Count items, all at once, and plays one event of each.
void beginAll(RunnerBench &Bench, std::size_t Count) {
  Bench.Servers.update({"s1", "model", "127.0.0.1:1", "a", 400, false, 1});
  cr_assert(Bench.startJob("j", Count, Count));
  for (SendId Id = 1; Id <= Count; ++Id) {
    Bench.Channels.head(Id, 200, {{"Content-Type", "text/event-stream"}});
    Bench.Channels.body(Id, "id: 0\ndata: a\n\n");
  }
}

} // namespace

// Guards against results that are never listed because more of them waited,
// after the store was away, than one transaction takes.
Test(JobRunner, ResultsBeyondOneTransactionAreListedInSeveral) {
  constexpr std::size_t Count = 180;
  RunnerBench Bench;
  beginAll(Bench, Count);
  // The first commit is held up while the other items end.
  for (SendId Id = 1; Id <= Count; ++Id)
    Bench.Channels.done(Id);
  cr_assert(runUntil(Bench.Loop, [&] { return !Bench.Runner.owns("j"); }));
  cr_assert_eq(Bench.Rows.Oversized, 0);
  cr_assert_eq(Bench.results("j").size(), Count);
}

// Guards against progress that is not saved because more items have begun than
// one transaction takes.
Test(JobRunner, ProgressBeyondOneTransactionIsSavedInSeveral) {
  RunnerBench Bench;
  beginAll(Bench, 180);
  Bench.Runner.saveProgress();
  cr_assert(runUntil(Bench.Loop, [&] {
    return Bench.Rows.count(JobStore::DataTable, "run/j/") == 180;
  }));
  cr_assert_eq(Bench.Rows.Oversized, 0);
}

// Guards against a job that cannot be handed over because it has more results
// and progress than one transaction takes.
Test(JobRunner, LargeJobIsHandedOver) {
  RunnerBench Bench;
  beginAll(Bench, 180);
  for (SendId Id = 1; Id <= 120; ++Id)
    Bench.Channels.done(Id);
  Bench.Runner.release();
  cr_assert(runUntil(Bench.Loop, [&] {
    const KnownJob *Known = Bench.Book.find("j");
    return Known && Known->Head.ListedItems > 0;
  }));
  cr_assert_eq(Bench.Rows.Oversized, 0);
}
