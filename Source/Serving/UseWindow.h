#ifndef TURMERICPASS_SERVING_USEWINDOW_H
#define TURMERICPASS_SERVING_USEWINDOW_H

#include "Core/Clock.h"

#include <array>
#include <cstdint>

namespace turmericpass {

/// Counts the requests of a sliding window: those of all VMs, and those of this
/// VM among them.
class UseWindow {
public:
  /// The window over which the limits of organisations are agreed
  /// (quota_window_s).
  static constexpr Duration Length = std::chrono::seconds(5);

  void add(Instant Now, std::uint64_t Requests, bool IsOwn);

  /// Adds requests of other VMs whose times are not known, evenly over the
  /// window.
  void addSpread(Instant Now, std::uint64_t Requests);

  std::uint64_t total(Instant Now);
  std::uint64_t own(Instant Now);

private:
  static constexpr Duration SlotLength = std::chrono::milliseconds(200);
  /// One more than the window has, because the oldest slot is partly over.
  static constexpr std::size_t SlotCount = Length / SlotLength + 1;

  struct Slot {
    std::uint32_t All = 0;
    std::uint32_t Own = 0;
  };

  void advance(Instant Now);

  std::array<Slot, SlotCount> Slots{};
  std::int64_t Newest = 0;
  std::uint64_t All = 0;
  std::uint64_t Own = 0;
};

} // namespace turmericpass

#endif
