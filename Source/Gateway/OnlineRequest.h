#ifndef TURMERICPASS_GATEWAY_ONLINEREQUEST_H
#define TURMERICPASS_GATEWAY_ONLINEREQUEST_H

#include "Core/Clock.h"
#include "Settings/FleetSettings.h"
#include "Wire/Messages.h"

#include <cstdint>
#include <string>

namespace turmericpass {

/// A caller's request whose headers and body are valid.
struct OnlineRequest {
  /// The message for the dispatcher. RequestLifeCycle sets the attempt and the
  /// remaining time.
  Submit Work;
  Duration TimeLimit{0};
  ServiceKind Kind = ServiceKind::Model;
  ClassKind Class = ClassKind::Online;
  /// Whether a model's answer has the chat format instead of the text
  /// completion format.
  bool Chat = true;
  bool Stream = false;
  bool IncludeUsage = false;
  std::string Model;
  /// The tokens charged to the quota until the actual number is known.
  std::uint32_t ReservedTokens = 0;
  /// The caller's span from the W3C traceparent header; empty if there is none.
  TraceContext Parent;
};

} // namespace turmericpass

#endif
