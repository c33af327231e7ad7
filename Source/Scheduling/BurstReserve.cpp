#include "Scheduling/BurstReserve.h"

#include <algorithm>
#include <cmath>

namespace turmericpass {

namespace {

// Preemption may take this long, so starts within this time count as one burst.
constexpr std::chrono::milliseconds Slice{50};
constexpr double HalfLifeMs = 5000;
// Batch work must get 90% of the idle slots. The part of the other 10% that is
// not reserved covers the work lost to preemption, which serves larger bursts.
constexpr double LargestShare = 0.06;

} // namespace

void BurstReserve::roll(Instant Now) {
  if (Now - this->SliceStart < Slice)
    return;
  const double Passed = toMillis(Now - this->SliceStart);
  const double Burst = this->InSlice;
  this->Peak = std::max(Burst, this->Peak) * std::exp2(-Passed / HalfLifeMs);
  this->InSlice = 0;
  this->SliceStart = Now;
}

void BurstReserve::onlineStarted(Instant Now) {
  this->roll(Now);
  ++this->InSlice;
}

std::uint32_t BurstReserve::slots(Instant Now, std::uint32_t Idle) {
  this->roll(Now);
  const double Wanted = std::max<double>(this->InSlice, this->Peak);
  return static_cast<std::uint32_t>(std::min(Wanted, LargestShare * Idle));
}

} // namespace turmericpass
