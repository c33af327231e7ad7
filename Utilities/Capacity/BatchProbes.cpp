#include "CapacityReport.h"
#include "Probes.h"
#include "Support/BatchNode.h"

#include <memory>

namespace turmericpass {

namespace {

constexpr Duration Tick = std::chrono::milliseconds(100);

std::optional<ItemOutcome> echo(const WorkItem &Item) {
  return okOutcome("\"" + Item.Name + "\"");
}

/// A platform with some batchers, all steps of which are counted.
struct BatchFleet {
  explicit BatchFleet(std::size_t Count, const BatchNode::Run &Run) {
    for (std::size_t I = 0; I < Count; ++I)
      this->Nodes.push_back(
          std::make_unique<BatchNode>(this->Shared, I + 1, Run));
  }

  std::string submit(const std::string &Input, std::size_t Number) {
    std::string File;
    std::string Job;
    BatchNode &Node = *this->Nodes.front();
    Node.Service.putFile("c", "in", Input, [&](const Result<FileRecord> &R) {
      File = R ? R->Id : "";
    });
    Node.Service.submit(
        {"c", "night", File, "/v1/chat/completions",
         "k" + std::to_string(Number), 3600000},
        [&](const Result<JobRecord> &R) { Job = R ? R->Id : ""; });
    return Job;
  }

  void run(int Ticks, std::size_t MaxItems) {
    for (int I = 0; I < Ticks; ++I) {
      for (auto &Node : this->Nodes)
        Node->step(MaxItems);
      this->Shared.Time.advance(Tick);
    }
  }

  struct Counts {
    double Writes = 0;
    double Reads = 0;
    double Puts = 0;
    double Gets = 0;
  };

  Counts counts() const {
    Counts All;
    for (const auto &Node : this->Nodes) {
      All.Writes += static_cast<double>(Node->Rows.Faults.Writes);
      All.Reads += static_cast<double>(Node->Rows.Faults.Reads);
      All.Puts += static_cast<double>(Node->Objects.Faults.Writes);
      All.Gets += static_cast<double>(Node->Objects.Faults.Reads);
    }
    return All;
  }

