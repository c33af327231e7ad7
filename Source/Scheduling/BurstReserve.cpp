#include "Scheduling/BurstReserve.h"

#include <algorithm>
#include <cmath>

namespace turmericpass {

namespace {

// Preemption may take this long, so starts within this time count as one burst.
constexpr std::chrono::milliseconds SliceLength{50};
constexpr double PeakHalfLifeMs = 5000;
// Batch work must get 90% of the idle slots. The part of the other 10% that is
// not reserved covers the work lost to preemption, which serves larger bursts.
constexpr double MaxReserveShare = 0.06;

} // namespace

void BurstReserve::advanceSlice(Instant Now) {
  if (Now - this->SliceStart < SliceLength)
    return;
  const double ElapsedMs = toMillis(Now - this->SliceStart);
  const double Burst = this->StartsInSlice;
  this->DecayedPeak = std::max(Burst, this->DecayedPeak) *
                      std::exp2(-ElapsedMs / PeakHalfLifeMs);
  this->StartsInSlice = 0;
  this->SliceStart = Now;
}

void BurstReserve::recordOnlineStart(Instant Now) {
  this->advanceSlice(Now);
  ++this->StartsInSlice;
}

std::uint32_t BurstReserve::reservedSlots(Instant Now,
                                          std::uint32_t IdleSlots) {
  this->advanceSlice(Now);
  const double WantedSlots =
      std::max<double>(this->StartsInSlice, this->DecayedPeak);
  return static_cast<std::uint32_t>(
      std::min(WantedSlots, MaxReserveShare * IdleSlots));
}

} // namespace turmericpass
