#include "Support/RunnerBench.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <deque>

using namespace turmericpass;
using namespace std::chrono_literals;

// The answer to a transaction may have a newer version than the rows that the
// transaction wrote, because other VMs wrote rows in the meantime.

namespace {

const std::string JobKey = JobDirectory::metadataKey("j");

/// A runner whose commit the store has made and not answered yet.
struct CommitBench : RunnerBench {
  CommitBench() {
    cr_assert(this->startJob("j", 3));
    this->Rows.AnswerTime = 30ms;
    this->complete(1);
    cr_assert(runUntil(this->Loop, [&] {
      return this->readJob().Metadata.CommittedItems == 1;
    }));
    cr_assert_eq(this->Directory.find("j")->Metadata.CommittedItems, 0);
  }

  struct Read {
    StoredRow Row;
    JobMetadata Metadata;
  };
  /// Returns the metadata of the job that the store has.
  Read readJob() {
    std::optional<RowPage> Page;
    RowRange Range;
    Range.Table = JobStore::JobTable;
    Range.Part = JobStore::Part;
    Range.From = JobKey;
    Range.Limit = 1;
    this->Rows.read(Range, [&](Result<RowPage> Found) { Page = *Found; });
    cr_assert(runUntil(this->Loop, [&] { return Page.has_value(); }));
    return {Page->Rows.at(0), *decodeMetadata(Page->Rows.at(0).Value)};
  }
  /// Changes the job as another VM does. Returns the new row.
  StoredRow changeJob(const std::function<void(JobMetadata &)> &Change) {
    JobMetadata Metadata = this->readJob().Metadata;
    Change(Metadata);
    Metadata.WriteId = "of another VM";
    this->Rows.put(JobStore::JobTable, JobStore::Part, JobKey,
                   encodeMetadata(Metadata));
    return this->readJob().Row;
  }
  void waitForAnswer() { runFor(this->Loop, 60ms); }
  void reportChange(const StoredRow &Row) {
    this->Runner.handleJobChanges(this->Directory.update({Row}));
  }
  void expectStopped() {
    cr_expect_not(this->Runner.owns("j"));
    cr_expect(this->Channels.Cancelled.contains(2));
    cr_expect(this->Channels.Cancelled.contains(3));
    const std::size_t Sends = this->Channels.All.size();
    this->Runner.schedule();
    cr_expect_eq(this->Channels.All.size(), Sends);
  }
};

void endJob(JobMetadata &Metadata) { Metadata.Cancelled = true; }

void takeOver(JobMetadata &Metadata) {
  Metadata.Owner = "other";
  ++Metadata.Epoch;
}

} // namespace

// Guards against an owner that overlooks the end or the takeover of its job and
// goes on to run the items: the version of the change is not above that of the
// answer to a commit before it.
Test(AnsweredVersion, ChangeAfterACommitIsNoticed) {
  for (const auto Change : {endJob, takeOver}) {
    CommitBench Bench;
    const StoredRow Changed = Bench.changeJob(Change);
    Bench.waitForAnswer();
    cr_assert_eq(Bench.Directory.find("j")->Version.Newest, Changed.Version);
    cr_assert(Bench.Runner.owns("j"));
    Bench.reportChange(Changed);
    Bench.expectStopped();
  }
}

// Guards against the answer to a commit that undoes a change which the feed has
// reported before it.
Test(AnsweredVersion, AnswerAfterTheChangeDoesNotUndoIt) {
  for (const auto Change : {endJob, takeOver}) {
    CommitBench Bench;
    Bench.reportChange(Bench.changeJob(Change));
    Bench.expectStopped();
    Bench.waitForAnswer();
    Bench.Runner.handleJobChanges(Bench.Directory.update({}));
    Bench.expectStopped();
  }
}

