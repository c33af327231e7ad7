#ifndef TURMERICPASS_BATCHJOBS_JOBTAKEOVER_H
#define TURMERICPASS_BATCHJOBS_JOBTAKEOVER_H

#include "BatchJobs/JobDirectory.h"
#include "Core/Clock.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace turmericpass {

/// Selects the jobs without a live owner that this VM should take over.
/// Performs no I/O. If two VMs select the same job, the conditional write to
/// the store lets only one of them become its owner.
class JobTakeover {
public:
  JobTakeover(const Clock &Time, std::string Self);

  /// Returns the jobs that this VM should take over now. \p AliveVms are the
  /// other VMs that accept work. \p IsAlive tells whether a job's owner is
  /// alive.
  std::vector<std::string>
  chooseJobs(const std::map<std::string, KnownJob> &Jobs,
             const std::vector<std::string> &AliveVms,
             const std::function<bool(const std::string &)> &IsAlive);

private:
  const Clock &Time;
  std::string Self;
  /// When this VM first saw each orphaned job without a live owner.
  std::map<std::string, Instant> OrphanedSince;
};

} // namespace turmericpass

#endif
