#ifndef TURMERICPASS_JOBS_BATCHWORKER_H
#define TURMERICPASS_JOBS_BATCHWORKER_H

#include "Jobs/ChunkClaims.h"
#include "Jobs/ChunkCommit.h"
#include "Jobs/ChunkRun.h"
#include "Jobs/LeaseKeeper.h"
#include "Jobs/StopList.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace turmericpass {

class ObjectStore;

/// Names a running item within one worker; never used twice.
using ItemId = std::uint64_t;

/// An item that is to be submitted now.
struct WorkItem {
  ItemId Id = 0;
  std::string JobId;
  std::string Customer;
  std::string Class;
  /// Equal for every try of the item by any batcher.
  std::string Name;
  /// The line of the input; it is a valid item.
  std::string Line;
  /// Milliseconds since 1970.
  std::int64_t DueMs = 0;
};

struct BatchLimits {
  /// A chunk is claimed while fewer items than this wait to be started, and
  /// fewer than twice those that run: a batcher that cannot place its items
  /// leaves the chunks to others.
  std::size_t WaitingItems = 500;
  /// A chunk is claimed in any case while fewer items than this wait.
  std::size_t SpareItems = 32;
  /// Nothing is claimed while inputs and uncommitted results take more memory
  /// than this, and nothing is started while the results alone do.
  std::size_t HeldBytes = std::size_t{64} << 20U;
};

/// What a batcher does with the stores: claims chunks, hands out their items,
/// takes the outcomes and commits results. It has no timer and no thread; the
/// daemon calls tick().
class BatchWorker {
public:
  BatchWorker(Table &Rows, ObjectStore &Objects, const Clock &Time,
              IdSource &Ids, BatchLimits Limits = {}, Protections Rules = {});
  ~BatchWorker();

  /// Takes one decision about a job, or about a request of its items: the id,
  /// a kind and a sentence.
  using DecisionMade = std::function<void(const std::string &Subject,
                                          const char *Kind, std::string Text)>;

  /// Sets who gets the decisions; empty for nobody.
  void setDecisionCallback(DecisionMade Keep) { this->Keep = std::move(Keep); }

  /// Does what is due; call it every 100 ms.
  void tick();

  /// Returns the next item to submit, if one may start now that belongs to
  /// none of the jobs \p Skip.
  std::optional<WorkItem> next(const std::set<std::string> &Skip = {});

  /// True if item \p Id may be sent to a server now: its job is not known to
  /// stop, and what is known of that and of the chunk's holder is recent.
  bool mayStart(ItemId Id) const;

  /// Takes the outcome of an item that next() returned. Ids of items that
  /// were withdrawn are ignored.
  void finish(ItemId Id, const ItemOutcome &Outcome);

  /// Returns running items that must be withdrawn: their job stops, or
  /// another batcher has their chunk. An item whose job stops still needs its
  /// finish(); TurnedAway stands for an item without a result.
  std::vector<ItemId> takeWithdrawnItems();

  /// Starts and claims nothing more. Items that are not running go back.
  void drain();

  /// True if nothing is held any more.
  bool idle() const { return this->Chunks.empty(); }

  std::size_t inputBytes() const;
  /// Bytes of results that are not committed.
  std::size_t resultBytes() const;
  std::size_t chunks() const { return this->Chunks.size(); }
  /// The name of this batcher's claims; differs after each start.
  const std::string &name() const { return this->Name; }
  /// Counts chunk parts that were committed, and those found stale.
  std::uint64_t commits() const { return this->Commits; }
  std::uint64_t staleCommits() const { return this->StaleCommits; }

private:
  struct Held;
  using ChunkId = std::uint64_t;

  void onClaimed(const JobRow &Job, const std::string &Name,
                 const ChunkRow &Row, const std::string &FormerHolder);
  void note(const ChunkRun &Run, const char *Kind, const std::string &Text);
  void noteLastAttempt(const ChunkRun &Run, std::uint32_t Index,
                       const ItemResult &Result);
  bool mayStartAny() const;
  bool mayStartOf(const Held &Chunk) const;
  bool holds(const std::string &JobId, const std::string &Name) const;
  WorkItem handOut(ChunkId Of, Held &Chunk, std::uint32_t Index);
  std::size_t itemsWanted() const;
  std::vector<ChunkId> servingOrder() const;
  void tend(ChunkId Id, Held &Chunk);
  void load(ChunkId Id, Held &Chunk);
  void validate(ChunkId Id, Held &Chunk);
  void onValidated(ChunkId Id, const Result<TableRow> &Row);
  void stop(Held &Chunk, Remainder Fate);
  void advanceCommit(ChunkId Id, Held &Chunk);
  void release(ChunkId Id);
  void noticePause();

  Table &Rows;
  ObjectStore &Objects;
  const Clock &Time;
  IdSource &Ids;
  BatchLimits Limits;
  Protections Rules;
  std::string Name;
  LeaseKeeper Lease;
  StopList Stops;
  ChunkClaims Claims;
  std::map<ChunkId, std::unique_ptr<Held>> Chunks;
  std::map<ItemId, std::pair<ChunkId, std::uint32_t>> Items;
  std::vector<ItemId> Withdrawn;
  ChunkId NextChunk = 1;
  ItemId NextItem = 1;
  /// The job of the item handed out last.
  std::string LastServed;
  std::uint64_t Commits = 0;
  std::uint64_t StaleCommits = 0;
  bool Draining = false;
  DecisionMade Keep;
};

} // namespace turmericpass

#endif
