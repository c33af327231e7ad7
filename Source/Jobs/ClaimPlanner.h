#ifndef TURMERICPASS_JOBS_CLAIMPLANNER_H
#define TURMERICPASS_JOBS_CLAIMPLANNER_H

#include "Jobs/ChunkScan.h"
#include "Jobs/JobRows.h"
#include "Jobs/Protections.h"

#include <functional>
#include <set>

namespace turmericpass {

/// The rows of a job as one batcher read them.
struct JobSnapshot {
  JobRow Job;
  std::uint64_t Version = 0;
  std::vector<ChunkEntry> Chunks;
};

/// What a batcher knows when it plans a change to a job.
struct ClaimContext {
  std::string Batcher;
  std::int64_t WallMs = 0;
  /// How many items to claim, rounded to whole chunks; 0 for none.
  std::size_t Items = 0;
  /// A random number that distributes batchers over a job's open chunks.
  std::uint64_t Random = 0;
  /// Returns true if the lease of the holder has lapsed.
  std::function<bool(const std::string &Holder)> HasLapsed;
  /// Returns true if this batcher works on the chunk or is still committing it.
  std::function<bool(const std::string &JobId, const std::string &Chunk)>
      IsHeld;
};

/// A new value for a chunk row, which replaces one version of the row.
struct ChunkChange {
  std::string Name;
  std::uint64_t Version = 0;
  ChunkRow Row;
  /// The batcher that loses the chunk, or empty if none does. Its lease row
  /// must be unchanged when the change is written.
  std::string FormerHolder;
};

enum class JobStep {
  /// The job needs no change now.
  Nothing,
  /// Claim the chunks in Changes.
  Claim,
  /// Mark the job as expiring.
  Expire,
  /// Open the abandoned chunks of a stopping job.
  Reopen,
  /// Move the job to its final state.
  Finalize,
};

struct JobPlan {
  JobStep Step = JobStep::Nothing;
  std::vector<ChunkChange> Changes;
  /// The new row of the job for Expire and Finalize.
  JobRow Job;
  /// True if other batchers hold chunks of the job.
  bool ForeignClaims = false;
};

/// Plans the next change to a job: which chunks to claim, and when the job has
/// ended. Version checks ensure that a plan is written only if the rows are
/// unchanged.
class ClaimPlanner {
public:
  explicit ClaimPlanner(Protections Rules = {}) : Rules(Rules) {}

  JobPlan plan(const JobSnapshot &Snapshot, const ClaimContext &Context) const;

private:
  ChunkChange planClaim(const ChunkEntry &Chunk,
                        const ClaimContext &Context) const;

  Protections Rules;
};

} // namespace turmericpass

#endif
