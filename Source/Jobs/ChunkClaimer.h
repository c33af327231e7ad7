#ifndef TURMERICPASS_JOBS_CHUNKCLAIMER_H
#define TURMERICPASS_JOBS_CHUNKCLAIMER_H

#include "Core/Clock.h"
#include "Core/IdSource.h"
#include "Jobs/ClaimPlanner.h"
#include "Jobs/LeaseMonitor.h"
#include "Jobs/TableWriter.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace turmericpass {

/// Finds jobs with claimable chunks and writes the changes that ClaimPlanner
/// decides.
///
/// One step reads one page of the index (100 jobs) or one job (its row and its
/// chunk rows). The interval between steps grows while they find nothing, so
/// that an idle fleet reads little.
class ChunkClaimer {
public:
  using ClaimedCallback =
      std::function<void(const JobRow &Job, const std::string &Name,
                         const ChunkRow &Row, const std::string &FormerHolder)>;
  using HeldPredicate =
      std::function<bool(const std::string &Job, const std::string &Chunk)>;

  ChunkClaimer(Table &Rows, const Clock &Time, IdSource &Ids,
               std::string Batcher, Protections Rules, HeldPredicate IsHeld,
               ClaimedCallback OnClaimed);

  /// Performs one step if one is due. \p Items is the number of items to claim;
  /// if it is 0, only jobs given to scheduleReview() are examined.
  void tick(std::size_t Items);

  /// Examines \p JobId soon. Call this after a commit of one of its chunks,
  /// because the job may have ended.
  void scheduleReview(const std::string &JobId);

private:
  void beginStep(bool MayClaim);
  void scanLeases();
  void onLeases(const Result<std::vector<TableRow>> &Page, Instant Sent);
  void removeDeadLeases();
  void scanIndex();
  void onIndex(const Result<std::vector<TableRow>> &Page);
  void examineJob(const std::string &JobId);
  void onJob(const std::string &JobId, const Result<TableRow> &Row);
  void onChunks(const std::shared_ptr<JobSnapshot> &Snapshot,
                Result<std::vector<ChunkEntry>> Chunks);
  void write(const JobSnapshot &Snapshot, const JobPlan &Plan);
  void onWritten(const std::string &JobId, const JobPlan &Plan,
                 const JobRow &Job, const Result<void> &Reply);
  void endStep(bool FoundWork);
  /// Ends a step that failed with an error of a store.
  void failStep(const std::string &JobId);
  void skipJob(const std::string &JobId);

  Table &Rows;
  const Clock &Time;
  IdSource &Ids;
  std::string Batcher;
  TableWriter Writer;
  ClaimPlanner Planner;
  HeldPredicate IsHeld;
  ClaimedCallback OnClaimed;
  LeaseMonitor Leases;
  std::deque<std::string> Reviews;
  std::deque<std::string> Candidates;
  /// The time from which a job that had no claimable chunks may be examined
  /// again.
  std::map<std::string, Instant> SkippedUntil;
  std::string Cursor;
  bool HasCursor = false;
  std::size_t WantedItems = 0;
  bool Busy = false;
  /// True if the current step examines a job given to scheduleReview().
  bool IsReviewing = false;
  bool NeedsLeaseScan = false;
  Instant NextLeaseScan{};
  Instant NextStep{};
  Duration StepInterval;
};

} // namespace turmericpass

#endif
