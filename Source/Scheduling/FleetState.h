#ifndef TURMERICPASS_SCHEDULING_FLEETSTATE_H
#define TURMERICPASS_SCHEDULING_FLEETSTATE_H

#include "Core/Clock.h"
#include "Scheduling/PrefixIndex.h"
#include "Scheduling/Quarantine.h"
#include "Scheduling/SchedulingTypes.h"
#include "Scheduling/ServerPool.h"
#include "Scheduling/ServiceState.h"
#include "Scheduling/TombstoneTable.h"
#include "Scheduling/WorkItem.h"
#include "Settings/FleetSettings.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace turmericpass {

/// Holds the requests, attempts, servers and queues of the scheduler and keeps
/// them consistent. It makes no scheduling decisions.
class FleetState {
public:
  explicit FleetState(const Clock &TimeSource);

  Instant now() const { return this->Time.now(); }

  /// Applies the settings of all services.
  void configure(const FleetSettings &NewSettings,
                 const std::set<std::string> &OwnedServers);

  /// Returns the state of a service and creates it on first use.
  ServiceState &service(const std::string &Name);
  /// Returns the item of an unfinished request, or nullptr.
  WorkItem *findRequest(const std::string &RequestId);
  RunningAttempt *findAttempt(SchedulerAttemptId Id);

  /// Registers a new item without adding it to a queue.
  WorkItem &addItem(WorkItem Item);
  void enqueue(WorkItem &Item);
  void hold(WorkItem &Item);

  /// Removes the item from its queue and starts an attempt on \p Server.
  /// \p IsHedge marks an additional attempt of a running item.
  RunningAttempt &startAttempt(WorkItem &Item, ServerState &Server,
                               bool IsHedge);

  /// Removes an attempt whose end the daemon has reported.
  void endAttempt(SchedulerAttemptId Id);
  /// Cancels an attempt, which may have run already.
  void cancelAttempt(SchedulerAttemptId Id);

  /// Ends a request: cancels its attempts, adds a tombstone and, if
  /// \p NotifyPeer is set, sends \p Outcome to its peer.
  void finish(WorkItem &Item, Finish Outcome, bool NotifyPeer = true);
  void fail(WorkItem &Item, FinishCode Code, std::string Detail,
            std::uint64_t RetryAfterMs = 0);

  void send(const std::string &Peer, Message Body);
  void recordDecision(const std::string &RequestId, const std::string &Server,
                      std::string Kind, std::string Reason);

  /// Returns the expected queueing time of a new online request, in
  /// milliseconds.
  std::uint32_t expectedWaitMs(const std::string &Service);
  LoadHint makeLoadHint(const std::string &Service);

  /// Counts an attempt as long unless it is counted already.
  void countAsLong(RunningAttempt &Attempt, const WorkItem &Item);

  FleetSettings Settings;
  ServerPool Pool;
  std::unordered_map<ItemId, WorkItem> Items;
  std::unordered_map<SchedulerAttemptId, RunningAttempt> Attempts;
  std::set<std::pair<Instant, ItemId>> Deadlines;
  Quarantine Suspects;
  PrefixIndex Prefixes;
  TombstoneTable Tombstones;
  std::vector<SchedulerAction> Actions;

private:
  void removeAttempt(SchedulerAttemptId Id);

  const Clock &Time;
  std::map<std::string, ServiceState> Services;
  std::unordered_map<std::string, ItemId> ItemsByRequest;
  SchedulerAttemptId LastAttemptId = 0;
  ItemId LastItemId = 0;
};

} // namespace turmericpass

#endif
