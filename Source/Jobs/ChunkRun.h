#ifndef TURMERICPASS_JOBS_CHUNKRUN_H
#define TURMERICPASS_JOBS_CHUNKRUN_H

#include "Jobs/ItemOutcome.h"
#include "Jobs/JobRows.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericpass {

/// What becomes of the items that a commit leaves out.
enum class Remainder {
  /// There are none.
  None,
  /// They form a chunk of their own that the same batcher holds.
  Keep,
  /// They form a chunk of their own that is open for anyone.
  Release,
  /// The job is stopping; they end without a result of their own.
  Drop,
};

/// The part of a chunk that one commit makes durable. It stays the same until
/// the commit's outcome is known, because a lost reply may hide its success.
struct CommitPlan {
  IndexedLines Lines;
  std::uint32_t Completed = 0;
  std::uint32_t Failed = 0;
  Remainder Rest = Remainder::None;
  std::vector<std::uint32_t> RestItems;
};

/// The items of one claimed chunk: which to start next, which to try again,
/// and when there is something to commit.
class ChunkRun {
public:
  ChunkRun(JobRow Job, std::string Name, ChunkRow Row);

  const JobRow &job() const { return this->Job; }
  const std::string &name() const { return this->Name; }
  const ChunkRow &row() const { return this->Row; }

  /// Takes the chunk's input. Lines that are no items end at once with their
  /// error as result.
  void load(const std::string &Piece);
  bool loaded() const { return this->Loaded; }

  /// Returns an item that may be started at \p Now, and counts it as running.
  std::optional<std::uint32_t> start(Instant Now);

  const std::string &line(std::uint32_t Index) const;
  /// Returns true if the item has its result now.
  bool finish(std::uint32_t Index, const ItemOutcome &Outcome, Instant Now);

  /// Starts nothing more; what is left is dropped or released.
  void stop(Remainder Fate);
  bool stopped() const { return this->Fate != Remainder::None; }
  bool dropped() const { return this->Fate == Remainder::Drop; }

  std::vector<std::uint32_t> running() const;
  std::size_t waiting() const { return this->Waiting; }
  std::size_t inputBytes() const { return this->InputBytes; }
  /// Bytes of results that are not committed.
  std::size_t resultBytes() const { return this->ResultBytes; }

  /// Returns what is to be committed at \p Now, if anything. If \p Crowded,
  /// memory is short and whatever is done is committed.
  std::optional<CommitPlan> commitDue(Instant Now, bool Crowded) const;

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
    std::uint32_t TurnedAway = 0;
    Instant Since{};
  };

  void end(Item &Entry, const ItemResult &Result);
  void waitAgain(Item &Entry, Duration After, Instant Now);
  bool onlyStragglers(Instant Now) const;
  CommitPlan collect(Remainder Rest) const;

  JobRow Job;
  std::string Name;
  ChunkRow Row;
  bool Loaded = false;
  Remainder Fate = Remainder::None;
  std::map<std::uint32_t, Item> Items;
  std::size_t Waiting = 0;
  std::size_t Running = 0;
  std::size_t InputBytes = 0;
  std::size_t ResultBytes = 0;
  Duration DoneTime{0};
  std::size_t DoneItems = 0;
};

} // namespace turmericpass

#endif
