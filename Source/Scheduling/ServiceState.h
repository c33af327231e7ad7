#ifndef TURMERICPASS_SCHEDULING_SERVICESTATE_H
#define TURMERICPASS_SCHEDULING_SERVICESTATE_H

#include "Scheduling/BurstReserve.h"
#include "Scheduling/HedgePolicy.h"
#include "Scheduling/LatencyTracker.h"
#include "Scheduling/PromptScale.h"
#include "Scheduling/RetryBudget.h"
#include "Scheduling/SizeEstimator.h"
#include "Scheduling/WorkItem.h"
#include "Scheduling/WorkQueue.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmericpass {

/// What the scheduler knows of one service.
struct ServiceState {
  std::string Name;
  bool IsModel = true;
  bool Repeatable = true;
  bool Hedge = true;
  WorkQueue Queue;
  /// Items in state Held.
  std::vector<ItemId> Held;
  /// Its times to first token are those of a mean prompt, after Prompts.
  LatencyTracker Latency;
  PromptScale Prompts;
  SizeEstimator Sizes;
  HedgePolicy Hedges;
  RetryBudget Retries;
  std::map<std::string, RetryBudget> CustomerRetries;
  BurstReserve Reserve;
  /// Long attempts by class, over all servers.
  std::map<std::string, std::uint32_t> LongByClass;
  /// Mean time from start to end of online work, in milliseconds.
  double OnlineMillis = 0;
};

} // namespace turmericpass

#endif
