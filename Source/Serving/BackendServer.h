#ifndef TURMERICPASS_SERVING_BACKENDSERVER_H
#define TURMERICPASS_SERVING_BACKENDSERVER_H

#include "Core/Error.h"

#include <cstdint>
#include <string>

namespace turmericpass {

/// The registration of a backend server in the list of servers.
struct ServerEntry {
  static constexpr int MaxSlots = 100000;

  /// The name under which the server registered. A restarted server may keep
  /// it, so an incarnation is identified by this name together with
  /// StartUnixMillis.
  std::string Id;
  std::string Service;
  /// "ip:port".
  std::string Address;
  std::string Zone;
  /// The number of requests that the server processes concurrently.
  int Slots = 1;
  /// The server accepts no new requests.
  bool Leaving = false;
  /// The Unix time at which this incarnation started, in milliseconds, or 0 if
  /// it is unknown.
  std::int64_t StartUnixMillis = 0;
};

/// Checks that requests can be sent to the server. Errors: InvalidArgument, if
/// the address is none, the service is missing, or the name cannot stand in a
/// header.
Result<void> checkServerEntry(const ServerEntry &Entry);

} // namespace turmericpass

#endif
