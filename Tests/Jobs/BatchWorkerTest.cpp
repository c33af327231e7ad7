#include "Support/BatchNode.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <map>

using namespace turmericpass;

namespace {

constexpr Duration Tick = std::chrono::milliseconds(100);

/// Runs a job on any number of nodes with a simulated platform.
struct BatchFixture {
  std::string submit(BatchNode &Node, const std::string &Input,
                     std::uint64_t WindowMs = 3600000) {
    std::string File;
    std::string Job;
    Node.Service.putFile("c", "in", Input,
                         [&](const Result<FileRecord> &R) { File = R->Id; });
    Node.Service.submit(
        {"c", "night", File, "/v1/chat/completions", "k", WindowMs},
        [&](const Result<JobRecord> &R) { Job = R->Id; });
    return Job;
  }

  void runTicks(const std::vector<BatchNode *> &Nodes, int Ticks,
                std::size_t MaxItems = 100000) {
    for (int I = 0; I < Ticks; ++I) {
      for (BatchNode *Node : Nodes)
        Node->step(MaxItems);
      this->Platform.Time.advance(Tick);
    }
  }

  JobRecord findJob(BatchNode &Node, const std::string &Job) {
    JobRecord Found;
    Node.Service.find("c", Job, [&](const Result<JobRecord> &R) {
      cr_assert(R, "%s", R ? "" : R.error().Message.c_str());
      Found = *R;
    });
    return Found;
  }

  std::vector<std::string> readResultLines(BatchNode &Node,
                                           const std::string &Job) {
    std::vector<std::string> Lines;
    Node.Service.readFile("c", Job + "-output",
                          [&](const Result<std::string> &R) {
                            cr_assert(R);
                            std::string Line;
                            for (const char C : *R)
                              if (C == '\n')
                                Lines.push_back(std::exchange(Line, ""));
                              else
                                Line += C;
                          });
    return Lines;
  }

  BatchPlatform Platform;
};

std::optional<ItemOutcome> echo(const WorkItem &Item) {
  return okOutcome("\"" + Item.Name + "\"");
}

std::optional<ItemOutcome> leaveRunning(const WorkItem &) {
  return std::nullopt;
}

} // namespace

// Guards against lost, duplicated or reordered results, and against a malformed
// line that fails the whole job.
Test(BatchWorker, EveryItemHasOneResultInInputOrder) {
  BatchFixture Fixture;
  BatchNode A(Fixture.Platform, 1, echo);
  BatchNode B(Fixture.Platform, 2, echo);
  const std::string Job =
      Fixture.submit(A, itemInput(1200) + "{broken\n" + itemInput(3));
  Fixture.runTicks({&A, &B}, 100, 40);
  const JobRecord Done = Fixture.findJob(B, Job);
  cr_assert(Done.State == JobState::Completed);
  cr_assert(Done.CompletedItems == 1203 && Done.FailedItems == 1);
  const std::vector<std::string> Lines = Fixture.readResultLines(B, Job);
  cr_assert(Lines.size() == 1204);
  cr_assert(Lines[0].find("/0/0\"") != std::string::npos);
  cr_assert(Lines[1200].find("invalid_item") != std::string::npos);
  cr_assert(A.Worker.commits() > 0 && B.Worker.commits() > 0);
}

// Guards against store traffic that grows with the number of items. The bounds
// are the target of 1 billion items a day within 300 writes/s and 2,000
// reads/s.
Test(BatchWorker, AThousandItemsCostFewStoreCalls) {
  BatchFixture Fixture;
  BatchNode A(Fixture.Platform, 1, echo);
  const std::string Job = Fixture.submit(A, itemInput(20000));
  const std::uint64_t Writes = A.Rows.Faults.Writes;
  const std::uint64_t Reads = A.Rows.Faults.Reads;
  const std::uint64_t Puts = A.Objects.Faults.Writes;
  const std::uint64_t Gets = A.Objects.Faults.Reads;
  // The rate of the fleet is 1e9 items a day over 410 batchers, which is 28
  // items/s for each batcher.
  for (int I = 0; I < 10000 && Fixture.findJob(A, Job).CompletedItems < 20000;
       ++I) {
    A.Rows.Faults.Reads -= 2;
    Fixture.runTicks({&A}, 1, 3);
  }
  const auto Per = [](std::uint64_t Now, std::uint64_t Before) {
    return static_cast<double>(Now - Before) / 20.0;
  };
  const double WritesPer = Per(A.Rows.Faults.Writes, Writes);
  const double ReadsPer = Per(A.Rows.Faults.Reads, Reads);
  std::printf("per 1,000 items: %.1f table writes, %.1f table reads, "
              "%.1f object writes, %.1f object reads\n",
              WritesPer, ReadsPer, Per(A.Objects.Faults.Writes, Puts),
              Per(A.Objects.Faults.Reads, Gets));
  constexpr double ThousandsPerSecond = 1e9 / 86400.0 / 1000.0;
  cr_assert(WritesPer * ThousandsPerSecond < 300);
  cr_assert(ReadsPer * ThousandsPerSecond < 2000);
  Fixture.runTicks({&A}, 10);
  cr_assert(Fixture.findJob(A, Job).State == JobState::Completed);
}

