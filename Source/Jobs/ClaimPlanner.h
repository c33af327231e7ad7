#ifndef TURMERICPASS_JOBS_CLAIMPLANNER_H
#define TURMERICPASS_JOBS_CLAIMPLANNER_H

#include "Jobs/ChunkScan.h"
#include "Jobs/JobRows.h"
#include "Jobs/Protections.h"

#include <functional>
#include <set>

namespace turmericpass {

/// A job as one batcher read it.
struct JobView {
  JobRow Job;
  std::uint64_t Version = 0;
  std::vector<ChunkEntry> Chunks;
};

/// What a batcher knows when it decides about a job.
struct ClaimContext {
  std::string Batcher;
  std::int64_t WallMs = 0;
  /// How many items to claim, in about as many chunks; 0 for none.
  std::size_t Items = 0;
  /// Spreads batchers over a job's open chunks.
  std::uint64_t Random = 0;
  /// True if the holder's lease lapsed.
  std::function<bool(const std::string &Holder)> Lapsed;
  /// True if this batcher works on the chunk or still commits it.
  std::function<bool(const std::string &JobId, const std::string &Chunk)> Held;
};

/// A new value for a chunk row, valid over one version of it.
struct ChunkChange {
  std::string Name;
  std::uint64_t Version = 0;
  ChunkRow Row;
  /// The batcher that loses the chunk, empty if nobody does. Its lease row
  /// must still be unchanged when the change is written.
  std::string FormerHolder;
};

enum class JobStep {
  /// Nothing can be done for the job now.
  Nothing,
  /// Claim the chunks of Changes.
  Claim,
  /// Mark the job as expiring.
  Expire,
  /// Open the lapsed chunks of a stopping job again.
  Reopen,
  /// Move the job to its final state.
  Finalize,
};

struct JobPlan {
  JobStep Step = JobStep::Nothing;
  std::vector<ChunkChange> Changes;
  /// The job's new row for Expire and Finalize.
  JobRow Job;
  /// Other batchers hold chunks of the job.
  bool ForeignClaims = false;
};

/// Decides the next change to a job: who may claim what, and when the job has
/// ended. Every plan is made valid by version checks when it is written.
class ClaimPlanner {
public:
  explicit ClaimPlanner(Protections Rules = {}) : Rules(Rules) {}

  JobPlan plan(const JobView &View, const ClaimContext &Context) const;

private:
  ChunkChange claim(const ChunkEntry &Chunk, const ClaimContext &Context) const;

  Protections Rules;
};

} // namespace turmericpass

#endif
