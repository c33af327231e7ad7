#ifndef TURMERICPASS_JOBS_BATCHWORKER_H
#define TURMERICPASS_JOBS_BATCHWORKER_H

#include "Jobs/ChunkClaimer.h"
#include "Jobs/ChunkCommit.h"
#include "Jobs/ChunkRun.h"
#include "Jobs/LeaseRenewer.h"
#include "Jobs/StoppingJobs.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace turmericpass {

class ObjectStore;

/// Identifies a running item within one worker. Ids are never reused.
using ItemId = std::uint64_t;

/// An item to submit now.
struct WorkItem {
  ItemId Id = 0;
  std::string JobId;
  std::string Customer;
  std::string Class;
  /// The name of the item, which is the same for every attempt by any batcher.
  std::string Name;
  /// The input line of the item; it is valid.
  std::string Line;
  /// Milliseconds since 1970.
  std::int64_t DueMs = 0;
};

struct BatchLimits {
  /// A chunk is claimed only while the number of waiting items is below this
  /// limit and below twice the number of running items. A batcher that cannot
  /// place its items thus leaves the chunks to others.
  std::size_t MaxWaitingItems = 500;
  /// While fewer items than this wait, a chunk is claimed regardless of the
  /// number of running items.
  std::size_t MinWaitingItems = 32;
  /// No chunk is claimed while inputs and uncommitted results take more memory
  /// than this, and no item is started while the uncommitted results alone do.
  std::size_t MaxHeldBytes = std::size_t{64} << 20U;
};

/// Claims chunks, hands out their items, takes the outcomes and commits the
/// results to the stores of the platform. It has no timer and no thread; the
/// daemon calls tick().
class BatchWorker {
public:
  BatchWorker(Table &Rows, ObjectStore &Objects, const Clock &Time,
              IdSource &Ids, BatchLimits Limits = {}, Protections Rules = {});
  ~BatchWorker();

  /// Records a decision about a job or about a request of one of its items. \p
  /// Subject is the id of the job or request; \p Text is a sentence.
  using DecisionCallback = std::function<void(
      const std::string &Subject, const char *Kind, std::string Text)>;

  /// Sets the function that records decisions; an empty function records none.
  void setDecisionCallback(DecisionCallback OnDecision) {
    this->OnDecision = std::move(OnDecision);
  }

  /// Performs the work that is due. Call this every 100 ms.
  void tick();

  /// Returns the next item to submit, if one may start now. Items of the jobs
  /// in \p Skip are not considered.
  std::optional<WorkItem> next(const std::set<std::string> &Skip = {});

  /// Returns true if item \p Id may be sent to a server now: its job is not
  /// known to stop, and the list of stopping jobs and the lease of this batcher
  /// are recent enough.
  bool mayStart(ItemId Id) const;

  /// Takes the outcome of an item that next() returned. Ids of withdrawn items
  /// are ignored.
  void finish(ItemId Id, const ItemOutcome &Outcome);

  /// Returns the running items that must be withdrawn because their job stops
  /// or another batcher took over their chunk. An item whose job stops still
  /// needs a call to finish(), with ItemEnd::NotRun if it has no result.
  std::vector<ItemId> takeWithdrawnItems();

  /// Stops starting items and claiming chunks. Items that are not running are
  /// released.
  void drain();

  /// Returns true if this worker holds no chunks.
  bool isIdle() const { return this->Chunks.empty(); }

  std::size_t inputBytes() const;
  /// Returns the size of the results that are not committed, in bytes.
  std::size_t resultBytes() const;
  std::size_t chunks() const { return this->Chunks.size(); }
  /// Returns the name under which this batcher claims chunks. It changes with
  /// each start of the process.
  const std::string &name() const { return this->Name; }
  /// Returns the number of commits that succeeded, and the number of chunks
  /// that were found to be lost to another claim.
  std::uint64_t commits() const { return this->CommitCount; }
  std::uint64_t staleCommits() const { return this->StaleCommitCount; }

private:
  struct HeldChunk;
  using ChunkId = std::uint64_t;

  void onClaimed(const JobRow &Job, const std::string &Name,
                 const ChunkRow &Row, const std::string &FormerHolder);
  void recordDecision(const ChunkRun &Run, const char *Kind,
                      const std::string &Text);
  void recordLastAttempt(const ChunkRun &Run, std::uint32_t Index,
                         const ItemResult &Result);
  bool mayStartItems() const;
  bool mayStartItemsOf(const HeldChunk &Chunk) const;
  bool holdsChunk(const std::string &JobId, const std::string &Name) const;
  WorkItem startItem(ChunkId Owner, HeldChunk &Chunk, std::uint32_t Index);
  std::size_t countItemsToClaim() const;
  std::vector<ChunkId> chunksInServingOrder() const;
  void advanceChunk(ChunkId Id, HeldChunk &Chunk);
  void loadInput(ChunkId Id, HeldChunk &Chunk);
  void validateClaim(ChunkId Id, HeldChunk &Chunk);
  void onChunkRow(ChunkId Id, const Result<TableRow> &Row);
  void stopChunk(HeldChunk &Chunk, RemainderAction Action);
  void advanceCommit(ChunkId Id, HeldChunk &Chunk);
  void dropChunk(ChunkId Id);
  void suspectChunksAfterPause();

  Table &Rows;
  ObjectStore &Objects;
  const Clock &Time;
  IdSource &Ids;
  BatchLimits Limits;
  Protections Rules;
  std::string Name;
  LeaseRenewer Lease;
  StoppingJobs Stopping;
  ChunkClaimer Claimer;
  std::map<ChunkId, std::unique_ptr<HeldChunk>> Chunks;
  std::map<ItemId, std::pair<ChunkId, std::uint32_t>> RunningItems;
  std::vector<ItemId> WithdrawnItems;
  ChunkId NextChunkId = 1;
  ItemId NextItemId = 1;
  /// The job of the item that was handed out last.
  std::string LastServedJob;
  std::uint64_t CommitCount = 0;
  std::uint64_t StaleCommitCount = 0;
  bool Draining = false;
  DecisionCallback OnDecision;
};

} // namespace turmericpass

#endif
