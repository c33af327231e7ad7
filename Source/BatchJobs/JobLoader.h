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

/// Reads what a VM needs to run a job: its items, which of them are listed, and
/// how far the others came.
class JobLoader {
public:
  using Loaded = std::function<void(std::vector<ItemRun>)>;
  /// Whether the job is still wanted here.
  using Wanted = std::function<bool()>;

  JobLoader(EventLoop &Loop, JobStore &Store, Logger &Log)
      : Loop(Loop), Store(Store), Log(Log) {}

  /// Reads job \p JobId, again and again until it succeeds or is not wanted
  /// any more. A job that \p IsNew has neither results nor progress.
  void load(const std::string &JobId, bool IsNew, const Wanted &StillWanted,
            const Loaded &Done);

private:
  void retry(const std::string &JobId, bool IsNew, const Wanted &StillWanted,
             const Loaded &Done, const Error &Why);

  EventLoop &Loop;
  JobStore &Store;
  Logger &Log;
};

} // namespace turmericpass

#endif
