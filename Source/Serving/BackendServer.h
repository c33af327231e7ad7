#ifndef TURMERICPASS_SERVING_BACKENDSERVER_H
#define TURMERICPASS_SERVING_BACKENDSERVER_H

#include <cstdint>
#include <string>

namespace turmericpass {

/// What a backend server says of itself in the list of servers.
struct ServerEntry {
  /// The name under which the server registered. It names one start of the
  /// server only together with StartUnixMillis.
  std::string Id;
  std::string Service;
  /// "ip:port".
  std::string Address;
  std::string Zone;
  /// How many requests it works on at once.
  int Slots = 1;
  /// It takes no new requests.
  bool Leaving = false;
  /// The start of this incarnation, Unix time in milliseconds; 0 if unknown.
  std::int64_t StartUnixMillis = 0;
};

} // namespace turmericpass

#endif