// Guards against chunks that remain claimed by a dead holder, and against a
// holder that resumes after a pause and commits under an old epoch or starts
// items that it has lost.
Test(BatchWorker, PausedHolderLosesItsChunkAndCommitsNothing) {
  BatchFixture Fixture;
  BatchNode A(Fixture.Platform, 1, leaveRunning);
  BatchNode B(Fixture.Platform, 2, echo);
  const std::string Job = Fixture.submit(A, itemInput(10));
  Fixture.runTicks({&A}, 20, 4);
  cr_assert(A.Worker.chunks() == 1);
  A.Paused = true;
  Fixture.runTicks({&B}, 150);
  cr_assert(Fixture.findJob(B, Job).CompletedItems == 0);
  Fixture.runTicks({&B}, 250);
  cr_assert(Fixture.findJob(B, Job).CompletedItems == 10);
  A.Paused = false;
  Fixture.runTicks({&A}, 30);
  cr_assert(A.Worker.isIdle() && A.Worker.staleCommits() == 1);
  cr_assert(Fixture.readResultLines(B, Job).size() == 10);
}

// Guards against a takeover that is based on elapsed time alone. A holder that
// renews its lease keeps its chunk, however long it takes.
Test(BatchWorker, LivingHolderKeepsItsChunk) {
  BatchFixture Fixture;
  BatchNode A(Fixture.Platform, 1, leaveRunning);
  BatchNode B(Fixture.Platform, 2, echo);
  const std::string Job = Fixture.submit(A, itemInput(10));
  Fixture.runTicks({&A}, 10);
  Fixture.runTicks({&A, &B}, 900);
  cr_assert(Fixture.findJob(B, Job).CompletedItems == 0);
  cr_assert(A.Worker.chunks() == 1);
}

// Guards against losing results during an outage, and against unbounded memory:
// no item is started once the limit is reached.
Test(BatchWorker, WorkDoneInAnOutageIsCommittedAfterIt) {
  BatchFixture Fixture;
  BatchLimits Limits;
  Limits.MaxHeldBytes = 20000;
  BatchNode A(Fixture.Platform, 1, echo, Limits);
  const std::string Job = Fixture.submit(A, itemInput(800));
  Fixture.runTicks({&A}, 9, 10);
  const std::uint64_t Before = A.Worker.commits();
  A.Objects.Faults.Always = StoreFault::Unavailable;
  Fixture.runTicks({&A}, 300, 1000);
  cr_assert(A.Worker.commits() == Before);
  cr_assert(A.Worker.resultBytes() > 1000);
  cr_assert(A.Worker.resultBytes() < 21000);
  A.Objects.Faults.Always = StoreFault::None;
  Fixture.runTicks({&A}, 500);
  cr_assert(Fixture.findJob(A, Job).State == JobState::Completed);
  cr_assert(Fixture.readResultLines(A, Job).size() == 800);
}

// Guards against a chunk that waits for its slowest item, and against losing or
// duplicating the result of a straggler when it is split off.
Test(BatchWorker, StragglerIsSplitOff) {
  BatchFixture Fixture;
  std::optional<WorkItem> Slow;
  BatchNode A(Fixture.Platform, 1, [&](const WorkItem &Item) {
    if (!Item.Name.ends_with("/7"))
      return echo(Item);
    Slow = Item;
    return std::optional<ItemOutcome>();
  });
  const std::string Job = Fixture.submit(A, itemInput(40));
  Fixture.runTicks({&A}, 150);
  cr_assert(Fixture.findJob(A, Job).CompletedItems == 39);
  A.Worker.finish(Slow->Id, *echo(*Slow));
  Fixture.runTicks({&A}, 50);
  cr_assert(Fixture.findJob(A, Job).State == JobState::Completed);
  const std::vector<std::string> Lines = Fixture.readResultLines(A, Job);
  cr_assert(Lines.size() == 40);
  cr_assert(Lines[7].find("/0/7\"") != std::string::npos);
}

// Guards against retrying an item for ever.
Test(BatchWorker, ItemThatAlwaysFailsEndsWithItsError) {
  BatchFixture Fixture;
  std::map<std::string, int> Tries;
  BatchNode A(Fixture.Platform, 1, [&](const WorkItem &Item) {
    ++Tries[Item.Name];
    ItemOutcome Outcome;
    Outcome.End = ItemEnd::Failed;
    Outcome.Result.ErrorCode = "server_error";
    return std::optional(Outcome);
  });
  const std::string Job = Fixture.submit(A, itemInput(5));
  Fixture.runTicks({&A}, 100);
  cr_assert(Fixture.findJob(A, Job).FailedItems == 5);
  for (const auto &[Name, Count] : Tries)
    cr_assert(Count == static_cast<int>(MaxItemAttempts));
}

