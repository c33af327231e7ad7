#ifndef TURMERICPASS_SCHEDULING_BURSTRESERVE_H
#define TURMERICPASS_SCHEDULING_BURSTRESERVE_H

#include "Core/Clock.h"

#include <cstdint>

namespace turmericpass {

/// Computes how many idle slots are withheld from batch work, based on recent
/// bursts of online starts.
class BurstReserve {
public:
  void onlineStarted(Instant Now);

  /// Returns how many of the \p Idle slots, which online work does not use, are
  /// withheld from batch work.
  std::uint32_t slots(Instant Now, std::uint32_t Idle);

private:
  void roll(Instant Now);

  Instant SliceStart;
  std::uint32_t InSlice = 0;
  double Peak = 0;
};

} // namespace turmericpass

#endif
