#ifndef TURMERICPASS_SCHEDULING_WORKITEM_H
#define TURMERICPASS_SCHEDULING_WORKITEM_H

#include "Core/Clock.h"
#include "Scheduling/SchedulingTypes.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace turmericpass {

/// Identifies an accepted submission within the scheduler.
using ItemId = std::uint64_t;

/// The scheduling state of an accepted request.
enum class SchedulingState {
  /// The request is running.
  Running,
  /// The request is in the queue of its service.
  Queued,
  /// The request waits outside the queue for retry budget or, if it is
  /// suspected of crashing servers, for a server that runs no other suspect.
  Held,
};

/// An accepted request. Work.ResumeTokenIds holds the tokens that were sent to
/// the peer. Every running attempt has delivered exactly these tokens, so a new
/// attempt can resume from them at any time.
struct WorkItem {
  ItemId Id = 0;
  std::string Peer;
  Submit Work;
  bool IsModel = true;
  bool IsBatch = false;
  bool Repeatable = true;
  bool MayHedge = true;
  std::uint32_t Rank = 0;
  double LongShare = 1;
  /// The key of the request in the quarantine: its fingerprint or, if it has
  /// none, a key that is derived from its request ID.
  std::string SuspectKey;
  Instant ArrivalTime;
  Instant Deadline;

  SchedulingState State = SchedulingState::Running;
  /// The sort key in the queue: the arrival time plus a penalty for the size.
  Instant QueueKey;
  /// The expected size of the answer in tokens; 0 for plain services.
  double ExpectedAnswerTokens = 0;
  /// The estimated cost for a server: tokens including the prompt for models,
  /// milliseconds for plain services.
  double Cost = 1;
  /// The size level; 0 is short work.
  std::uint32_t Level = 0;
  /// The observed size above which the item moves to the next level.
  double LevelBound = 0;

  std::vector<SchedulerAttemptId> Attempts;
  bool WasStarted = false;
  /// Whether a past attempt may have run.
  bool MayHaveRun = false;
  /// Whether a server has begun to answer.
  bool HasAnswerStarted = false;
  /// Whether the item waits for retry budget.
  bool NeedsRetryBudget = false;
  std::uint32_t RetryCount = 0;
  std::uint32_t MoveCount = 0;
  /// The server where the last attempt failed or was too slow. Other servers
  /// are preferred.
  std::string AvoidedServer;

  bool isLong() const { return this->Level > 0; }

  /// Returns the number of tokens that an attempt adds to the load of its
  /// server.
  std::uint64_t tokenLoad() const {
    if (!this->IsModel)
      return 0;
    return this->Work.PromptTokens +
           std::max(static_cast<std::uint64_t>(this->ExpectedAnswerTokens),
                    std::uint64_t{this->Work.ResumeTokenIds.size()});
  }

  /// Returns whether the request ran, as far as its attempts show. The result
  /// is NotRun only if no attempt was sent to a server.
  Execution executionStatus() const {
    if (this->HasAnswerStarted)
      return Execution::Ran;
    return this->MayHaveRun || !this->Attempts.empty() ? Execution::Unknown
                                                       : Execution::NotRun;
  }
};

/// An attempt to run an item on a server.
struct RunningAttempt {
  SchedulerAttemptId Id = 0;
  ItemId Item = 0;
  std::string Server;
  Instant StartTime;
  Instant LastTokenTime;
  /// The number of tokens that this attempt has delivered.
  std::uint64_t ReceivedTokens = 0;
  /// The number of tokens that the server processes before it generates the
  /// first one.
  std::uint64_t PromptTokens = 0;
  /// The number of tokens that the attempt adds to the load of its server.
  std::uint64_t TokenLoad = 0;
  bool IsLong = false;
  bool IsHedge = false;
  bool IsProbe = false;
};

} // namespace turmericpass

#endif
