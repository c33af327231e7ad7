#ifndef TURMERICPASS_PLATFORM_STOREBUDGET_H
#define TURMERICPASS_PLATFORM_STOREBUDGET_H

#include "Core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <random>

namespace turmericpass {

enum class StoreAccess { Read, Write };

/// The limits on one process's use of a store. The platform's limits apply to
/// all processes together, so each process gets a share of the rates in
/// PlatformSettings.
struct StoreLimits {
  double WritesPerSecond = 300;
  double ReadsPerSecond = 1500;
  /// The maximum number of waiting calls, separately for reads and writes.
  std::size_t QueueLength = 1000;
  /// How long a call may wait before it fails with Unavailable.
  Duration MaxWait = std::chrono::seconds(1);
};

/// Decides when a call to a store may start: limits the rate of calls, and
/// backs off exponentially while the store is unavailable. Performs no I/O.
class StoreBudget {
public:
  /// The first and the longest pause after the store refused a call.
  static constexpr Duration InitialRetryPause = std::chrono::milliseconds(100);
  static constexpr Duration MaxRetryPause = std::chrono::seconds(5);

  /// \p Seed seeds the jitter of the pauses, so that processes do not retry
  /// simultaneously after an outage.
  StoreBudget(const Clock &Time, const StoreLimits &Limits, std::uint64_t Seed);

  /// Returns how long the next call must wait; 0 if it may start now.
  Duration timeUntilAllowed(StoreAccess Access);

  /// Records the start of a call.
  void recordStart(StoreAccess Access);

  /// Records the end of a call. While the store is unavailable, a single call
  /// is allowed at the end of each pause, which probes the store.
  void recordEnd(bool Unavailable);

  bool isPaused() const { return this->ConsecutivePauses > 0; }

private:
  struct Bucket {
    double PerSecond = 0;
    double Burst = 1;
    double Tokens = 0;
    Instant LastRefill;
  };

  Bucket &bucketOf(StoreAccess Access);
  static Bucket makeBucket(double PerSecond, Instant Now);

  const Clock &Time;
  Bucket Reads;
  Bucket Writes;
  std::mt19937_64 Random;
  /// The number of consecutive pauses since the last successful call.
  std::uint32_t ConsecutivePauses = 0;
  Instant PausedUntil;
  bool IsProbing = false;
};

} // namespace turmericpass

#endif
