#ifndef TURMERICPASS_SCHEDULING_ANSWERCOLLECTOR_H
#define TURMERICPASS_SCHEDULING_ANSWERCOLLECTOR_H

#include "Scheduling/SchedulingTypes.h"

namespace turmericpass {

class FleetState;
struct RunningAttempt;
struct ServerState;
struct ServiceState;
struct WorkItem;

/// Forwards each answer to its peer exactly once and updates the statistics of
/// servers and services.
class AnswerCollector {
public:
  explicit AnswerCollector(FleetState &Shared) : Fleet(Shared) {}

  void tokens(SchedulerAttemptId Id, TokenBatch Tokens);
  void done(SchedulerAttemptId Id, BackendReply Reply);

private:
  /// Cancels all attempts except \p Winner, so that an answer never mixes
  /// tokens of two attempts.
  void cancelLosers(WorkItem &Item, SchedulerAttemptId Winner);
  /// Marks a server as recovering if it answers after it was considered lost.
  void noteAlive(const RunningAttempt &Run, ServerState &Server);
  void learnFirst(const RunningAttempt &Run, ServiceState &State,
                  ServerState &Server);
  void learnTokens(RunningAttempt &Run, WorkItem &Item, ServerState &Server,
                   std::size_t Count);
  void learnAnswer(const RunningAttempt &Run, WorkItem &Item,
                   ServerState &Server);
  void noteSample(ServerState &Server, bool IsGood, std::uint32_t Weight);
  void demote(RunningAttempt &Run, WorkItem &Item);

  FleetState &Fleet;
};

} // namespace turmericpass

#endif
