#ifndef TURMERICPASS_JOBS_CHUNKRUN_H
#define TURMERICPASS_JOBS_CHUNKRUN_H

#include "Jobs/ItemOutcome.h"
#include "Jobs/JobRows.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericpass {

/// What happens to the items that a commit leaves out.
enum class RemainderAction {
  /// There are none.
  None,
  /// They become a new chunk that the same batcher holds.
  Keep,
  /// They become a new chunk that any batcher may claim.
  Release,
  /// They end without a result, because the job is stopping.
  Drop,
};

/// The part of a chunk that one commit writes. It does not change until the
/// outcome of the commit is known, because a lost reply may hide that the
/// commit succeeded.
struct CommitPlan {
  IndexedLines Lines;
  std::uint32_t Completed = 0;
  std::uint32_t Failed = 0;
  RemainderAction Remainder = RemainderAction::None;
  std::vector<std::uint32_t> RemainingItems;
};

/// Manages the items of one claimed chunk: which item to start next, which to
/// retry, and when a commit is due.
class ChunkRun {
public:
  ChunkRun(JobRow Job, std::string Name, ChunkRow Row);

  const JobRow &job() const { return this->Job; }
  const std::string &name() const { return this->Name; }
  const ChunkRow &row() const { return this->Row; }

  /// Loads the input of the chunk. A line that is not a valid item ends
  /// immediately with its error as the result.
  void load(const std::string &Piece);
  bool isLoaded() const { return this->Loaded; }

  /// Returns the index of an item that may start at \p Now, and marks it as
  /// running.
  std::optional<std::uint32_t> start(Instant Now);

  const std::string &line(std::uint32_t Index) const;
  /// Records the outcome of an attempt. Returns true if the item has its result
  /// now.
  bool finish(std::uint32_t Index, const ItemOutcome &Outcome, Instant Now);

  /// Stops starting items; the remaining items are dropped or released.
  void stop(RemainderAction StopAction);
  bool isStopped() const { return this->StopAction != RemainderAction::None; }
  bool isDropped() const { return this->StopAction == RemainderAction::Drop; }

  std::vector<std::uint32_t> running() const;
  std::size_t waiting() const { return this->Waiting; }
  std::size_t inputBytes() const { return this->InputBytes; }
  /// Returns the size of the results that are not committed, in bytes.
  std::size_t resultBytes() const { return this->ResultBytes; }

  /// Returns the commit that is due at \p Now, if any. If \p MemoryIsShort, all
  /// results so far are committed, even if items remain.
  std::optional<CommitPlan> planDueCommit(Instant Now,
                                          bool MemoryIsShort) const;

  /// Continues with the items that \p Committed left out, as chunk \p Name
  /// under its first epoch.
  void continueAs(std::string Name, const CommitPlan &Committed);

private:
  enum class Phase { Waiting, Running, Done };

  struct Item {
    Phase State = Phase::Waiting;
    std::string Line;
    std::string Result;
    bool Succeeded = false;
    std::uint32_t Attempts = 0;
    std::uint32_t NotRunCount = 0;
    /// The start time of a running item, or the earliest start time of a
    /// waiting one.
    Instant Since{};
  };

  void finishItem(Item &Entry, const ItemResult &Result);
  void scheduleRetry(Item &Entry, Duration MinDelay, Instant Now);
  bool hasOnlyStragglers(Instant Now) const;
  CommitPlan collect(RemainderAction Remainder) const;

  JobRow Job;
  std::string Name;
  ChunkRow Row;
  bool Loaded = false;
  RemainderAction StopAction = RemainderAction::None;
  std::map<std::uint32_t, Item> Items;
  std::size_t Waiting = 0;
  std::size_t Running = 0;
  std::size_t InputBytes = 0;
  std::size_t ResultBytes = 0;
  Duration TotalItemTime{0};
  std::size_t FinishedItems = 0;
};

} // namespace turmericpass

#endif
