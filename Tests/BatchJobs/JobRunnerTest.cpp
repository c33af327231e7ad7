#include "Support/RunnerBench.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

/// Runs a job of two items while the store injects \p Faults into its first
/// commits, and checks that each item has exactly one result.
void checkEachItemHasOneResult(std::deque<RowFault> Faults) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 2));
  Bench.Rows.Faults = std::move(Faults);
  Bench.complete(1);
  cr_assert(runUntil(Bench.Loop, [&] { return Bench.Rows.Transactions >= 2; }));
  Bench.complete(2);
  cr_assert(runUntil(Bench.Loop, [&] {
    const KnownJob *Known = Bench.Directory.find("j");
    return Known && Known->Metadata.CommittedItems == 2;
  }));
  const std::vector<ItemResult> Results = Bench.results("j");
  cr_assert_eq(Results.size(), 2);
  cr_assert_neq(Results[0].ItemId, Results[1].ItemId);
  cr_assert_str_eq(Results[0].Output.c_str(), "a\nb");
  cr_assert_not(Bench.Runner.owns("j"));
}

/// Returns what the runner of another VM on the same store depends on.
JobRunnerDependencies dependenciesOfOther(RunnerBench &Bench) {
  return {Bench.Loop,
          Bench.Channels,
          Bench.Store,
          Bench.Directory,
          Bench.Servers,
          Bench.Loads,
          Bench.Placement,
          Bench.Crashes,
          Bench.Detector,
          Bench.Protocol,
          Bench.Log,
          Bench.Stats,
          [&Bench] { return &Bench.Settings; },
          [] { return true; },
          [] { return 0; },
          [] { return false; },
          [] { return 0; },
          "other"};
}

/// Lets \p Other take job "j" over.
void takeOverJob(RunnerBench &Bench, JobRunner &Other) {
  const KnownJob Known = *Bench.Directory.find("j");
  JobMetadata Metadata = Known.Metadata;
  Metadata.Owner = "other";
  ++Metadata.Epoch;
  Bench.Store.updateJob(
      "j", Metadata, {}, 0, Bench.Time.now() + std::chrono::seconds(5),
      Bench.Directory, [&](JobStore::ChangeOutcome) { Other.runJob("j"); });
}

} // namespace

// Guards against a result that is stored twice because the answer to its commit
// was lost.
Test(JobRunner, LostAnswerToACommitListsNothingTwice) {
  checkEachItemHasOneResult({RowFault::AnswerLost, RowFault::Refused,
                             RowFault::Refused, RowFault::Refused});
}

// Guards against a result that is stored twice because its first commit was
// applied without an answer and all retries failed until the runner gave up.
Test(JobRunner, CommitGivenUpWithoutAnswerListsNothingTwice, .timeout = 60) {
  std::deque<RowFault> Faults(1, RowFault::AnswerLost);
  // More faults than one commit has attempts.
  Faults.insert(Faults.end(), 60, RowFault::Refused);
  checkEachItemHasOneResult(Faults);
}

// Guards against a gap in the output of an item that resumes on another
// connection after its stream broke off.
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
  const FakeChannels::Sent Resumed = Bench.Channels.last();
  cr_assert_str_eq(
      std::string(rawHeader(Resumed.Order.Request.Headers, "After")).c_str(),
      "0");
  Bench.Channels.head(Resumed.Id, 200);
  Bench.Channels.body(Resumed.Id, "id: 1\ndata: part\n\n");
  Bench.Channels.done(Resumed.Id);
  cr_assert(runUntil(Bench.Loop, [&] { return !Bench.Runner.owns("j"); }));
  cr_assert_str_eq(Bench.results("j").at(0).Output.c_str(), "a\npart");
}

// Guards against a result that is truncated within its last event and counts as
// complete.
Test(JobRunner, AnswerThatEndsInsideAnEventIsNotAResult) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 1));
  Bench.Channels.head(1, 200);
  Bench.Channels.body(1, "id: 0\ndata: a\n\nid: 1\nda");
  Bench.Channels.done(1);
  cr_assert(Bench.Runner.owns("j"));
  cr_assert_eq(Bench.Runner.find("j")->Items[0].State, ItemState::Pending);
}

