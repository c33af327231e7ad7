#ifndef TURMERICPASS_TESTS_SUPPORT_RUNUNTIL_H
#define TURMERICPASS_TESTS_SUPPORT_RUNUNTIL_H

#include "Core/Clock.h"
#include "Loop/EventLoop.h"

#include <functional>

namespace turmericpass {

/// Turns \p Loop until \p Holds, for at most 20 seconds, which no healthy run
/// comes near. Returns whether it holds.
inline bool runUntil(EventLoop &Loop, const std::function<bool()> &Holds) {
  using namespace std::chrono_literals;
  const Instant End = Loop.clock().now() + 20s;
  while (!Holds() && Loop.clock().now() < End)
    Loop.runOnce(5ms);
  return Holds();
}

/// Turns \p Loop for \p Span.
inline void runFor(EventLoop &Loop, Duration Span) {
  using namespace std::chrono_literals;
  const Instant End = Loop.clock().now() + Span;
  while (Loop.clock().now() < End)
    Loop.runOnce(5ms);
}

} // namespace turmericpass

#endif
