#ifndef TURMERICPASS_GATEWAY_ONLINEREQUEST_H
#define TURMERICPASS_GATEWAY_ONLINEREQUEST_H

#include "Core/Clock.h"
#include "Settings/FleetSettings.h"
#include "Wire/Messages.h"

#include <cstdint>
#include <string>

namespace turmericpass {

/// A caller's request that passed every check of its form.
struct OnlineRequest {
  /// Without attempt and remaining time, which the life cycle fills in.
  Submit Work;
  Duration Limit{0};
  ServiceKind Kind = ServiceKind::Model;
  ClassKind Class = ClassKind::Online;
  /// How a model's answer is written.
  bool Chat = true;
  bool Stream = false;
  bool IncludeUsage = false;
  std::string Model;
  /// Tokens charged until the use is known.
  std::uint32_t ReservedTokens = 0;
  /// Empty, or the W3C span of the caller.
  TraceContext Parent;
};

} // namespace turmericpass

#endif
