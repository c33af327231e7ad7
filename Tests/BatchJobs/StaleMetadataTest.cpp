#include "Support/RunnerBench.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <set>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

/// Returns the metadata row of job "j" as the store has it.
StoredRow readMetadataRow(RunnerBench &Bench) {
  std::optional<RowPage> Read;
  RowRange Range;
  Range.Table = JobStore::JobTable;
  Range.Part = JobStore::Part;
  Range.From = JobDirectory::metadataKey("j");
  Range.Limit = 1;
  Bench.Rows.read(Range, [&](Result<RowPage> Page) { Read = *Page; });
  cr_assert(runUntil(Bench.Loop, [&] { return Read.has_value(); }));
  return Read->Rows.at(0);
}

/// Lets the runner drop the job, and then own it again from \p Row.
void forgetAndLearn(RunnerBench &Bench, const StoredRow &Row) {
  StoredRow Removed = Row;
  Removed.Removed = true;
  Removed.Version = 0;
  Bench.Runner.handleJobChanges(Bench.Directory.update({Removed}));
  cr_assert_not(Bench.Runner.owns("j"));
  Bench.Runner.handleJobChanges(Bench.Directory.update({Row}));
  cr_assert(Bench.Runner.owns("j"));
}

/// Completes whatever items run until the job is finished, and checks that each
/// item has one result.
void finishJob(RunnerBench &Bench, std::size_t Items,
               std::set<SendId> Completed) {
  cr_assert(runUntil(Bench.Loop, [&] {
    Bench.Runner.schedule();
    for (SendId Id = 1; Id <= Bench.Channels.All.size(); ++Id)
      if (!Bench.Channels.Cancelled.contains(Id) && Completed.insert(Id).second)
        Bench.complete(Id);
    const KnownJob *Known = Bench.Directory.find("j");
    return Known && !Known->Metadata.isOpen() && !Bench.Runner.owns("j");
  }));
  const std::vector<ItemResult> Results = Bench.results("j");
  std::set<std::string> Listed;
  for (const ItemResult &Result : Results)
    Listed.insert(Result.ItemId);
  cr_assert_eq(Results.size(), Items);
  cr_assert_eq(Listed.size(), Items);
}

} // namespace

// Guards against a job that its owner drops because it was accepted after the
// first page of a listing was read, and whose row is on that page.
Test(JobDirectory, ListingDoesNotRemoveJobsThatAreNewerThanIt) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 1));
  const std::uint64_t Accepted = Bench.Directory.find("j")->Version.Newest;
  Bench.Directory.update({});
  cr_assert(Bench.Directory.replace({}, Accepted - 1).empty());
  cr_assert_not_null(Bench.Directory.find("j"));
  cr_assert_eq(Bench.Directory.replace({}, Accepted).size(), 1);
  cr_assert_null(Bench.Directory.find("j"));
}

// Guards against a job that is dropped because an answer of the store that was
// on its way shows its removal, before it was accepted again.
Test(JobDirectory, RemovalIsOlderThanTheNextAcceptance) {
  RunnerBench Bench;
  Bench.Rows.put("other", "", "key", "value");
  cr_assert(Bench.startJob("j", 1));
  Bench.Directory.update({});
  StoredRow Removal = readMetadataRow(Bench);
  Removal.Removed = true;
  --Removal.Version;
  cr_assert(Bench.Directory.update({Removal}).empty());
  Removal.Version += 2;
  cr_assert_eq(Bench.Directory.update({Removal}).size(), 1);
}

// Guards against items that are listed twice, or never, because their job was
// dropped while its first commit was in flight, and loaded from older metadata.
Test(JobRunner, CommitOfADroppedJobIsNotTakenForALaterOne) {
  for (const RowFault Fault :
       {RowFault::None, RowFault::AnswerLost, RowFault::MadeLate}) {
    RunnerBench Bench;
    cr_assert(Bench.startJob("j", 3));
    const StoredRow BeforeCommit = readMetadataRow(Bench);
    Bench.Rows.Faults = {Fault};
    // Otherwise a retry is applied first.
    if (Fault == RowFault::MadeLate)
      Bench.Rows.Faults.insert(Bench.Rows.Faults.end(), 20, RowFault::Refused);
    Bench.complete(1);
    forgetAndLearn(Bench, BeforeCommit);
    cr_assert(
        runUntil(Bench.Loop, [&] { return Bench.Channels.All.size() >= 5; }));
    // The commit of this result is in flight when the first one is applied.
    const SendId Completed = Bench.Channels.last().Id;
    Bench.complete(Completed);
    Bench.Rows.applyLate();
    finishJob(Bench, 3, {1, Completed});
  }
}

// Guards against items that are loaded without their results because the read
// of an earlier load of the job completes after the job was dropped.
Test(JobRunner, LoadOfADroppedJobIsNotTakenForALaterOne) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 2));
  const StoredRow BeforeCommit = readMetadataRow(Bench);
  Bench.complete(1);
  cr_assert(runUntil(Bench.Loop, [&] {
    return Bench.Directory.find("j")->Metadata.CommittedItems == 1;
  }));
  const StoredRow AfterCommit = readMetadataRow(Bench);
  forgetAndLearn(Bench, BeforeCommit);
  // The items are still being read as those of a new job.
  forgetAndLearn(Bench, AfterCommit);
  finishJob(Bench, 2, {1});
}

// Guards against any order of commits, drops and loads that lists an item twice
// or never, with answers that are lost or commits that are applied late.
Test(JobRunner, EachItemHasOneResultWhenJobsAreDroppedAtAnyTime,
     .timeout = 120) {
  cr_assert(rc::check([] {
    RunnerBench Bench;
    constexpr std::size_t Items = 4;
    cr_assert(Bench.startJob("j", Items));
    std::vector<StoredRow> Seen = {readMetadataRow(Bench)};
    std::set<SendId> Completed;
    const int Steps = *rc::gen::inRange(1, 12);
    for (int Step = 0; Step < Steps && Bench.Runner.owns("j"); ++Step) {
      switch (*rc::gen::inRange(0, 5)) {
      case 0:
        Bench.Rows.Faults.push_back(*rc::gen::element(
            RowFault::None, RowFault::AnswerLost, RowFault::MadeLate));
        break;
      case 1:
        if (const SendId Next = Completed.size() + 1;
            Next <= Bench.Channels.All.size() &&
            Completed.insert(Next).second &&
            !Bench.Channels.Cancelled.contains(Next))
          Bench.complete(Next);
        break;
      case 2:
        forgetAndLearn(Bench, *rc::gen::elementOf(Seen));
        break;
      case 3:
        Bench.Rows.applyLate();
        break;
      default:
        runFor(Bench.Loop, 2ms);
        Bench.Runner.schedule();
        if (const StoredRow Now = readMetadataRow(Bench);
            Now.Version > Seen.back().Version)
          Seen.push_back(Now);
      }
    }
    Bench.Rows.applyLate();
    // The feed reports the current row in the end.
    Bench.Runner.handleJobChanges(
        Bench.Directory.update({readMetadataRow(Bench)}));
    finishJob(Bench, Items, Completed);
  }));
}
