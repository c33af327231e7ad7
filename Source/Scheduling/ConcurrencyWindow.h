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
  void firstTokenAfter(Duration Elapsed);

  /// Reduces the request limit after the server refused a request.
  void refused();

  /// Adjusts the token limit to a load report. \p TokensInFlight is the number
  /// of tokens that this node has in flight at the server.
  void handleLoadReport(double KvUsed, Duration Age,
                        std::uint64_t TokensInFlight, Instant Now);

  /// Returns the limit of concurrent requests, which is at least 1.
  std::uint32_t requests() const;
  /// Returns the limit of tokens in flight, including prompts.
  std::uint64_t tokens() const;

private:
  std::uint32_t Slots = 1;
  /// Whether the request limit still grows by one with each sample, because no
  /// queueing has been detected.
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