// Guards against an item that fails permanently before it reached the maximum
// number of attempts of its route.
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

// Guards against the loss of the progress of items when their VM stops.
Test(JobRunner, ReleasedJobKeepsTheProgressOfItsItems) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 1));
  Bench.Channels.head(1, 200);
  Bench.Channels.body(1, "id: 0\ndata: a\n\n");
  Bench.Runner.releaseJobs();
  cr_assert(Bench.Channels.Cancelled.contains(1));
  cr_assert(runUntil(Bench.Loop, [&] {
    return Bench.Directory.find("j")->Metadata.Owner.empty();
  }));
  cr_assert_eq(Bench.Rows.count(JobStore::DataTable, "run/j/"), 1);
}

// Guards against the loss of the progress of items when their VM is killed.
Test(JobRunner, SavedProgressIsWhereAnotherVmGoesOn) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 1));
  Bench.Channels.head(1, 200);
  Bench.Channels.body(1, "id: 0\ndata: a\n\n");
  Bench.Runner.saveProgress();
  Bench.Runner.saveProgress();
  cr_assert_eq(Bench.Rows.Transactions, 2,
               "unchanged progress was saved again");
  JobRunner Other(dependenciesOfOther(Bench));
  takeOverJob(Bench, Other);
  cr_assert(
      runUntil(Bench.Loop, [&] { return Bench.Channels.All.size() == 2; }));
  cr_assert_str_eq(
      std::string(
          rawHeader(Bench.Channels.last().Order.Request.Headers, "After"))
          .c_str(),
      "0");
}

// Guards against callers' requests that wait because batch items keep all
// slots.
Test(JobRunner, ItemsGiveWayToCallers) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 8));
  Bench.Loads.addOnlineRequest("s1");
  Bench.Loads.addOnlineRequest("s1");
  Bench.Runner.schedule();
  cr_assert_eq(Bench.Channels.Cancelled.size(), 2);
  cr_assert_eq(Bench.Loads.totalLoad("s1").Batch, 6);
}

// Guards against an item that fails at each run and is sent again and again,
// because each VM that takes its job over counts the failures from 0.
Test(JobRunner, FailuresOfAnItemOutliveItsVm) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 1));
  Bench.Channels.head(1, 500);
  JobRunner Other(dependenciesOfOther(Bench));
  runFor(Bench.Loop, 20ms);
  takeOverJob(Bench, Other);
  cr_assert(
      runUntil(Bench.Loop, [&] { return Bench.Channels.All.size() == 2; }));
  Bench.Channels.head(2, 500);
  cr_assert(runUntil(Bench.Loop, [&] {
    Other.schedule();
    return Bench.Channels.All.size() == 3;
  }));
  Bench.Channels.head(3, 500);
  cr_assert(runUntil(Bench.Loop, [&] { return !Bench.results("j").empty(); }));
  cr_assert_not(Bench.results("j").at(0).Succeeded);
}

// Guards against an item that is given up early, because refusals without the
// mark of a refusal count as failed attempts.
Test(JobRunner, OnlyFailedAttemptsCountTowardsTheMaximum) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 1));
  for (const int Status : {502, 504, 500}) {
    const SendId Send = Bench.Channels.last().Id;
    Bench.Channels.head(Send, Status);
    cr_assert(runUntil(Bench.Loop, [&] {
      Bench.Runner.schedule();
      return Bench.Channels.last().Id == Send + 1;
    }));
  }
}

