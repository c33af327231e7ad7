#ifndef TURMERICPASS_BATCHJOBS_WAITINGITEMS_H
#define TURMERICPASS_BATCHJOBS_WAITINGITEMS_H

#include "BatchJobs/OwnedJob.h"

#include <map>
#include <string>
#include <vector>

namespace turmericpass {

/// Names an item: its job and its place among the job's items.
struct ItemKey {
  std::string JobId;
  std::size_t Index = 0;
};

/// Returns the items of \p Jobs that may start at \p Now, in the order in which
/// they are to start: first those that have begun, the one that came farthest
/// first, since it needs the least to be done; then the others by the age of
/// their jobs.
std::vector<ItemKey> waitingItems(const std::map<std::string, OwnedJob> &Jobs,
                                  Instant Now);

} // namespace turmericpass

#endif
