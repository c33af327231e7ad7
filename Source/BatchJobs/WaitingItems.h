#ifndef TURMERICPASS_BATCHJOBS_WAITINGITEMS_H
#define TURMERICPASS_BATCHJOBS_WAITINGITEMS_H

#include "BatchJobs/OwnedJob.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace turmericpass {

/// Identifies an item by its job and its index among the job's items.
struct ItemKey {
  std::string JobId;
  std::size_t Index = 0;
};

/// Returns the items of \p Jobs that may start at \p Now, in the order in which
/// to start them: by decreasing progress, because the items with the most
/// events need the least work, and by the age of their jobs if equal.
std::vector<ItemKey> waitingItems(const std::map<std::string, OwnedJob> &Jobs,
                                  Instant Now);

/// Returns the running items of \p Jobs in the order in which to preempt them:
/// those with the fewest events first, so that the others complete.
std::vector<ItemKey> runningItems(const std::map<std::string, OwnedJob> &Jobs);

/// Returns the servers that run an item of \p Jobs under which servers crashed.
std::set<std::string>
serversWithSuspects(const std::map<std::string, OwnedJob> &Jobs);

} // namespace turmericpass

#endif
