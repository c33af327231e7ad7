#ifndef TURMERICPASS_SCHEDULING_WORKITEM_H
#define TURMERICPASS_SCHEDULING_WORKITEM_H

#include "Core/Clock.h"
#include "Scheduling/SchedulingTypes.h"

#include <cstdint>
#include <string>
#include <vector>

namespace turmericpass {

/// One accepted request. Work.ResumeTokenIds grows with the tokens that the
/// peer has been sent, so every new attempt goes on from there.
struct WorkItem {
  std::string Peer;
  Submit Work;
  /// Raised with each accepted submission; names the item in queues.
  std::uint64_t Sequence = 0;
  bool IsModel = true;
  bool IsBatch = false;
  std::uint32_t Rank = 0;
  Instant Arrived;
  Instant Deadline;
  /// Attempts that run now.
  std::vector<SchedulerAttemptId> Attempts;
  /// What is known of all attempts so far.
  Execution Ran = Execution::NotRun;
};

/// One run of an item at a server.
struct RunningAttempt {
  SchedulerAttemptId Id = 0;
  std::string RequestId;
  std::string Server;
  Instant Started;
};

} // namespace turmericpass

#endif
