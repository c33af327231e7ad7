#ifndef TURMERICPASS_SCHEDULING_CONCURRENCYWINDOW_H
#define TURMERICPASS_SCHEDULING_CONCURRENCYWINDOW_H

#include "Core/Clock.h"

#include <cstdint>

namespace turmericpass {

/// How much one server is given at once, in requests and in tokens. The
/// requests follow the gradient of the time to first token: the window grows
/// while recent times are like the long-term ones and shrinks when they rise,
/// because then work waits inside the server, where nothing has priority.
class ConcurrencyWindow {
public:
  ConcurrencyWindow() = default;
  /// \p Slots bounds the window from above.
  explicit ConcurrencyWindow(std::uint32_t Slots);

  /// Changes the upper bound and keeps what was learnt.
  void setSlots(std::uint32_t Slots);

  /// Takes the time from a start to its first token (or, for plain services,
  /// to the answer).
  void firstTokenAfter(Duration Elapsed);

  /// The server refused work before admission, so the window is too large.
  void refused();

  /// Takes a load report. \p TokensInFlight is what this node has there now.
  void handleLoadReport(double KvCacheUsage, Duration Age,
                        std::uint64_t TokensInFlight, Instant Now);

  /// Returns the most requests at once, at least 1.
  std::uint32_t requests() const;
  /// Returns the most tokens at once, prompts included.
  std::uint64_t tokens() const;

private:
  std::uint32_t Slots = 1;
  /// Whether the window has not met its limit yet.
  bool SlowStart = true;
  double Limit = 1;
  double TokenLimit = 0;
  double ShortMs = 0;
  double LongMs = 0;
  std::uint32_t Samples = 0;
  Instant LastTokenCut;
};

} // namespace turmericpass

#endif
