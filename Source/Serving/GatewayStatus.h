#ifndef TURMERICPASS_SERVING_GATEWAYSTATUS_H
#define TURMERICPASS_SERVING_GATEWAYSTATUS_H

namespace turmericpass {

/// The status codes of answers that a VM gives by itself.
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;

} // namespace turmericpass

#endif
