#ifndef TURMERICPASS_SCHEDULING_FAILUREPOLICY_H
#define TURMERICPASS_SCHEDULING_FAILUREPOLICY_H

#include "Scheduling/SchedulingTypes.h"

#include <string>

namespace turmericpass {

class FleetState;
struct ServerState;
struct WorkItem;

/// Decides what becomes of work whose attempt failed, and of servers that
/// were lost.
class FailurePolicy {
public:
  explicit FailurePolicy(FleetState &Shared) : Fleet(Shared) {}

  void handleAttemptFailure(SchedulerAttemptId Id, const Error &Reason,
                            AttemptProgress Progress);

  /// A server that was just lost answers, so it was a connection that broke.
  void stillAnswers(ServerState &Server);

  /// Ends all work with that fingerprint because it is in quarantine.
  void endQuarantined(const std::string &Key);

private:
  void serverLost(ServerState &Server, const std::string &Reason);
  /// Ends copies of suspects that share a server with another suspect, where
  /// a second loss would not tell them apart.
  void separateCopies(const ServerState &Lost);
  void notSent(WorkItem &Item, ServerState &Server, const Error &Reason);
  void retry(WorkItem &Item, const Error &Reason);

  FleetState &Fleet;
};

} // namespace turmericpass

#endif
