#ifndef TURMERICPASS_SCHEDULING_BURSTRESERVE_H
#define TURMERICPASS_SCHEDULING_BURSTRESERVE_H

#include "Core/Clock.h"

#include <cstdint>

namespace turmericpass {

/// Computes how many idle slots are withheld from batch work, based on recent
/// bursts of online starts.
class BurstReserve {
public:
  void recordOnlineStart(Instant Now);

  /// Returns how many of \p IdleSlots, the slots that online work does not use,
  /// are withheld from batch work.
  std::uint32_t reservedSlots(Instant Now, std::uint32_t IdleSlots);

private:
  void advanceSlice(Instant Now);

  Instant SliceStart;
  std::uint32_t StartsInSlice = 0;
  double DecayedPeak = 0;
};

} // namespace turmericpass

#endif