// Guards against an item with an empty result because its server crashed before
// the first event of an answer without a length.
Test(JobRunner, EmptyAnswerWithoutALengthIsNoResult) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 1));
  Bench.Channels.head(1, 200, {{"Content-Type", "text/event-stream"}});
  Bench.Channels.done(1);
  // The server is checked for a crash before the item is sent again.
  cr_assert(runUntil(Bench.Loop, [&] {
    Bench.Runner.schedule();
    return Bench.Channels.All.size() == 2;
  }));
  cr_assert_eq(Bench.Channels.last().Order.Request.Method, "GET");
  Bench.Channels.done(2);
  cr_assert(runUntil(Bench.Loop, [&] {
    Bench.Runner.schedule();
    return Bench.Channels.All.size() == 3;
  }));
  Bench.complete(3);
  cr_assert(runUntil(Bench.Loop, [&] { return !Bench.results("j").empty(); }));
  cr_assert_str_eq(Bench.results("j").at(0).Output.c_str(), "a\nb");
}

// Guards against an accepted item that is never placed again because several
// servers crashed for other reasons while they ran it.
Test(JobRunner, ItemUnderWhichServersCrashedIsSentAgain) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 1));
  std::size_t ItemSends = 1;
  const Instant Start = Bench.Time.now();
  std::size_t Played = 0;
  cr_assert(runUntil(Bench.Loop, [&] {
    Bench.Runner.schedule();
    for (; Played < Bench.Channels.All.size() && ItemSends < 6; ++Played) {
      const FakeChannels::Sent &Sent = Bench.Channels.All[Played];
      const bool IsItem = Sent.Order.Request.Method == "POST";
      ItemSends += IsItem ? 1 : 0;
      Bench.Channels.fail(Sent.Id, IsItem ? SendFailure::Unanswered
                                          : SendFailure::NotSent);
    }
    return ItemSends >= 6;
  }));
  cr_assert_lt(Bench.Time.now() - Start, Duration(10s));
}

// Guards against items that go to a server that leaves, because only callers'
// requests notice that.
Test(JobRunner, ServerThatSaysItLeavesGetsNoMoreItems) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 1));
  Bench.Channels.head(1, 500, {{"Leaving", "1"}});
  runFor(Bench.Loop, 400ms);
  Bench.Runner.schedule();
  cr_assert_eq(Bench.Channels.All.size(), 1);
}

// Guards against items that keep running after their job was cancelled.
Test(JobRunner, EndedJobStopsItsItems) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 2));
  const KnownJob Known = *Bench.Directory.find("j");
  JobMetadata Metadata = Known.Metadata;
  Metadata.Cancelled = true;
  bool Cancelled = false;
  Bench.Store.updateJob(
      "j", Metadata, {}, 0, Bench.Time.now() + std::chrono::seconds(5),
      Bench.Directory, [&](JobStore::ChangeOutcome) { Cancelled = true; });
  cr_assert(runUntil(Bench.Loop, [&] { return Cancelled; }));
  Bench.Runner.handleJobChanges({"j"});
  cr_assert_eq(Bench.Channels.Cancelled.size(), 2);
  cr_assert_not(Bench.Runner.owns("j"));
}

