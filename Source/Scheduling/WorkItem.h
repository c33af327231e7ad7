#ifndef TURMERICPASS_SCHEDULING_WORKITEM_H
#define TURMERICPASS_SCHEDULING_WORKITEM_H

#include "Core/Clock.h"
#include "Scheduling/SchedulingTypes.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace turmericpass {

/// Names one accepted submission within the scheduler.
using ItemId = std::uint64_t;

/// Where an accepted request waits.
enum class ItemPlace {
  /// It runs.
  Running,
  /// In the queue of its service.
  Queued,
  /// Outside the queue, because something concerns it alone: a budget for its
  /// retry, or its isolation as a suspect.
  Held,
};

/// One accepted request. Work.ResumeTokenIds grows with the tokens that the
/// peer was sent, and every attempt that is under way has delivered exactly
/// those, so that a new attempt can go on from there at any moment.
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
  /// Names the request among suspects: its fingerprint or, without one, its
  /// request id.
  std::string SuspectKey;
  Instant Arrived;
  Instant Deadline;

  ItemPlace Place = ItemPlace::Running;
  /// Its place in the queue: arrival plus a penalty for its size.
  Instant QueueKey;
  /// The expected size of its answer in tokens; 0 for plain services.
  double AnswerTokens = 0;
  /// What it costs a server: tokens, prompt included, or milliseconds.
  double Cost = 1;
  /// 0 for short work.
  std::uint32_t Level = 0;
  /// The observed size at which it is demoted.
  double LevelBound = 0;

  std::vector<SchedulerAttemptId> Attempts;
  bool WasStarted = false;
  /// Some attempt may have run.
  bool MaySent = false;
  /// Some server began to answer.
  bool Answered = false;
  /// A retry that no budget has been taken for.
  bool OwesRetry = false;
  std::uint32_t Retries = 0;
  std::uint32_t Moves = 0;
  /// The server that served it badly; another one is preferred.
  std::string Avoid;

  bool isLong() const { return this->Level > 0; }

  /// Returns the tokens that an attempt adds at its server.
  std::uint64_t tokenLoad() const {
    if (!this->IsModel)
      return 0;
    return this->Work.PromptTokens +
           std::max(static_cast<std::uint64_t>(this->AnswerTokens),
                    std::uint64_t{this->Work.ResumeTokenIds.size()});
  }

  /// Returns what is known of all attempts: NotRun only if none was sent.
  Execution verdict() const {
    if (this->Answered)
      return Execution::Ran;
    return this->MaySent || !this->Attempts.empty() ? Execution::Unknown
                                                    : Execution::NotRun;
  }
};

/// One run of an item at a server.
struct RunningAttempt {
  SchedulerAttemptId Id = 0;
  ItemId Item = 0;
  std::string Server;
  Instant Started;
  Instant LastToken;
  /// Tokens that this attempt gave.
  std::uint64_t Received = 0;
  /// The tokens it has to take in before its first one.
  std::uint64_t PromptTokens = 0;
  /// What it adds to the tokens in flight at its server.
  std::uint64_t TokenLoad = 0;
  bool IsLong = false;
  bool IsHedge = false;
  bool IsProbe = false;
};

} // namespace turmericpass

#endif
