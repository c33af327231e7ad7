#ifndef TURMERICPASS_SCHEDULING_FAILUREPOLICY_H
#define TURMERICPASS_SCHEDULING_FAILUREPOLICY_H

#include "Scheduling/SchedulingTypes.h"

#include <string>

namespace turmericpass {

class FleetState;
struct ServerState;
struct WorkItem;

/// Handles failed attempts and lost servers.
class FailurePolicy {
public:
  explicit FailurePolicy(FleetState &Shared) : Fleet(Shared) {}

  void handleAttemptFailure(SchedulerAttemptId Id, const Error &Reason,
                            AttemptProgress Progress);

  /// Retracts the loss of a server that answers so soon after it that only its
  /// connections can have failed.
  void retractRecentLoss(ServerState &Server);

  /// Ends all requests with \p Key, which is in quarantine.
  void endQuarantinedItems(const std::string &Key);

private:
  void handleServerLoss(ServerState &Server, const std::string &Reason);
  /// Cancels the remaining attempts of suspects that share a server with
  /// another suspect, because a second loss would not show which of them is the
  /// cause.
  void cancelCopiesBesideSuspects(const ServerState &LostServer);
  void handleUnsentAttempt(WorkItem &Item, ServerState &Server,
                           const Error &Reason);
  void scheduleRetry(WorkItem &Item, const Error &Reason);

  FleetState &Fleet;
};

} // namespace turmericpass

#endif
