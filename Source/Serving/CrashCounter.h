#ifndef TURMERICPASS_SERVING_CRASHCOUNTER_H
#define TURMERICPASS_SERVING_CRASHCOUNTER_H

#include "Core/Clock.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace turmericpass {

/// Counts the server crashes that coincided with each request, so that a
/// request that crashes every server it reaches is blocked. Equal requests
/// share one count. All VMs exchange their counts. This class performs no I/O.
class CrashCounter {
public:
  explicit CrashCounter(const Clock &Time) : Time(Time) {}

  /// Returns a hash of the target and the body, which is the same for equal
  /// requests.
  static std::uint64_t fingerprint(std::string_view Target,
                                   std::string_view Body);

  /// Counts a crash of a server that was running the request.
  void addCrash(std::uint64_t Fingerprint);
  /// Resets the count, because a server answered the request.
  void resetCount(std::uint64_t Fingerprint);
  /// Takes over the \p Count that another VM reports for the request.
  void mergePeerCount(std::uint64_t Fingerprint, unsigned Count);

  /// Returns whether the request must not be sent to a server again.
  bool isBlocked(std::uint64_t Fingerprint) const;

  /// The crashes that this VM counted, and those that other VMs reported.
  struct Counts {
    unsigned Local = 0;
    unsigned Peers = 0;
  };
  Counts countsOf(std::uint64_t Fingerprint) const;
  /// Returns how many requests this VM counted crashes against.
  std::size_t localCountSize() const;

  struct Entry {
    std::uint64_t Fingerprint = 0;
    unsigned Count = 0;
  };
  /// Returns at most \p Limit counts of this VM for the other VMs.
  std::vector<Entry> countsToShare(std::size_t Limit) const;

private:
  struct CrashCount {
    unsigned Local = 0;
    unsigned Peers = 0;
    Instant LastChange;
  };
  void discardOldCounts();

  const Clock &Time;
  std::map<std::uint64_t, CrashCount> CountsByRequest;
};

} // namespace turmericpass

#endif
