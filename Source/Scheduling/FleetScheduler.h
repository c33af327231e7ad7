#ifndef TURMERICPASS_SCHEDULING_FLEETSCHEDULER_H
#define TURMERICPASS_SCHEDULING_FLEETSCHEDULER_H

#include "Scheduling/AnswerForwarder.h"
#include "Scheduling/AttemptMonitor.h"
#include "Scheduling/FailurePolicy.h"
#include "Scheduling/FleetState.h"
#include "Scheduling/Scheduler.h"
#include "Scheduling/WorkAssigner.h"

#include <set>
#include <string>
#include <vector>

namespace turmericpass {

class IdSource;

/// Schedules requests on the servers that the node of this dispatcher owns.
class FleetScheduler : public Scheduler {
public:
  FleetScheduler(const Clock &TimeSource, IdSource &IdMaker);

  void configure(const FleetSettings &Settings,
                 const std::set<std::string> &OwnedServers) override;
  void setLeavingServers(const std::set<std::string> &Servers) override;
  void addQuarantinedFingerprints(
      const std::set<std::string> &Fingerprints) override;
  void submit(const std::string &Peer, Submit Work) override;
  void cancel(const std::string &Peer, const Cancel &Cancellation) override;
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
  enum class SubmissionKind { New, Duplicate, Stale, NotRepeatable };

  /// Compares a submission with earlier submissions of the same request.
  SubmissionKind classifySubmission(const std::string &Peer,
                                    const Submit &Work);
  /// Returns the refusal of \p Work, or a Finish with an empty Detail if the
  /// request can be accepted.
  Finish findRefusal(const Submit &Work);
  void refuse(const std::string &Peer, const Submit &Work, Finish Outcome);
  WorkItem makeItem(const std::string &Peer, Submit Work);
  void accept(const WorkItem &Item);
  void cancelUnknownRequest(const std::string &Peer,
                            const Cancel &Cancellation);
  void dispatchAll();
  void endExpiredItems();
  /// Ends waiting requests of services that no server of this node can serve.
  void endUnservableItems();

  FleetState Fleet;
  WorkAssigner Assigner;
  AnswerForwarder Forwarder;
  FailurePolicy Failures;
  AttemptMonitor Monitor;
  Instant StartTime;
  bool IsDraining = false;
};

} // namespace turmericpass

#endif
