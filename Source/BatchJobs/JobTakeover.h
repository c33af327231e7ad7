#ifndef TURMERICPASS_BATCHJOBS_JOBTAKEOVER_H
#define TURMERICPASS_BATCHJOBS_JOBTAKEOVER_H

#include "BatchJobs/JobDirectory.h"
#include "Core/Clock.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace turmericpass {

/// Decides which jobs without a living owner this VM takes. It has no I/O;
/// that two VMs take the same job is settled by the versions in the store.
class JobTakeover {
public:
  JobTakeover(const Clock &Time, std::string Self);

  /// Returns the jobs that this VM should take now. \p Alive are the other
  /// VMs that take work.
  std::vector<std::string>
  choose(const std::map<std::string, KnownJob> &Jobs,
         const std::vector<std::string> &Alive,
         const std::function<bool(const std::string &)> &IsAlive);

private:
  const Clock &Time;
  std::string Self;
  /// Since when each job has been seen without a living owner.
  std::map<std::string, Instant> OrphanedSince;
};

} // namespace turmericpass

#endif
