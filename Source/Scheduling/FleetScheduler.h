#ifndef TURMERICPASS_SCHEDULING_FLEETSCHEDULER_H
#define TURMERICPASS_SCHEDULING_FLEETSCHEDULER_H

#include "Scheduling/AnswerCollector.h"
#include "Scheduling/FailurePolicy.h"
#include "Scheduling/FleetState.h"
#include "Scheduling/Scheduler.h"
#include "Scheduling/StreamWatch.h"
#include "Scheduling/WorkAssigner.h"

#include <set>
#include <string>
#include <vector>

namespace turmericpass {

class IdSource;

/// The dispatcher's decisions over the servers that its node owns.
class FleetScheduler : public Scheduler {
public:
  FleetScheduler(const Clock &TimeSource, IdSource &IdMaker);

  void configure(const FleetSettings &Settings,
                 const std::set<std::string> &Owned) override;
  void setLeavingServers(const std::set<std::string> &Servers) override;
  void addQuarantinedFingerprints(
      const std::set<std::string> &Fingerprints) override;
  void submit(const std::string &Peer, Submit Work) override;
  void cancel(const std::string &Peer, const Cancel &Withdrawn) override;
  void handlePeerLoss(const std::string &Peer) override;
  void handleAttemptTokens(SchedulerAttemptId Id, TokenBatch Tokens) override;
  void handleAttemptReply(SchedulerAttemptId Id, BackendReply Reply) override;
  void handleAttemptFailure(SchedulerAttemptId Id, const Error &Reason,
                            AttemptProgress Progress) override;
  void handleLoadReport(const std::string &Server,
                        const LoadReport &Report) override;
  void handleCacheEvents(const std::string &Server,
                         const std::vector<CacheEvent> &Events) override;
  void tick() override;
  void drain() override;
  bool isIdle() const override;
  std::vector<SchedulerAction> takeActions() override;

private:
  enum class Standing { New, Repeated, Stale, Forbidden };

  /// Tells how a submission stands to earlier ones of the same request.
  Standing standingOf(const std::string &Peer, const Submit &Work);
  /// Returns why \p Work is refused, with RetryAfterMs, or an empty Detail.
  Finish refusalOf(const Submit &Work);
  void refuse(const std::string &Peer, const Submit &Work, Finish Outcome);
  WorkItem makeItem(const std::string &Peer, Submit Work);
  void accept(const WorkItem &Item);
  void cancelUnknown(const std::string &Peer, const Cancel &Withdrawn);
  void dispatchAll();
  void endDeadlines();
  /// Ends queued work of services that no server of this node can serve.
  void endUnservable();

  FleetState Fleet;
  WorkAssigner Work;
  AnswerCollector Answers;
  FailurePolicy Failures;
  StreamWatch Watch;
  Instant Begun;
  bool Draining = false;
};

} // namespace turmericpass

#endif
