#ifndef TURMERICPASS_RAWHTTP_SOCKETOPTIONS_H
#define TURMERICPASS_RAWHTTP_SOCKETOPTIONS_H

#include "Core/Error.h"

#include <netinet/in.h>
#include <string>

namespace turmericpass {

/// Reads "a.b.c.d:port".
Result<sockaddr_in> parseSocketAddress(const std::string &Address);

/// Sets the options of each connection: no delay of small writes, and probes
/// that end a connection whose peer has fallen silent.
void tuneConnection(int Descriptor);

} // namespace turmericpass

#endif