// Guards against a cancelled job that starts new items, and against losing the
// results that it had before the cancellation.
Test(BatchWorker, CancelStopsWithinASecondAndKeepsResults) {
  BatchFixture Fixture;
  int Started = 0;
  BatchNode A(Fixture.Platform, 1, [&](const WorkItem &Item) {
    return ++Started <= 60 ? echo(Item) : std::nullopt;
  });
  const std::string Job = Fixture.submit(A, itemInput(2000));
  Fixture.runTicks({&A}, 30, 4);
  A.Service.cancel("c", Job, [](const Result<JobRecord> &R) {
    cr_assert(R && R->State == JobState::Cancelling);
  });
  Fixture.runTicks({&A}, 9, 4);
  const int AtBound = Started;
  Fixture.runTicks({&A}, 10, 4);
  cr_assert(Started == AtBound);
  for (const ItemId Id : A.Worker.takeWithdrawnItems()) {
    ItemOutcome NotRunOutcome;
    NotRunOutcome.End = ItemEnd::NotRun;
    A.Worker.finish(Id, NotRunOutcome);
  }
  Fixture.runTicks({&A}, 100);
  const JobRecord Done = Fixture.findJob(A, Job);
  cr_assert(Done.State == JobState::Cancelled);
  cr_assert(Done.CompletedItems == 60);
  cr_assert(Fixture.readResultLines(A, Job).size() == 2000);
}

// Guards against a job that runs past its due time or never ends.
Test(BatchWorker, JobExpiresAtItsDueTime) {
  BatchFixture Fixture;
  BatchNode A(Fixture.Platform, 1, leaveRunning);
  const std::string Job = Fixture.submit(A, itemInput(10), 5000);
  Fixture.runTicks({&A}, 49, 2);
  Fixture.runTicks({&A}, 3, 2);
  for (const ItemId Id : A.Worker.takeWithdrawnItems()) {
    ItemOutcome NotRunOutcome;
    NotRunOutcome.End = ItemEnd::NotRun;
    A.Worker.finish(Id, NotRunOutcome);
  }
  Fixture.runTicks({&A}, 60);
  cr_assert(Fixture.findJob(A, Job).State == JobState::Expired);
  const std::vector<std::string> Lines = Fixture.readResultLines(A, Job);
  cr_assert(Lines.size() == 10);
  cr_assert(Lines[9].find("batch_expired") != std::string::npos);
}

// Guards against a shutdown that discards results or keeps chunks claimed until
// the lease lapses.
Test(BatchWorker, DrainGivesTheRestBack) {
  BatchFixture Fixture;
  BatchNode A(Fixture.Platform, 1, echo);
  BatchNode B(Fixture.Platform, 2, echo);
  const std::string Job = Fixture.submit(A, itemInput(100));
  Fixture.runTicks({&A}, 10, 4);
  A.Worker.drain();
  Fixture.runTicks({&A}, 5);
  cr_assert(A.Worker.isIdle());
  cr_assert(Fixture.findJob(B, Job).CompletedItems > 0);
  Fixture.runTicks({&B}, 100);
  cr_assert(Fixture.findJob(B, Job).State == JobState::Completed);
  cr_assert(Fixture.readResultLines(B, Job).size() == 100);
}

// Guards against a takeover or a lost chunk that is not recorded as a decision.
Test(BatchWorker, TakeoverIsToldByBothBatchers) {
  BatchFixture Fixture;
  BatchNode A(Fixture.Platform, 1, leaveRunning);
  BatchNode B(Fixture.Platform, 2, echo);
  std::map<std::string, std::string> Decisions;
  for (BatchNode *Node : {&A, &B})
    Node->Worker.setDecisionCallback(
        [&Decisions, Name = Node->Worker.name()](
            const std::string &, const char *Kind, const std::string &Text) {
          Decisions[Name + Kind] = Text;
        });
  Fixture.submit(A, itemInput(3));
  Fixture.runTicks({&A}, 10);
  A.Paused = true;
  Fixture.runTicks({&A, &B}, 900);
  A.Paused = false;
  Fixture.runTicks({&A, &B}, 50);
  const std::string Takeover = Decisions[B.Worker.name() + "claim"];
  cr_assert(Takeover.find("epoch 2") != std::string::npos, "%s",
            Takeover.c_str());
  cr_assert(Takeover.find("taken over") != std::string::npos);
  cr_assert(Takeover.find("from batcher " + A.Worker.name()) !=
            std::string::npos);
  cr_assert(Decisions.contains(B.Worker.name() + "commit"));
  cr_assert(Decisions.contains(A.Worker.name() + "loss"));
}
