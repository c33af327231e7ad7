#ifndef TURMERICPASS_SCHEDULING_ANSWERCOLLECTOR_H
#define TURMERICPASS_SCHEDULING_ANSWERCOLLECTOR_H

#include "Scheduling/SchedulingTypes.h"

namespace turmericpass {

class FleetState;
struct RunningAttempt;
struct ServerState;
struct ServiceState;
struct WorkItem;

/// Passes answers on to the peers, each exactly once, and learns from them.
class AnswerCollector {
public:
  explicit AnswerCollector(FleetState &Shared) : Fleet(Shared) {}

  void tokens(SchedulerAttemptId Id, TokenBatch Tokens);
  void done(SchedulerAttemptId Id, BackendReply Reply);

private:
  /// Cancels all attempts but \p Winner, so that one answer is never made of
  /// two attempts' tokens.
  void cancelLosers(WorkItem &Item, SchedulerAttemptId Winner);
  /// Takes back the loss of a server that still answers.
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