// Guards against commits that fail with a conflict without end, because the row
// in the answer is taken for an old one.
Test(AnsweredVersion, ConflictShowsTheChange) {
  for (const auto Change : {endJob, takeOver}) {
    CommitBench Bench;
    Bench.changeJob(Change);
    Bench.waitForAnswer();
    Bench.complete(2);
    cr_assert(runUntil(Bench.Loop, [&] { return !Bench.Runner.owns("j"); }));
    cr_expect(Bench.Channels.Cancelled.contains(3));
  }
}

// Guards against a commit that undoes the change of another VM, whose version
// is that of the answer to the commit before.
Test(AnsweredVersion, CommitDoesNotUndoTheChange) {
  for (const auto Change : {endJob, takeOver}) {
    CommitBench Bench;
    Bench.complete(2);
    const StoredRow Changed = Bench.changeJob(Change);
    Bench.waitForAnswer();
    Bench.waitForAnswer();
    cr_expect_eq(Bench.readJob().Row.Value, Changed.Value);
    cr_expect_not(Bench.Runner.owns("j"));
  }
}

// Guards against a commit that waits for the feed: the version is read.
Test(AnsweredVersion, NextCommitFollowsAtOnce) {
  CommitBench Bench;
  Bench.Rows.put("other", "", "key", "value");
  Bench.complete(2);
  Bench.complete(3);
  cr_assert(runUntil(Bench.Loop, [&] { return !Bench.Runner.owns("j"); }));
  cr_assert_eq(Bench.results("j").size(), 3);
}

// Guards against a job that is accepted beyond the limit of waiting tokens,
// because the acceptance of another VM was not noticed.
Test(AnsweredVersion, AcceptanceDoesNotUndoAnotherOne) {
  RunnerBench Bench;
  Bench.Rows.AnswerTime = 20ms;
  std::optional<JobStore::ChangeOutcome> First;
  const auto Accept = [&](const std::string &JobId,
                          std::optional<JobStore::ChangeOutcome> &Outcome) {
    Bench.Store.acceptJob(
        JobId, RunnerBench::makeMetadata(1), {{"item", "/x", {}, "body", 10}},
        Bench.Time.now() + 5s, Bench.Directory,
        [&Outcome](JobStore::ChangeOutcome Found) { Outcome = Found; });
  };
  Accept("a", First);
  const std::string Other = JobDirectory::admissionValue(500, "of another VM");
  const std::string Key = JobDirectory::admissionKey("jobs", "");
  Bench.Rows.put(JobStore::JobTable, JobStore::Part, Key, Other);
  cr_assert(runUntil(Bench.Loop, [&] { return First.has_value(); }));
  cr_assert(*First == JobStore::ChangeOutcome::Done);
  std::optional<JobStore::ChangeOutcome> Second;
  Accept("b", Second);
  cr_assert(runUntil(Bench.Loop, [&] { return Second.has_value(); }));
  cr_assert(*Second == JobStore::ChangeOutcome::Conflict);
  cr_assert_eq(Bench.Directory.admission("jobs", "").AcceptedTokens, 500);
  std::optional<JobStore::ChangeOutcome> Third;
  Accept("b", Third);
  cr_assert(runUntil(Bench.Loop, [&] { return Third.has_value(); }));
  cr_assert(*Third == JobStore::ChangeOutcome::Done);
}

// Guards against a VM that refuses jobs because it overlooks another VM's
// acceptance.
Test(AnsweredVersion, AcceptanceOfAnotherVmCounts) {
  NullLogger Log;
  JobDirectory Directory(Log);
  const std::string Key = JobDirectory::admissionKey("jobs", "");
  RowTransaction Own;
  Own.Conditions = {{JobStore::JobTable, Key, 3}};
  Own.Writes = {
      {JobStore::JobTable, Key, JobDirectory::admissionValue(10, "own")}};
  Directory.mergeCommitted(Own, 6);
  cr_assert_eq(Directory.admission("jobs", "").AcceptedTokens, 10);
  Directory.merge({{JobStore::JobTable, "", Key,
                    JobDirectory::admissionValue(30, "other"), 6, false}});
  cr_assert_eq(Directory.admission("jobs", "").AcceptedTokens, 30);
  cr_assert_eq(Directory.admission("jobs", "").Version.Newest, 6);
  // An older row is still recognised.
  Directory.merge({{JobStore::JobTable, "", Key,
                    JobDirectory::admissionValue(5, "old"), 3, false}});
  cr_assert_eq(Directory.admission("jobs", "").AcceptedTokens, 30);
}

