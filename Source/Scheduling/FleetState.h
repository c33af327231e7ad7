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

/// Requests, attempts, servers and queues, with the few operations that keep
/// them in step. It decides nothing.
class FleetState {
public:
  explicit FleetState(const Clock &TimeSource);

  Instant now() const { return this->Time.now(); }

  /// Puts the settings of all services in force.
  void configure(const FleetSettings &NewSettings,
                 const std::set<std::string> &Owned);

  ServiceState &service(const std::string &Name);
  /// Returns the item of a request that is under way, or nullptr.
  WorkItem *findRequest(const std::string &RequestId);
  RunningAttempt *findAttempt(SchedulerAttemptId Id);

  /// Takes a new item in; it is queued nowhere yet.
  WorkItem &add(WorkItem Item);
  void enqueue(WorkItem &Item);
  void hold(WorkItem &Item);

  /// Starts the item at \p Server and takes it out of its queue. \p IsHedge
  /// marks a second copy of running work.
  RunningAttempt &start(WorkItem &Item, ServerState &Server, bool IsHedge);

  /// Ends an attempt that the daemon reported the end of.
  void ended(SchedulerAttemptId Id);
  /// Ends an attempt and tells the daemon so. It may have run.
  void cancelAttempt(SchedulerAttemptId Id);

  /// Ends a request: cancels its attempts, remembers it and, if \p Tell,
  /// sends \p Outcome to its peer.
  void finish(WorkItem &Item, Finish Outcome, bool Tell = true);
  void fail(WorkItem &Item, FinishCode Code, std::string Detail,
            std::uint64_t RetryAfterMs = 0);

  void send(const std::string &Peer, Message Body);
  void record(const std::string &RequestId, const std::string &Server,
              std::string What, std::string Why);

  /// Returns how long new online work would wait, in milliseconds.
  std::uint32_t expectedWaitMs(const std::string &Service);
  LoadHint hintFor(const std::string &Service);

  /// Recounts an attempt whose item became long.
  void countLong(RunningAttempt &Run, const WorkItem &Item);

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
  void release(SchedulerAttemptId Id);

  const Clock &Time;
  std::map<std::string, ServiceState> Services;
  std::unordered_map<std::string, ItemId> ByRequest;
  SchedulerAttemptId LastAttempt = 0;
  ItemId LastItem = 0;
};

} // namespace turmericpass

#endif