// Guards against items that miss their deadline because they wait behind late
// items, and against the starvation of late items. Simulates a backlog after an
// outage, with more items than slots and some of the items late already.
Test(JobRunner, ItemsThatCanBeOnTimeGoFirst) {
  RunnerBench Bench;
  Bench.Settings.Routes[0].JobTargetLatency = std::chrono::seconds(18);
  Bench.Servers.update({"s1", "model", "127.0.0.1:1", "a", 1, false, 1});
  cr_assert(Bench.startJob("blocker", 1));
  Bench.StoreNow = 100'000;
  std::map<std::string, std::size_t> Started;
  const std::map<std::string, std::int64_t> Backlog = {{"late", 0},
                                                       {"fresh", 99'000}};
  for (const auto &Job : Backlog) {
    const std::string &JobId = Job.first;
    JobMetadata Metadata = RunnerBench::makeMetadata(20);
    Metadata.AcceptedAtMillis = Job.second;
    std::vector<JobItem> Items;
    Items.reserve(20);
    for (int I = 0; I < 20; ++I)
      Items.push_back({JobId + std::to_string(I), "/" + JobId, {}, "b", 1});
    bool Accepted = false;
    Bench.Store.acceptJob(
        JobId, Metadata, Items, Bench.Time.now() + std::chrono::seconds(5),
        Bench.Directory, [&](JobStore::ChangeOutcome) { Accepted = true; });
    cr_assert(runUntil(Bench.Loop, [&] { return Accepted; }));
    Bench.Runner.runJob(JobId);
    cr_assert(runUntil(
        Bench.Loop, [&] { return !Bench.Runner.find(JobId)->Items.empty(); }));
  }
  // The server has one slot, so each completed item lets the next one start.
  for (SendId Id = 1; Id <= 16; ++Id) {
    Bench.complete(Id);
    Bench.Runner.schedule();
    cr_assert_eq(Bench.Channels.All.size(), Id + 1);
    ++Started[Bench.Channels.last().Order.Request.Target];
  }
  cr_assert_eq(Started["/late"], 2);
  cr_assert_eq(Started["/fresh"], 14);
}

// Guards against late items that take the slots that another VM needs for items
// that can still meet their deadline.
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

/// Starts a job of \p Count items, all of them concurrently, and delivers the
/// first event of each.
void startAllItems(RunnerBench &Bench, std::size_t Count) {
  Bench.Servers.update({"s1", "model", "127.0.0.1:1", "a", 400, false, 1});
  cr_assert(Bench.startJob("j", Count, Count));
  for (SendId Id = 1; Id <= Count; ++Id) {
    Bench.Channels.head(Id, 200, {{"Content-Type", "text/event-stream"}});
    Bench.Channels.body(Id, "id: 0\ndata: a\n\n");
  }
}

} // namespace

// Guards against results that are never committed because, after an outage of
// the store, more of them are uncommitted than fit into one transaction.
Test(JobRunner, ResultsBeyondOneTransactionAreListedInSeveral) {
  constexpr std::size_t Count = 180;
  RunnerBench Bench;
  startAllItems(Bench, Count);
  // The first commit is still in flight while the other items complete.
  for (SendId Id = 1; Id <= Count; ++Id)
    Bench.Channels.done(Id);
  cr_assert(runUntil(Bench.Loop, [&] { return !Bench.Runner.owns("j"); }));
  cr_assert_eq(Bench.Rows.Oversized, 0);
  cr_assert_eq(Bench.results("j").size(), Count);
}

// Guards against progress that is not saved because that of all items does not
// fit into one transaction.
Test(JobRunner, ProgressBeyondOneTransactionIsSavedInSeveral) {
  RunnerBench Bench;
  startAllItems(Bench, 180);
  Bench.Runner.saveProgress();
  cr_assert(runUntil(Bench.Loop, [&] {
    return Bench.Rows.count(JobStore::DataTable, "run/j/") == 180;
  }));
  cr_assert_eq(Bench.Rows.Oversized, 0);
}

// Guards against a job that cannot be handed over because its results and
// progress do not fit into one transaction.
Test(JobRunner, LargeJobIsHandedOver) {
  RunnerBench Bench;
  startAllItems(Bench, 180);
  for (SendId Id = 1; Id <= 120; ++Id)
    Bench.Channels.done(Id);
  Bench.Runner.releaseJobs();
  cr_assert(runUntil(Bench.Loop, [&] {
    const KnownJob *Known = Bench.Directory.find("j");
    return Known && Known->Metadata.CommittedItems > 0;
  }));
  cr_assert_eq(Bench.Rows.Oversized, 0);
}

// Guards against an item whose server sends events, or one event, without end.
Test(JobRunner, OutputWithoutEndIsGivenUp) {
  for (const bool WholeEvents : {true, false}) {
    RunnerBench Bench;
    cr_assert(Bench.startJob("j", 1));
    Bench.Channels.head(1, 200, {{"Content-Type", "text/event-stream"}});
    const std::string Data(10'000, 'x');
    std::size_t Fed = 0;
    for (std::uint64_t Id = 0;
         Fed < (std::size_t{8} << 20U) && !Bench.Channels.Cancelled.contains(1);
         ++Id) {
      Bench.Channels.body(1, WholeEvents ? "id: " + std::to_string(Id) +
                                               "\ndata: " + Data + "\n\n"
                                         : "data: " + Data + "\n");
      Fed += Data.size();
    }
    cr_assert_lt(Fed, std::size_t{1} << 20U);
    cr_assert_gt(Bench.Servers.find("s1")->Failures, 0);
    Bench.Servers.recordSuccess("s1");
    // Another run starts from the beginning.
    cr_assert(runUntil(Bench.Loop, [&] {
      Bench.Runner.schedule();
      return Bench.Channels.All.size() >= 2;
    }));
    cr_assert(rawHeader(Bench.Channels.last().Order.Request.Headers,
                        Bench.Protocol.LastEventId)
                  .empty());
  }
}

// Guards against a job that its owner never runs: the answer to its acceptance
// was lost, and then a reader of its results made the owner learn of it before
// the feed did. The feed does not report a known version again.
Test(JobRunner, JobLearnedFromAReadIsRun) {
  RunnerBench Bench;
  Bench.Rows.Faults = {RowFault::AnswerLost};
  Bench.Rows.Faults.insert(Bench.Rows.Faults.end(), 60, RowFault::Refused);
  const JobMetadata Metadata = RunnerBench::makeMetadata(1);
  std::optional<JobStore::ChangeOutcome> Accepted;
  Bench.Store.acceptJob(
      "j", Metadata, {{"item", "/x", {}, "body", 10}},
      Bench.Time.now() + std::chrono::milliseconds(300), Bench.Directory,
      [&](JobStore::ChangeOutcome Outcome) { Accepted = Outcome; });
  cr_assert(runUntil(Bench.Loop, [&] { return Accepted.has_value(); }));
  cr_assert_eq(*Accepted, JobStore::ChangeOutcome::Unknown);
  bool Read = false;
  Bench.Store.readMetadata(
      "j", Bench.Directory,
      [&](const Result<const KnownJob *> &Known) { Read = Known.has_value(); });
  cr_assert(runUntil(Bench.Loop, [&] { return Read; }));
  cr_assert_not(Bench.Runner.owns("j"));
  std::optional<RowPage> Listed;
  RowRange Range;
  Range.Table = JobStore::JobTable;
  Range.Part = JobStore::Part;
  Bench.Rows.read(Range, [&](Result<RowPage> Page) { Listed = *Page; });
  cr_assert(runUntil(Bench.Loop, [&] { return Listed.has_value(); }));
  Bench.Runner.handleJobChanges(
      Bench.Directory.replace(Listed->Rows, Listed->Version));
  cr_assert(Bench.Runner.owns("j"));
}

// Guards against acceptances and results that wait behind the progress of
// items: one part of the store takes a limited number of transactions a second.
Test(JobRunner, ProgressIsNotSavedInThePartOfTheJobs) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 1));
  Bench.Channels.head(1, 200, {{"Content-Type", "text/event-stream"}});
  Bench.Channels.body(1, "id: 0\ndata: a\n\n");
  Bench.Runner.saveProgress();
  std::optional<std::vector<ItemProgress>> Read;
  cr_assert(runUntil(Bench.Loop, [&] {
    Bench.Store.readProgress(
        "j", [&](const Result<std::vector<ItemProgress>> &Found) {
          if (Found && !Found->empty())
            Read = *Found;
        });
    return Read.has_value();
  }));
  cr_assert_str_eq(Read->at(0).Output.c_str(), "a");
  std::optional<RowPage> Rows;
  RowRange Range;
  Range.Table = JobStore::DataTable;
  Range.Part = JobStore::Part;
  Range.From = "run/";
  Range.To = "run0";
  Bench.Rows.read(Range, [&](Result<RowPage> Page) { Rows = *Page; });
  cr_assert(runUntil(Bench.Loop, [&] { return Rows.has_value(); }));
  cr_assert(Rows->Rows.empty());
}
