#include "Support/BatchNode.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <map>

using namespace turmericpass;

namespace {

constexpr Duration Tick = std::chrono::milliseconds(100);

/// Runs a job on any number of nodes with a simulated platform.
struct Bench {
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

  void run(const std::vector<BatchNode *> &Nodes, int Ticks,
           std::size_t MaxItems = 100000) {
    for (int I = 0; I < Ticks; ++I) {
      for (BatchNode *Node : Nodes)
        Node->step(MaxItems);
      this->Shared.Time.advance(Tick);
    }
  }

  JobRecord find(BatchNode &Node, const std::string &Job) {
    JobRecord Found;
    Node.Service.find("c", Job, [&](const Result<JobRecord> &R) {
      cr_assert(R, "%s", R ? "" : R.error().Message.c_str());
      Found = *R;
    });
    return Found;
  }

  std::vector<std::string> results(BatchNode &Node, const std::string &Job) {
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

  BatchPlatform Shared;
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
  Bench Desk;
  BatchNode A(Desk.Shared, 1, echo);
  BatchNode B(Desk.Shared, 2, echo);
  const std::string Job =
      Desk.submit(A, itemInput(1200) + "{broken\n" + itemInput(3));
  Desk.run({&A, &B}, 100, 40);
  const JobRecord Done = Desk.find(B, Job);
  cr_assert(Done.State == JobState::Completed);
  cr_assert(Done.CompletedItems == 1203 && Done.FailedItems == 1);
  const std::vector<std::string> Lines = Desk.results(B, Job);
  cr_assert(Lines.size() == 1204);
  cr_assert(Lines[0].find("/0/0\"") != std::string::npos);
  cr_assert(Lines[1200].find("invalid_item") != std::string::npos);
  cr_assert(A.Worker.commits() > 0 && B.Worker.commits() > 0);
}

// Guards against store traffic that grows with the number of items. The bounds
// are the target of 1 billion items a day within 300 writes/s and 2,000
// reads/s.
Test(BatchWorker, AThousandItemsCostFewStoreCalls) {
  Bench Desk;
  BatchNode A(Desk.Shared, 1, echo);
  const std::string Job = Desk.submit(A, itemInput(20000));
  const std::uint64_t Writes = A.Rows.Faults.Writes;
  const std::uint64_t Reads = A.Rows.Faults.Reads;
  const std::uint64_t Puts = A.Objects.Faults.Writes;
  const std::uint64_t Gets = A.Objects.Faults.Reads;
  // The rate of the fleet is 1e9 items a day over 410 batchers, which is 28
  // items/s for each batcher.
  for (int I = 0; I < 10000 && Desk.find(A, Job).CompletedItems < 20000; ++I) {
    A.Rows.Faults.Reads -= 2;
    Desk.run({&A}, 1, 3);
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
  Desk.run({&A}, 10);
  cr_assert(Desk.find(A, Job).State == JobState::Completed);
}

// Guards against chunks that remain claimed by a dead holder, and against a
// holder that resumes after a pause and commits under an old epoch or starts
// items that it has lost.
Test(BatchWorker, PausedHolderLosesItsChunkAndCommitsNothing) {
  Bench Desk;
  BatchNode A(Desk.Shared, 1, leaveRunning);
  BatchNode B(Desk.Shared, 2, echo);
  const std::string Job = Desk.submit(A, itemInput(10));
  Desk.run({&A}, 20, 4);
  cr_assert(A.Worker.chunks() == 1);
  A.Paused = true;
  Desk.run({&B}, 150);
  cr_assert(Desk.find(B, Job).CompletedItems == 0);
  Desk.run({&B}, 250);
  cr_assert(Desk.find(B, Job).CompletedItems == 10);
  A.Paused = false;
  Desk.run({&A}, 30);
  cr_assert(A.Worker.idle() && A.Worker.staleCommits() == 1);
  cr_assert(Desk.results(B, Job).size() == 10);
}

// Guards against a takeover that is based on elapsed time alone. A holder that
// renews its lease keeps its chunk, however long it takes.
Test(BatchWorker, LivingHolderKeepsItsChunk) {
  Bench Desk;
  BatchNode A(Desk.Shared, 1, leaveRunning);
  BatchNode B(Desk.Shared, 2, echo);
  const std::string Job = Desk.submit(A, itemInput(10));
  Desk.run({&A}, 10);
  Desk.run({&A, &B}, 900);
  cr_assert(Desk.find(B, Job).CompletedItems == 0);
  cr_assert(A.Worker.chunks() == 1);
}

// Guards against losing results during an outage, and against unbounded memory:
// no item is started once the limit is reached.
Test(BatchWorker, WorkDoneInAnOutageIsCommittedAfterIt) {
  Bench Desk;
  BatchLimits Limits;
  Limits.MaxHeldBytes = 20000;
  BatchNode A(Desk.Shared, 1, echo, Limits);
  const std::string Job = Desk.submit(A, itemInput(800));
  Desk.run({&A}, 9, 10);
  const std::uint64_t Before = A.Worker.commits();
  A.Objects.Faults.Always = StoreFault::Unavailable;
  Desk.run({&A}, 300, 1000);
  cr_assert(A.Worker.commits() == Before);
  cr_assert(A.Worker.resultBytes() > 1000);
  cr_assert(A.Worker.resultBytes() < 21000);
  A.Objects.Faults.Always = StoreFault::None;
  Desk.run({&A}, 500);
  cr_assert(Desk.find(A, Job).State == JobState::Completed);
  cr_assert(Desk.results(A, Job).size() == 800);
}

// Guards against a chunk that waits for its slowest item, and against losing or
// duplicating the result of a straggler when it is split off.
Test(BatchWorker, StragglerIsSplitOff) {
  Bench Desk;
  std::optional<WorkItem> Slow;
  BatchNode A(Desk.Shared, 1, [&](const WorkItem &Item) {
    if (!Item.Name.ends_with("/7"))
      return echo(Item);
    Slow = Item;
    return std::optional<ItemOutcome>();
  });
  const std::string Job = Desk.submit(A, itemInput(40));
  Desk.run({&A}, 150);
  cr_assert(Desk.find(A, Job).CompletedItems == 39);
  A.Worker.finish(Slow->Id, *echo(*Slow));
  Desk.run({&A}, 50);
  cr_assert(Desk.find(A, Job).State == JobState::Completed);
  const std::vector<std::string> Lines = Desk.results(A, Job);
  cr_assert(Lines.size() == 40);
  cr_assert(Lines[7].find("/0/7\"") != std::string::npos);
}

// Guards against retrying an item for ever.
Test(BatchWorker, ItemThatAlwaysFailsEndsWithItsError) {
  Bench Desk;
  std::map<std::string, int> Tries;
  BatchNode A(Desk.Shared, 1, [&](const WorkItem &Item) {
    ++Tries[Item.Name];
    ItemOutcome Outcome;
    Outcome.End = ItemEnd::Failed;
    Outcome.Result.ErrorCode = "server_error";
    return std::optional(Outcome);
  });
  const std::string Job = Desk.submit(A, itemInput(5));
  Desk.run({&A}, 100);
  cr_assert(Desk.find(A, Job).FailedItems == 5);
  for (const auto &[Name, Count] : Tries)
    cr_assert(Count == static_cast<int>(MaxItemAttempts));
}

// Guards against a cancelled job that starts new items, and against losing the
// results that it had before the cancellation.
Test(BatchWorker, CancelStopsWithinASecondAndKeepsResults) {
  Bench Desk;
  int Started = 0;
  BatchNode A(Desk.Shared, 1, [&](const WorkItem &Item) {
    return ++Started <= 60 ? echo(Item) : std::nullopt;
  });
  const std::string Job = Desk.submit(A, itemInput(2000));
  Desk.run({&A}, 30, 4);
  A.Service.cancel("c", Job, [](const Result<JobRecord> &R) {
    cr_assert(R && R->State == JobState::Cancelling);
  });
  Desk.run({&A}, 9, 4);
  const int AtBound = Started;
  Desk.run({&A}, 10, 4);
  cr_assert(Started == AtBound);
  for (const ItemId Id : A.Worker.takeWithdrawnItems()) {
    ItemOutcome Gone;
    Gone.End = ItemEnd::TurnedAway;
    A.Worker.finish(Id, Gone);
  }
  Desk.run({&A}, 100);
  const JobRecord Done = Desk.find(A, Job);
  cr_assert(Done.State == JobState::Cancelled);
  cr_assert(Done.CompletedItems == 60);
  cr_assert(Desk.results(A, Job).size() == 2000);
}

// Guards against a job that runs past its due time or never ends.
Test(BatchWorker, JobExpiresAtItsDueTime) {
  Bench Desk;
  BatchNode A(Desk.Shared, 1, leaveRunning);
  const std::string Job = Desk.submit(A, itemInput(10), 5000);
  Desk.run({&A}, 49, 2);
  Desk.run({&A}, 3, 2);
  for (const ItemId Id : A.Worker.takeWithdrawnItems()) {
    ItemOutcome Gone;
    Gone.End = ItemEnd::TurnedAway;
    A.Worker.finish(Id, Gone);
  }
  Desk.run({&A}, 60);
  cr_assert(Desk.find(A, Job).State == JobState::Expired);
  const std::vector<std::string> Lines = Desk.results(A, Job);
  cr_assert(Lines.size() == 10);
  cr_assert(Lines[9].find("batch_expired") != std::string::npos);
}

// Guards against a shutdown that discards results or keeps chunks claimed until
// the lease lapses.
Test(BatchWorker, DrainGivesTheRestBack) {
  Bench Desk;
  BatchNode A(Desk.Shared, 1, echo);
  BatchNode B(Desk.Shared, 2, echo);
  const std::string Job = Desk.submit(A, itemInput(100));
  Desk.run({&A}, 10, 4);
  A.Worker.drain();
  Desk.run({&A}, 5);
  cr_assert(A.Worker.idle());
  cr_assert(Desk.find(B, Job).CompletedItems > 0);
  Desk.run({&B}, 100);
  cr_assert(Desk.find(B, Job).State == JobState::Completed);
  cr_assert(Desk.results(B, Job).size() == 100);
}

// Guards against a takeover or a lost chunk that is not recorded as a decision.
Test(BatchWorker, TakeoverIsToldByBothBatchers) {
  Bench Desk;
  BatchNode A(Desk.Shared, 1, leaveRunning);
  BatchNode B(Desk.Shared, 2, echo);
  std::map<std::string, std::string> Told;
  for (BatchNode *Node : {&A, &B})
    Node->Worker.setDecisionCallback(
        [&Told, Name = Node->Worker.name()](
            const std::string &, const char *Kind, const std::string &Text) {
          Told[Name + Kind] = Text;
        });
  Desk.submit(A, itemInput(3));
  Desk.run({&A}, 10);
  A.Paused = true;
  Desk.run({&A, &B}, 900);
  A.Paused = false;
  Desk.run({&A, &B}, 50);
  const std::string Taken = Told[B.Worker.name() + "claim"];
  cr_assert(Taken.find("epoch 2") != std::string::npos, "%s", Taken.c_str());
  cr_assert(Taken.find("taken over") != std::string::npos);
  cr_assert(Taken.find("from batcher " + A.Worker.name()) != std::string::npos);
  cr_assert(Told.contains(B.Worker.name() + "commit"));
  cr_assert(Told.contains(A.Worker.name() + "loss"));
}
