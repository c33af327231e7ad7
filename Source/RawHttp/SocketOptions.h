#ifndef TURMERICPASS_RAWHTTP_SOCKETOPTIONS_H
#define TURMERICPASS_RAWHTTP_SOCKETOPTIONS_H

#include "Core/Error.h"
#include "RawHttp/OutputProgress.h"

#include <netinet/in.h>
#include <optional>
#include <string>

namespace turmericpass {

/// Parses an address of the form "a.b.c.d:port".
Result<sockaddr_in> parseSocketAddress(const std::string &Address);

/// Sets the socket options of a connection: disables Nagle's algorithm, and
/// enables keep-alive probes that close the connection if the peer does not
/// respond.
void setSocketOptions(int Descriptor);

/// Returns what the kernel knows about the peer of a connection.
PeerState readPeerState(int Descriptor);

/// Sets how long the kernel keeps the connection while the peer reads nothing.
/// Without \p UnreadTime it is the time for a peer that does not respond: the
/// kernel has one limit for both.
void setUnreadTime(int Descriptor, std::optional<Duration> UnreadTime);

} // namespace turmericpass

#endif
