#ifndef TURMERICPASS_SCHEDULING_FLEETSCHEDULER_H
#define TURMERICPASS_SCHEDULING_FLEETSCHEDULER_H

#include "Scheduling/Scheduler.h"
#include "Scheduling/ServerPool.h"
#include "Scheduling/WorkItem.h"
#include "Scheduling/WorkQueue.h"
#include "Settings/FleetSettings.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace turmericpass {

class IdSource;

/// The dispatcher's decisions over the servers that its node owns.
class FleetScheduler : public Scheduler {
public:
  FleetScheduler(const Clock &Time, IdSource &Ids);

  void configure(const FleetSettings &Settings,
                 const std::set<std::string> &Owned) override;
  void setLeaving(const std::set<std::string> &Servers) override;
  void setQuarantined(const std::set<std::string> &Fingerprints) override;
  void submit(const std::string &Peer, Submit Work) override;
  void cancel(const std::string &Peer, const Cancel &Withdrawn) override;
  void peerLost(const std::string &Peer) override;
  void attemptTokens(SchedulerAttemptId Id, TokenBatch Tokens) override;
  void attemptDone(SchedulerAttemptId Id, BackendReply Reply) override;
  void attemptFailed(SchedulerAttemptId Id, const Error &Reason,
                     AttemptProgress Progress) override;
  void loadReported(const std::string &Server,
                    const LoadReport &Report) override;
  void cacheChanged(const std::string &Server,
                    const std::vector<CacheEvent> &Events) override;
  void tick() override;
  void drain() override;
  bool isIdle() const override;
  std::vector<SchedulerAction> takeActions() override;

private:
  bool admit(const std::string &Peer, const Submit &Work);
  void refuse(const std::string &Peer, const Submit &Work, FinishCode Code,
              const std::string &Detail);
  void dispatch(const std::string &Service);
  void start(WorkItem &Item, ServerState &Server);
  void endAttempt(SchedulerAttemptId Id);
  /// Ends the item, cancels its attempts and sends \p Outcome.
  void finish(WorkItem &Item, Finish Outcome, bool Tell = true);
  LoadHint hintFor(const std::string &Service);

  const Clock &Time;
  [[maybe_unused]] IdSource &Ids;
  FleetSettings Settings;
  ServerPool Pool;
  std::map<std::string, WorkQueue> Queues;
  std::unordered_map<std::string, WorkItem> Items;
  std::unordered_map<SchedulerAttemptId, RunningAttempt> Attempts;
  std::set<std::pair<Instant, std::string>> Deadlines;
  std::set<std::string> Quarantined;
  /// Requests that ended, with the time until which they are remembered.
  std::unordered_map<std::string, Instant> Ended;
  std::vector<SchedulerAction> Actions;
  SchedulerAttemptId LastAttempt = 0;
  std::uint64_t LastSequence = 0;
  bool Draining = false;
};

} // namespace turmericpass

#endif
