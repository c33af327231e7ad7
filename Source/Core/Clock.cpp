#include "Core/Clock.h"

#include <ctime>

namespace turmericpass {

Instant BootClock::now() const {
  timespec Value{};
  clock_gettime(CLOCK_BOOTTIME, &Value);
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Value.tv_sec) +
      std::chrono::nanoseconds(Value.tv_nsec)));
}

std::int64_t BootClock::wallMillis() const {
  using std::chrono::system_clock;
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             system_clock::now().time_since_epoch())
      .count();
}

std::int64_t ManualClock::wallMillis() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             this->Current.time_since_epoch())
      .count();
}

} // namespace turmericpass
