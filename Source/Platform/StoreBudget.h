#ifndef TURMERICPASS_PLATFORM_STOREBUDGET_H
#define TURMERICPASS_PLATFORM_STOREBUDGET_H

#include "Core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <random>

namespace turmericpass {

enum class StoreAccess { Read, Write };

/// How much of a store one process may use. The platform's limits are shared
/// by all processes, so each gets its part of PlatformSettings.
struct StoreLimits {
  double WritesPerSecond = 300;
  double ReadsPerSecond = 1500;
  /// Calls that wait at once, reads and writes each.
  std::size_t QueueLength = 1000;
  /// How long a call may wait before it fails as Unavailable.
  Duration MaxWait = std::chrono::seconds(1);
};

/// Decides when a store may be called: below a rate, and seldom while it is
/// unavailable. Performs no I/O.
class StoreBudget {
public:
  /// The first pause after a store refused a call, and the longest one.
  static constexpr Duration FirstPause = std::chrono::milliseconds(100);
  static constexpr Duration LongestPause = std::chrono::seconds(5);

  /// \p Seed spreads the retries of processes that saw the same outage.
  StoreBudget(const Clock &Time, const StoreLimits &Limits, std::uint64_t Seed);

  /// Returns how long the next call has to wait; 0 if it may start now.
  Duration waitFor(StoreAccess Access);

  /// Counts a call that starts now.
  void start(StoreAccess Access);

  /// Takes note of a call's end. While a store is unavailable one call at a
  /// time is let through, at the end of each pause.
  void finish(bool Unavailable);

  bool pausing() const { return this->Refusals > 0; }

private:
  struct Bucket {
    double PerSecond = 0;
    double Burst = 1;
    double Tokens = 0;
    Instant Since;
  };

  Bucket &bucketOf(StoreAccess Access);
  static Bucket makeBucket(double PerSecond, Instant Now);

  const Clock &Time;
  Bucket Reads;
  Bucket Writes;
  std::mt19937_64 Random;
  /// Pauses in a row without a call that succeeded.
  std::uint32_t Refusals = 0;
  Instant PausedUntil;
  bool Probing = false;
};

} // namespace turmericpass

#endif
