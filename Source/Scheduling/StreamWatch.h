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

/// Looks for what only the passage of time shows: slow servers, stalled
/// streams, answers that are overdue.
class StreamWatch {
public:
  StreamWatch(FleetState &Shared, WorkAssigner &Assigner)
      : Fleet(Shared), Work(Assigner) {}

  /// Looks at all that runs, at most once in each interval. Returns whether
  /// it did.
  bool run();

private:
  void watchService(const std::string &Service);
  void judge(ServiceState &State, ServerState &Server);
  void watchAttempt(ServiceState &State, ServerState &Server,
                    RunningAttempt &Run);
  /// Returns why the attempt's work is better run elsewhere, or "".
  std::string reasonToMove(ServiceState &State, ServerState &Server,
                           const RunningAttempt &Run, const WorkItem &Item);
  /// Returns whether the first token is that late that none is to be expected.
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
