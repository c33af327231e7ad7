#ifndef TURMERICPASS_SCHEDULING_CONCURRENCYWINDOW_H
#define TURMERICPASS_SCHEDULING_CONCURRENCYWINDOW_H

#include "Core/Clock.h"

#include <cstdint>

namespace turmericpass {

/// Limits the requests and tokens that a server processes at once. The request
/// limit follows the gradient of the time to first token: it grows while recent
/// times are close to the long-term mean and shrinks when they rise, because
/// requests then wait inside the server, where they cannot be prioritised.
class ConcurrencyWindow {
public:
  ConcurrencyWindow() = default;
  /// \p Slots is the upper bound of the request limit.
  explicit ConcurrencyWindow(std::uint32_t Slots);

  /// Changes the upper bound and keeps the measured latencies.
  void setSlots(std::uint32_t Slots);

  /// Records the time from the start of an attempt to its first token or, for
  /// plain services, to its answer.
  void recordFirstToken(Duration Elapsed);

  /// Reduces the request limit after the server refused a request.
  void recordRefusal();

  /// Adjusts the token limit to a load report. \p TokensInFlight is the number
  /// of tokens that this node has in flight at the server.
  void handleLoadReport(double KvCacheUsage, Duration Age,
                        std::uint64_t TokensInFlight, Instant Now);

  /// Returns the limit of concurrent requests, which is at least 1.
  std::uint32_t requestLimit() const;
  /// Returns the limit of tokens in flight, including prompts.
  std::uint64_t tokenLimit() const;

private:
  std::uint32_t Slots = 1;
  /// Whether the request limit still grows by one with each sample, because no
  /// queueing has been detected.
  bool IsInSlowStart = true;
  double RequestLimit = 1;
  double TokenLimit = 0;
  double ShortTermMs = 0;
  double LongTermMs = 0;
  std::uint32_t SampleCount = 0;
  Instant LastTokenCutTime;
};

} // namespace turmericpass

#endif
