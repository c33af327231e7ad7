#ifndef TURMERICPASS_SCHEDULING_SCHEDULINGTYPES_H
#define TURMERICPASS_SCHEDULING_SCHEDULINGTYPES_H

#include "Backends/BackendPort.h"
#include "Wire/Messages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace turmericpass {

/// Identifies an attempt within the scheduler.
using SchedulerAttemptId = std::uint64_t;

/// Asks the daemon to start an attempt of a request on a server.
struct StartAttempt {
  SchedulerAttemptId Id = 0;
  std::string Server;
  /// The request to send. Its ResumeTokenIds hold all tokens that were received
  /// so far.
  Submit Work;
};

/// Asks the daemon to abort an attempt. The scheduler ignores later events of
/// that attempt.
struct CancelAttempt {
  SchedulerAttemptId Id = 0;
};

/// Asks the daemon to send a message to a gateway or batcher.
struct SendToPeer {
  std::string Peer;
  Message Body;
};

/// Asks the daemon to report to the controller that requests with a fingerprint
/// crash servers. The controller passes the fingerprint on to every node.
struct AnnounceQuarantine {
  std::string Fingerprint;
};

/// Reports a scheduling decision for `explain` and the log.
struct RecordDecision {
  std::string RequestId;
  std::string Server;
  /// The kind of decision, for example "hedged", "preempted" or "marked_slow".
  std::string Kind;
  std::string Reason;
};

using SchedulerAction = std::variant<StartAttempt, CancelAttempt, SendToPeer,
                                     AnnounceQuarantine, RecordDecision>;

} // namespace turmericpass

#endif