  BatchPlatform Shared;
  std::vector<std::unique_ptr<BatchNode>> Nodes;
};

void record(CapacityReport &Out, const std::string &Name,
            const std::string &Axis, double Size,
            const BatchFleet::Counts &Before, const BatchFleet::Counts &Now,
            double Over) {
  Out.add(Name + ".table_writes", Axis, Size,
          (Now.Writes - Before.Writes) / Over);
  Out.add(Name + ".table_reads", Axis, Size, (Now.Reads - Before.Reads) / Over);
  Out.add(Name + ".object_writes", Axis, Size, (Now.Puts - Before.Puts) / Over);
  Out.add(Name + ".object_reads", Axis, Size, (Now.Gets - Before.Gets) / Over);
}

/// One batcher at the fleet's rate, 1e9 items a day over 410 batchers being
/// 28 items/s each, from the submission of a job until it is complete.
void probeItems(CapacityReport &Out, std::size_t Items) {
  BatchFleet Fleet(1, echo);
  const double Memory = heapBytes();
  const double Begun = cpuMicros();
  const BatchFleet::Counts Before = Fleet.counts();
  const std::string Job = Fleet.submit(itemInput(Items), 1);
  const BatchFleet::Counts Accepted = Fleet.counts();
  bool Done = false;
  for (int I = 0; I < 20000 && !Done; ++I) {
    Fleet.run(1, 3);
    if (I % 50 == 0) {
      MemoryTable Viewer(Fleet.Shared.Rows.rows());
      TableJobService Service(Viewer, Fleet.Shared.Objects, Fleet.Shared.Time,
                              Fleet.Nodes[0]->Ids);
      Service.find("c", Job, [&](const Result<JobRecord> &R) {
        Done = R && R->State == JobState::Completed;
      });
    }
  }
  const auto Size = static_cast<double>(Items);
  if (!Done)
    return Out.add("batch.unfinished", "items", Size, 1);
  record(Out, "batch.accept", "items", Size, Before, Accepted, 1);
  record(Out, "batch.job", "items", Size, Accepted, Fleet.counts(), 1);
  Out.add("batch.job.cpu_us", "items", Size, cpuMicros() - Begun);
  Out.add("batch.job.memory", "items", Size, heapBytes() - Memory);
}

/// Store calls a second of batchers that find nothing to claim.
void probeIdle(CapacityReport &Out, std::size_t Batchers) {
  BatchFleet Fleet(Batchers, echo);
  Fleet.run(100, 3);
  const BatchFleet::Counts Before = Fleet.counts();
  Fleet.run(300, 3);
  record(Out, "batch.idle_s", "batchers", static_cast<double>(Batchers), Before,
         Fleet.counts(), 30);
}

/// Store calls of one batcher that works at \p Jobs open jobs at 28 items/s.
void probeJobs(CapacityReport &Out, std::size_t Jobs) {
  BatchFleet Fleet(1, echo);
  const BatchFleet::Counts Empty = Fleet.counts();
  for (std::size_t I = 0; I < Jobs; ++I)
    Fleet.submit(itemInput(2000), I);
  const auto Size = static_cast<double>(Jobs);
  record(Out, "batch.accept_jobs", "jobs", Size, Empty, Fleet.counts(), 1);
  Fleet.run(100, 3);
  const BatchFleet::Counts Before = Fleet.counts();
  const double Begun = cpuMicros();
  Fleet.run(600, 3);
  record(Out, "batch.open_jobs_s", "jobs", Size, Before, Fleet.counts(), 60);
  Out.add("batch.open_jobs_s.cpu_us", "jobs", Size, (cpuMicros() - Begun) / 60);
}

/// Batchers that share open jobs, each at 28 items/s.
void probeBatchers(CapacityReport &Out, std::size_t Batchers) {
  BatchFleet Fleet(Batchers, echo);
  for (std::size_t I = 0; I < 4 * Batchers; ++I)
    Fleet.submit(itemInput(2000), I);
  Fleet.run(100, 3);
  const BatchFleet::Counts Before = Fleet.counts();
  Fleet.run(600, 3);
  record(Out, "batch.batchers_s", "batchers", static_cast<double>(Batchers),
         Before, Fleet.counts(), 60);
}

/// Bytes of a batcher that holds the chunks of one job without finishing.
void probeChunks(CapacityReport &Out, std::size_t Chunks) {
  const auto Axis = "chunks";
  const auto Size = static_cast<double>(Chunks);
  BatchFleet Fleet(1, [](const WorkItem &) { return std::nullopt; });
  const double Before = heapBytes();
  Fleet.submit(itemInput(Chunks * 500), 1);
  Fleet.run(40, Chunks * 500);
  Out.add("batch.chunks.held", Axis, Size,
          static_cast<double>(Fleet.Nodes[0]->Worker.chunks()));
  Out.add("batch.chunks.input_bytes", Axis, Size,
          static_cast<double>(Fleet.Nodes[0]->Worker.inputBytes()));
  Out.add("batch.chunks.memory", Axis, Size, heapBytes() - Before);
}

} // namespace

void probeBatch(CapacityReport &Out) {
  for (const std::size_t Items : {2000, 5000, 10000, 20000})
    probeItems(Out, Items);
  for (const std::size_t Batchers : {1, 4, 8, 16})
    probeIdle(Out, Batchers);
  for (const std::size_t Jobs : {2, 8, 32, 64})
    probeJobs(Out, Jobs);
  for (const std::size_t Batchers : {2, 4, 8, 16})
    probeBatchers(Out, Batchers);
  for (const std::size_t Chunks : {4, 16, 40, 80})
    probeChunks(Out, Chunks);
}

} // namespace turmericpass
