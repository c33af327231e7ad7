#ifndef TURMERICPASS_JOBS_LEASEMONITOR_H
#define TURMERICPASS_JOBS_LEASEMONITOR_H

#include "Core/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmericpass {

/// The interval of lease renewals, and the time after which a lease that is not
/// renewed lapses. Three renewals in a row may fail before another batcher
/// takes over.
constexpr Duration LeaseRenewalPeriod = std::chrono::seconds(5);
constexpr Duration LeaseTimeout = std::chrono::seconds(20);

/// Detects batchers that stopped renewing their lease row. It compares the row
/// versions that this process read at two times of its own clock, so that no
/// clock of another VM is involved. A lapse alone changes nothing; the batcher
/// that takes over increments the epoch of the chunk.
class LeaseMonitor {
public:
  /// Records one complete read of the lease rows, which was requested at \p
  /// Sent and answered at \p Answered. A holder without a row has version 0.
  void observe(const std::map<std::string, std::uint64_t> &Versions,
               Instant Sent, Instant Answered);

  /// Returns true if two reads at least LeaseTimeout apart found the same
  /// version, or no row, and no read between them found another version. Starts
  /// to watch \p Holder if it is not watched yet.
  bool hasLapsed(const std::string &Holder);

  /// Returns the version that the last read found, or 0 if there was no row.
  std::uint64_t versionOf(const std::string &Holder) const;

  /// Returns the holders whose row has not changed for \p Age.
  std::vector<std::string> holdersUnchangedFor(Duration Age) const;

private:
  struct Entry {
    std::uint64_t Version = 0;
    Instant UnchangedSince{};
    Instant UnchangedUntil{};
    bool WasRead = false;
  };

  std::map<std::string, Entry> Entries;
};

} // namespace turmericpass

#endif
