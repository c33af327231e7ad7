#ifndef TURMERICPASS_SCHEDULING_STREAMWATCH_H
#define TURMERICPASS_SCHEDULING_STREAMWATCH_H

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
class StreamWatch {
public:
  StreamWatch(FleetState &Shared, WorkAssigner &Assigner)
      : Fleet(Shared), Work(Assigner) {}

  /// Checks all servers and attempts if the check interval has passed. Returns
  /// whether it did.
  bool run();

private:
  void watchService(const std::string &Service);
  void judge(ServiceState &State, ServerState &Server);
  void watchAttempt(ServiceState &State, ServerState &Server,
                    RunningAttempt &Run);
  /// Returns the reason to move the item to another server, or "" if there is
  /// none.
  std::string reasonToMove(ServiceState &State, ServerState &Server,
                           const RunningAttempt &Run, const WorkItem &Item);
  /// Returns whether the first token is so late that none is expected any more.
  bool isHopeless(const ServiceState &State, const RunningAttempt &Run) const;
  void move(ServiceState &State, RunningAttempt &Run, WorkItem &Item,
            const std::string &Reason);
  void considerCopy(ServiceState &State, const RunningAttempt &Run,
                    WorkItem &Item);
  bool maySlow(const ServiceState &State);

  FleetState &Fleet;
  WorkAssigner &Work;
  Instant LastRun;
};

} // namespace turmericpass

#endif
