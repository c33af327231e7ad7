#ifndef TURMERICPASS_SERVING_STALLPOLICY_H
#define TURMERICPASS_SERVING_STALLPOLICY_H

#include "Core/Clock.h"
#include "Serving/ServingSettings.h"

#include <cstddef>
#include <optional>

namespace turmericpass {

/// Decides for one answer how long its server may make no progress. This class
/// performs no I/O.
///
/// Progress of a stream is a whole event, and progress of another answer is its
/// head or a piece of its body. A server that sends a byte now and then makes
/// no progress. A server that is slow at an even pace does, so a limit follows
/// the pace of the stream.
class StallPolicy {
public:
  /// Starts a new answer, whose server gets the request at \p Now.
  void start(Instant Now);
  /// Records that the head of the answer arrived.
  void recordHead(Instant Now, bool IsEventStream);
  /// Records that a whole event arrived.
  void recordEvent(Instant Now);
  /// Records bytes of a body that is not a stream. Returns whether they are
  /// progress.
  bool recordBody(Instant Now, std::size_t Bytes);

  /// Returns the time since the last progress.
  Duration silence(Instant Now) const { return Now - this->LastProgress; }

  /// Returns how long the server may make no progress before a request that
  /// may be repeated is sent to another server.
  Duration retryLimit(const RouteSettings &Route) const;

  /// Returns how long the server may make no progress before a request that
  /// may not be repeated is given up, or nullopt if only its deadline counts.
  std::optional<Duration> abandonLimit(const RouteSettings &Route) const;

private:
  bool HeadArrived = false;
  bool IsEventStream = false;
  Instant LastProgress;
  Duration LongestGap{0};
  std::size_t BytesSinceProgress = 0;
};

} // namespace turmericpass

#endif
