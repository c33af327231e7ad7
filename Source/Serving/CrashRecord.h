#ifndef TURMERICPASS_SERVING_CRASHRECORD_H
#define TURMERICPASS_SERVING_CRASHRECORD_H

#include "Core/Clock.h"

#include <cstdint>
#include <vector>

namespace turmericpass {

/// What one VM knows about the server crashes that coincided with a request, as
/// it is sent to other VMs. Records of any number of VMs can be merged in any
/// order and more than once with the same result.
struct CrashRecord {
  struct ServerCrashes {
    /// Identifies the lifetime of a server.
    std::uint32_t Server = 0;
    std::uint32_t Count = 0;
  };

  std::uint64_t Fingerprint = 0;
  /// The number of times that the request was found not to crash servers. A
  /// record with a higher number replaces one with a lower number.
  std::uint32_t Resets = 0;
  /// The time since the last crash, in whole seconds, rounded up.
  std::uint32_t AgeSeconds = 0;
  std::vector<ServerCrashes> Servers;
  /// The store has this record.
  bool Stored = false;
};

} // namespace turmericpass

#endif
