#ifndef TURMERICPASS_SERVING_BACKENDPROTOCOL_H
#define TURMERICPASS_SERVING_BACKENDPROTOCOL_H

#include "RawHttp/RawMessage.h"

#include <set>
#include <string>

namespace turmericpass {

/// The names of the HTTP headers, and the status code, that carry what the
/// serving decisions need between callers, VMs and backend servers. The adapter
/// of a deployment fills them in.
struct BackendProtocol {
  /// Identifies one attempt of a caller. The answer echoes the value.
  std::string RequestId;
  /// The time in milliseconds for which the sender keeps waiting.
  std::string RemainingMs;
  /// The id of the server to which the request is addressed.
  std::string ExpectedServer;
  /// Present in the answer of a server that refused the request without running
  /// it.
  std::string NotRun;
  /// Present in each answer of a server that leaves.
  std::string Leaving;
  /// The status of a refusal by a server that is not the expected one.
  int WrongServerStatus = 421;
  /// The statuses of answers that tell callers that their requests did not run
  /// and will not run.
  std::set<int> NotRunStatuses;
  /// The id of the last event that the sender has received. The answer
  /// continues after that event.
  std::string LastEventId;
  /// Lists the parts of the prompt in their order, separated by commas. A part
  /// is an id, which requests with the same part have in common, a colon, and
  /// its number of tokens. The last part belongs to one request alone.
  std::string PromptParts;
  /// The time in seconds that a caller should wait before its next attempt.
  std::string RetryAfter;
  /// Carries the key of a caller, and the scheme in front of the key.
  std::string Authorization;
  std::string KeyScheme;
  /// The name of the caller's organisation, which servers receive.
  std::string Organisation;
  /// The content type of an event stream.
  std::string EventStreamType = "text/event-stream";
  /// Present in each successful answer of a server. If empty, servers are not
  /// required to send such a header.
  std::string Stamp;
  /// Whether servers may send bodies with a content coding.
  bool AllowsContentCodings = true;

  /// Returns whether the header \p Name carries a key or the name of an
  /// organisation. A server must not get such a header from a caller whose
  /// identity is checked.
  bool identifiesCaller(std::string_view Name) const {
    return equalsIgnoringCase(Name, this->Authorization) ||
           equalsIgnoringCase(Name, this->Organisation);
  }

  /// Returns whether \p Head states that the server leaves.
  bool indicatesLeaving(const RawHead &Head) const {
    const std::string_view Value = Head.header(this->Leaving);
    return !Value.empty() && Value != "0";
  }

  /// Returns whether \p Head states that the server did not run the request.
  bool indicatesNotRun(const RawHead &Head) const {
    return Head.Status == this->WrongServerStatus ||
           !Head.header(this->NotRun).empty();
  }
};

} // namespace turmericpass

#endif
