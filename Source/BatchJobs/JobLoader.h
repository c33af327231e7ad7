#ifndef TURMERICPASS_BATCHJOBS_JOBLOADER_H
#define TURMERICPASS_BATCHJOBS_JOBLOADER_H

#include "BatchJobs/JobStore.h"
#include "BatchJobs/OwnedJob.h"

#include <functional>
#include <string>
#include <vector>

namespace turmericpass {

class EventLoop;
class Logger;

/// Reads what a VM needs to run a job: its items, their results, and the
/// progress of the unfinished ones.
class JobLoader {
public:
  using LoadCallback = std::function<void(std::vector<ItemRun>)>;
  /// Returns whether this VM still needs the job.
  using NeededPredicate = std::function<bool()>;

  JobLoader(EventLoop &Loop, JobStore &Store, Logger &Log)
      : Loop(Loop), Store(Store), Log(Log) {}

  /// Reads job \p JobId and passes its items to \p Done. Retries on failure for
  /// as long as \p IsNeeded returns true. If \p IsNew is set, the job has
  /// neither results nor progress, and these reads are skipped.
  void load(const std::string &JobId, bool IsNew,
            const NeededPredicate &IsNeeded, const LoadCallback &Done);

private:
  void retry(const std::string &JobId, bool IsNew,
             const NeededPredicate &IsNeeded, const LoadCallback &Done,
             const Error &Reason);

  EventLoop &Loop;
  JobStore &Store;
  Logger &Log;
};

} // namespace turmericpass

#endif
