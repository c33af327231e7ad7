#ifndef TURMERICPASS_RAWHTTP_SOCKETOPTIONS_H
#define TURMERICPASS_RAWHTTP_SOCKETOPTIONS_H

#include "Core/Error.h"

#include <netinet/in.h>
#include <string>

namespace turmericpass {

/// Parses an address of the form "a.b.c.d:port".
Result<sockaddr_in> parseSocketAddress(const std::string &Address);

/// Sets the socket options of a connection: disables Nagle's algorithm, and
/// enables keep-alive probes that close the connection if the peer does not
/// respond.
void setSocketOptions(int Descriptor);

} // namespace turmericpass

#endif
