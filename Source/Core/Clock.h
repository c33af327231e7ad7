#ifndef TURMERICPASS_CORE_CLOCK_H
#define TURMERICPASS_CORE_CLOCK_H

#include <chrono>
#include <cstdint>

namespace turmericpass {

using Duration = std::chrono::microseconds;

/// The time base of the runtime: time since boot, including suspension.
struct BootTime {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<BootTime>;
};

/// A point in time since the boot of this VM. It is not comparable between
/// VMs.
using Instant = BootTime::time_point;

/// The source of the current time. Tests use ManualClock.
class Clock {
public:
  virtual ~Clock() = default;

  /// Returns the current time, which never decreases.
  virtual Instant now() const = 0;

  /// Returns milliseconds since 1970-01-01 UTC, for logs and other
  /// records. It may jump, so no safety decision depends on it.
  virtual std::int64_t wallMillis() const = 0;
};

/// Reads CLOCK_BOOTTIME, because CLOCK_MONOTONIC does not advance while a VM
/// is suspended, so an expired lease would appear to be valid.
class BootClock : public Clock {
public:
  Instant now() const override;
  std::int64_t wallMillis() const override;
};

/// A clock that advances only by calls of advance().
class ManualClock : public Clock {
public:
  Instant now() const override { return this->Current; }
  std::int64_t wallMillis() const override;

  void advance(Duration By) { this->Current += By; }

private:
  Instant Current{std::chrono::seconds(1000)};
};

/// Returns \p Value in milliseconds with fractions.
inline double toMillis(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

} // namespace turmericpass

#endif