// Guards against a job that is forgotten after it was accepted again, because
// the answer to the removal of its predecessor is newer.
Test(AnsweredVersion, RemovalDoesNotRemoveALaterJob) {
  NullLogger Log;
  JobDirectory Directory(Log);
  JobMetadata Metadata = RunnerBench::makeMetadata(1);
  Metadata.WriteId = "first";
  const auto Row = [&](std::uint64_t Version) {
    return StoredRow{JobStore::JobTable,       "",      JobKey,
                     encodeMetadata(Metadata), Version, false};
  };
  Directory.merge({Row(5)});
  RowTransaction Removal;
  Removal.Conditions = {{JobStore::JobTable, JobKey, 5}};
  Removal.Removals = {{JobStore::JobTable, JobKey}};
  Metadata.WriteId = "again";
  Directory.update({Row(7)});
  Directory.mergeCommitted(Removal, 8);
  cr_assert_not_null(Directory.find("j"));
  cr_assert_str_eq(Directory.find("j")->Metadata.WriteId.c_str(), "again");
}

// Checks that any order of writes, answers and reports leaves the job that the
// store has, and that the job never goes back to an earlier state than the feed
// has reported.
Test(AnsweredVersion, DirectoryFollowsTheStore) {
  cr_assert(rc::check([] {
    NullLogger Log;
    JobDirectory Directory(Log);
    std::uint64_t Version = 0;
    StoredRow Stored{JobStore::JobTable, "", JobKey, "", 0, false};
    int Writes = 0;
    const auto Write = [&] {
      JobMetadata Metadata = RunnerBench::makeMetadata(1);
      Metadata.WriteId = std::to_string(++Writes);
      Stored.Value = encodeMetadata(Metadata);
      Stored.Version = ++Version;
      // Rows of other jobs are written as well.
      Version += *rc::gen::inRange<std::uint64_t>(0, 3);
    };
    const auto KnownWrite = [&] {
      const KnownJob *Known = Directory.find("j");
      return Known ? std::stoi(Known->Metadata.WriteId) : 0;
    };
    std::deque<RowTransaction> Unanswered;
    int Reported = 0;
    const auto Report = [&] {
      if (Stored.Version > 0)
        Directory.update({Stored});
      Reported = Writes;
    };
    const int Steps = *rc::gen::inRange(1, 40);
    for (int Step = 0; Step < Steps; ++Step) {
      switch (*rc::gen::inRange(0, 4)) {
      case 0:
        Write();
        break;
      case 1: {
        const KnownJob *Known = Directory.find("j");
        RowTransaction Own;
        Own.Conditions = {
            {JobStore::JobTable, JobKey, Known ? Known->Version.Newest : 0}};
        if (Own.Conditions[0].Version != Stored.Version) {
          // The store answers a conflict with its row.
          Directory.merge({Stored});
          break;
        }
        Write();
        Own.Writes = {{JobStore::JobTable, JobKey, Stored.Value}};
        Unanswered.push_back(std::move(Own));
        break;
      }
      case 2:
        if (!Unanswered.empty()) {
          Directory.mergeCommitted(Unanswered.front(), Version);
          Unanswered.pop_front();
        }
        break;
      default:
        Report();
      }
      RC_ASSERT(KnownWrite() >= Reported);
    }
    for (const RowTransaction &Each : Unanswered)
      Directory.mergeCommitted(Each, Version);
    Report();
    RC_ASSERT(KnownWrite() == Writes);
    if (Writes > 0)
      RC_ASSERT(Directory.find("j")->Version.Newest == Stored.Version);
  }));
}
