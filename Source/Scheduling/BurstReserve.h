#ifndef TURMERICPASS_SCHEDULING_BURSTRESERVE_H
#define TURMERICPASS_SCHEDULING_BURSTRESERVE_H

#include "Core/Clock.h"

#include <cstdint>

namespace turmericpass {

/// Sizes the slots that are withheld from batch by recent bursts of online
/// starts.
class BurstReserve {
public:
  void onlineStarted(Instant Now);

  /// Returns the slots to withhold out of \p Idle, those that online work
  /// leaves free.
  std::uint32_t slots(Instant Now, std::uint32_t Idle);

private:
  void roll(Instant Now);

  Instant SliceStart;
  std::uint32_t InSlice = 0;
  double Peak = 0;
};

} // namespace turmericpass

#endif
