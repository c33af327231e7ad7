#ifndef TURMERICPASS_SERVING_CRASHRECORD_H
#define TURMERICPASS_SERVING_CRASHRECORD_H

#include <cstdint>
#include <vector>

namespace turmericpass {

/// What one VM knows about the server crashes that coincided with a request or
/// with a part of prompts, as it is sent to other VMs. Records of any number of
/// VMs can be merged in any order and more than once with the same result.
struct CrashRecord {
  struct ServerCrashes {
    /// Identifies the lifetime of a server.
    std::uint32_t Server = 0;
    std::uint32_t Count = 0;
  };

  /// The hash of the request or of the part.
  std::uint64_t Suspect = 0;
  /// The number of times that the suspect was found not to crash servers. A
  /// record with a higher number replaces one with a lower number.
  std::uint32_t Resets = 0;
  /// The time since the last crash, in whole seconds, rounded up.
  std::uint32_t AgeSeconds = 0;
  /// The store has this record.
  bool Stored = false;
  bool IsPart = false;
  /// The number of trials of a blocked suspect.
  std::uint32_t Trials = 0;
  std::vector<ServerCrashes> Servers;
  /// Identifies the requests with the part under which servers crashed. Empty
  /// for a request.
  std::vector<std::uint32_t> Requests;
};

} // namespace turmericpass

#endif
