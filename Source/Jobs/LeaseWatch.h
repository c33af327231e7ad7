#ifndef TURMERICPASS_JOBS_LEASEWATCH_H
#define TURMERICPASS_JOBS_LEASEWATCH_H

#include "Core/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmericpass {

/// When a lease is renewed and when it counts as lapsed. A renewal may fail
/// three times in a row before anyone takes over.
constexpr Duration LeasePeriod = std::chrono::seconds(5);
constexpr Duration LeaseLapse = std::chrono::seconds(20);

/// Decides which batchers stopped renewing their lease row. It compares row
/// versions that this process read at two moments of its own clock; no time
/// of another VM is involved. A lapse alone changes nothing: who takes over
/// raises the chunk's epoch.
class LeaseWatch {
public:
  /// Takes in one whole reading of the lease rows, whose request was sent at
  /// \p Sent and answered at \p Answered. Holders without a row count as
  /// having version 0.
  void observe(const std::map<std::string, std::uint64_t> &Versions,
               Instant Sent, Instant Answered);

  /// True if two readings at least LeaseLapse apart found the same version,
  /// or none, and no reading between them found another. Begins to watch
  /// \p Holder if it is not watched yet.
  bool lapsed(const std::string &Holder);

  /// Returns the version that the last reading found; 0 for no row.
  std::uint64_t versionOf(const std::string &Holder) const;

  /// Returns the holders whose row stood still for \p Age.
  std::vector<std::string> unchangedFor(Duration Age) const;

private:
  struct Entry {
    std::uint64_t Version = 0;
    Instant First{};
    Instant Last{};
    bool Seen = false;
  };

  std::map<std::string, Entry> Entries;
};

} // namespace turmericpass

#endif
