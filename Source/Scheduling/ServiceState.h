#ifndef TURMERICPASS_SCHEDULING_SERVICESTATE_H
#define TURMERICPASS_SCHEDULING_SERVICESTATE_H

#include "Scheduling/BurstReserve.h"
#include "Scheduling/HedgePolicy.h"
#include "Scheduling/LatencyTracker.h"
#include "Scheduling/PromptNormaliser.h"
#include "Scheduling/RetryBudget.h"
#include "Scheduling/SizeEstimator.h"
#include "Scheduling/WorkItem.h"
#include "Scheduling/WorkQueue.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmericpass {

/// The scheduler's state of a service.
struct ServiceState {
  std::string Name;
  bool IsModel = true;
  bool Repeatable = true;
  bool MayHedge = true;
  WorkQueue Queue;
  /// The items in the state Held.
  std::vector<ItemId> HeldItems;
  /// Holds times to first token that PromptTimes has normalised to a prompt of
  /// mean length.
  LatencyTracker Latency;
  PromptNormaliser PromptTimes;
  SizeEstimator Sizes;
  HedgePolicy Hedges;
  RetryBudget ServiceRetryBudget;
  std::map<std::string, RetryBudget> CustomerRetryBudgets;
  BurstReserve Reserve;
  /// The number of long attempts of each class on all servers.
  std::map<std::string, std::uint32_t> LongAttemptsByClass;
  /// The mean time from the start to the end of an online request.
  double MeanOnlineMs = 0;
};

} // namespace turmericpass

#endif
