#ifndef TURMERICPASS_JOBS_CHUNKCOMMIT_H
#define TURMERICPASS_JOBS_CHUNKCOMMIT_H

#include "Core/Clock.h"
#include "Core/IdSource.h"
#include "Jobs/ChunkRun.h"
#include "Jobs/Protections.h"
#include "Platform/Table.h"

#include <memory>

namespace turmericpass {

class ObjectStore;

/// Commits a part of a chunk. It first writes the result object of the holder's
/// epoch, and then a transaction that succeeds only if the chunk row is still
/// claimed under that epoch. It retries during outages until the outcome is
/// known.
class ChunkCommit : public std::enable_shared_from_this<ChunkCommit> {
public:
  enum class State {
    Busy,
    Committed,
    /// Another batcher claimed the chunk; nothing was committed.
    Stale,
  };

  ChunkCommit(Table &Rows, ObjectStore &Objects, const Clock &Time,
              IdSource &Ids, Protections Rules, const ChunkRun &Run,
              CommitPlan Plan);

  /// Starts the commit, or retries the step that failed. Call this every 100
  /// ms.
  void tick();

  State state() const { return this->Outcome; }
  const CommitPlan &plan() const { return this->Plan; }

  /// Returns the name of the chunk that holds the items that the commit left
  /// out.
  std::string remainderName() const;

private:
  void putResults();
  void readRow();
  void decide(const TableRow &Row);
  void write(std::uint64_t Version);
  void retry();
  void finish(State Outcome);
  void removeOldEpochs();
  void removeObject(std::uint64_t Epoch);

  Table &Rows;
  ObjectStore &Objects;
  const Clock &Time;
  Protections Rules;
  std::string JobId;
  std::string Chunk;
  ChunkRow Row;
  CommitPlan Plan;
  std::string WriteId;
  State Outcome = State::Busy;
  bool ResultsStored = false;
  bool AwaitsTick = true;
  Instant NextAttempt{};
  Duration Backoff;
};

} // namespace turmericpass

#endif
