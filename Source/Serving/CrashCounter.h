#ifndef TURMERICPASS_SERVING_CRASHCOUNTER_H
#define TURMERICPASS_SERVING_CRASHCOUNTER_H

#include "Core/Clock.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace turmericpass {

/// Counts how often a server broke off while it ran a request, by what the
/// request asks for, so that one that crashes each server is not passed on
/// again. All VMs share their counts. It has no I/O.
class CrashCounter {
public:
  explicit CrashCounter(const Clock &Time) : Time(Time) {}

  /// Returns what identifies equal requests: the same target and body.
  static std::uint64_t fingerprint(std::string_view Target,
                                   std::string_view Body);

  /// A server broke off while it ran the request.
  void brokeOff(std::uint64_t Fingerprint);
  /// A server answered the request, so it is harmless.
  void answered(std::uint64_t Fingerprint);
  /// Another VM has counted \p Count for the request.
  void merge(std::uint64_t Fingerprint, unsigned Count);

  /// Whether the request must not be passed on any more.
  bool isBlocked(std::uint64_t Fingerprint) const;

  struct Entry {
    std::uint64_t Fingerprint = 0;
    unsigned Count = 0;
  };
  /// The counts that other VMs should know, at most \p Limit.
  std::vector<Entry> countsToShare(std::size_t Limit) const;

private:
  struct Count {
    unsigned Own = 0;
    unsigned Peers = 0;
    Instant Last;
  };
  void forgetOld();

  const Clock &Time;
  std::map<std::uint64_t, Count> Counts;
};

} // namespace turmericpass

#endif
