#ifndef TURMERICPASS_SCHEDULING_ATTEMPTMONITOR_H
#define TURMERICPASS_SCHEDULING_ATTEMPTMONITOR_H

#include "Core/Clock.h"
#include "Scheduling/SchedulingTypes.h"

#include <string>
#include <vector>

namespace turmericpass {

class FleetState;
class WorkAssigner;
struct RunningAttempt;
struct ServerState;
struct ServiceState;
struct WorkItem;

/// Detects slow servers, stalled streams and overdue answers.
class AttemptMonitor {
public:
  AttemptMonitor(FleetState &Shared, WorkAssigner &SharedAssigner)
      : Fleet(Shared), Assigner(SharedAssigner) {}

  /// Checks all servers and attempts if the check interval has passed. Returns
  /// whether it did.
  bool checkIfDue();

private:
  void checkService(const std::string &Service);
  void checkServer(ServiceState &State, ServerState &Server);
  void checkAttempt(ServiceState &State, ServerState &Server,
                    RunningAttempt &Attempt);
  /// Returns the reason to move the item to another server, or "" if there is
  /// none.
  std::string reasonToMove(ServiceState &State, ServerState &Server,
                           const RunningAttempt &Attempt, const WorkItem &Item);
  /// Returns whether the first token is so late that none is expected any more.
  bool isStuck(const ServiceState &State, const RunningAttempt &Attempt) const;
  void moveItem(ServiceState &State, RunningAttempt &Attempt, WorkItem &Item,
                const std::string &Reason);
  void hedgeIfDue(ServiceState &State, const RunningAttempt &Attempt,
                  WorkItem &Item);
  bool mayMarkSlow(const ServiceState &State);

  FleetState &Fleet;
  WorkAssigner &Assigner;
  Instant LastCheckTime;
};

} // namespace turmericpass

#endif
