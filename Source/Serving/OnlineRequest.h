#ifndef TURMERICPASS_SERVING_ONLINEREQUEST_H
#define TURMERICPASS_SERVING_ONLINEREQUEST_H

#include "Serving/BackendProtocol.h"
#include "Serving/OnlineCall.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmericpass {

/// Returns the state of a request of \p Caller that arrived at \p Now. If the
/// identity of the caller is checked, its key and the name of an organisation
/// that it sent are removed from the request.
OnlineCall makeOnlineCall(CallerId Caller, RawRequest Request,
                          const RouteSettings &Route, CallerIdentity Identity,
                          const BackendProtocol &Protocol, Instant Now);

/// Builds the request that runs \p Call on \p Server at \p Address. The server
/// gets the time that is left at \p Now, and the last event that the caller
/// has, if there is one.
BackendRequest makeOnlineRequest(const OnlineCall &Call,
                                 const std::string &Server,
                                 const std::string &Address,
                                 const BackendProtocol &Protocol, Instant Now);

/// Returns the number in the header \p Text, or nullopt if it is not one. No
/// header that the callers of this function read may be negative.
std::optional<std::int64_t> parseHeaderNumber(std::string_view Text);

/// Formats \p Value in seconds with two decimals.
std::string formatSeconds(Duration Value);

} // namespace turmericpass

#endif
