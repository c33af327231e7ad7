#ifndef TURMERICPASS_SERVING_BACKENDPROTOCOL_H
#define TURMERICPASS_SERVING_BACKENDPROTOCOL_H

#include "RawHttp/RawMessage.h"

#include <string>

namespace turmericpass {

/// The headers in which callers and backend servers say what the serving
/// decisions need. A deployment's adapter fills in the names.
struct BackendProtocol {
  /// The id of one attempt of a caller; echoed in the answer.
  std::string RequestId;
  /// How many milliseconds the sender still waits.
  std::string RemainingMs;
  /// The id of the server that the request is meant for.
  std::string ExpectedServer;
  /// Present in a refusal by a server that did not run the request.
  std::string NotRun;
  /// The status with which another server than the expected one refuses.
  int WrongServerStatus = 421;
  /// The last event that the sender has; the answer goes on after it.
  std::string LastEventId;
  /// How long a caller should wait before its next attempt, in seconds.
  std::string RetryAfter;
  /// The content type of a stream of events.
  std::string EventStreamType = "text/event-stream";

  /// Whether \p Head says that the server did not run the request.
  bool indicatesNotRun(const RawHead &Head) const {
    return Head.Status == this->WrongServerStatus ||
           !Head.header(this->NotRun).empty();
  }
};

} // namespace turmericpass

#endif
