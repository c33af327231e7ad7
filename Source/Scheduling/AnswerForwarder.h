#ifndef TURMERICPASS_SCHEDULING_ANSWERFORWARDER_H
#define TURMERICPASS_SCHEDULING_ANSWERFORWARDER_H

#include "Scheduling/SchedulingTypes.h"

namespace turmericpass {

class FleetState;
struct RunningAttempt;
struct ServerState;
struct ServiceState;
struct WorkItem;

/// Forwards each answer to its peer exactly once and updates the statistics of
/// servers and services.
class AnswerForwarder {
public:
  explicit AnswerForwarder(FleetState &Shared) : Fleet(Shared) {}

  void forwardTokens(SchedulerAttemptId Id, TokenBatch Tokens);
  void forwardReply(SchedulerAttemptId Id, BackendReply Reply);

private:
  /// Cancels all attempts except \p KeptId, so that an answer never mixes
  /// tokens of two attempts.
  void cancelOtherAttempts(WorkItem &Item, SchedulerAttemptId KeptId);
  /// Marks a server as recovering if it answers after it was considered lost.
  void recordSignOfLife(const RunningAttempt &Attempt, ServerState &Server);
  void recordFirstTokenTime(const RunningAttempt &Attempt, ServiceState &State,
                            ServerState &Server);
  void recordTokens(RunningAttempt &Attempt, WorkItem &Item,
                    ServerState &Server, std::size_t Count);
  void recordAnswer(const RunningAttempt &Attempt, WorkItem &Item,
                    ServerState &Server);
  void recordLatencySample(ServerState &Server, bool IsGood,
                           std::uint32_t Weight);
  void demoteLongItem(RunningAttempt &Attempt, WorkItem &Item);

  FleetState &Fleet;
};

} // namespace turmericpass

#endif
