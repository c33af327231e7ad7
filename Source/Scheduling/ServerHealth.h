#ifndef TURMERICPASS_SCHEDULING_SERVERHEALTH_H
#define TURMERICPASS_SCHEDULING_SERVERHEALTH_H

#include "Core/Clock.h"

#include <cstdint>

namespace turmericpass {

enum class HealthState {
  Normal,
  /// Slower than its peers: probes only.
  Slow,
  /// Lost, or it refused connections: probes only.
  Down,
  /// Good again: gets a growing part of its window.
  Returning,
};

/// Whether one server is fit for work, and how much of its window it may use.
class ServerHealth {
public:
  HealthState state() const { return this->State; }
  /// Returns the time of the last change of state.
  Instant since() const { return this->Since; }

  void markSlow(Instant Now);
  /// The server was lost; the first probe waits longer after each loss.
  void markDown(Instant Now);
  /// It refused work or connections; no new work for a moment.
  void refused(Instant Now);

  /// It gave an answer that is not valid. After two in a row it gets probes
  /// only, each later than the one before: it fails so fast that it would
  /// otherwise look like the least loaded server.
  void badAnswer(Instant Now);
  void answeredWell() { this->BadAnswers = 0; }

  /// A sample like the peers' ones; \p Weight tells how much it proves.
  void goodSample(Instant Now, std::uint32_t Weight);
  void badSample() { this->Good = 0; }

  /// The server answers again, so work is given back to it.
  void startReturn(Instant Now);

  void probed(Instant Now);
  /// Returns whether a server that gets probes only may get one now.
  bool probeDue(Instant Now) const;

  /// Returns how much of \p Limit may be used now; 0 for no new work, 1 for
  /// servers that get probes.
  std::uint32_t allowance(std::uint32_t Limit, Instant Now);

private:
  HealthState State = HealthState::Normal;
  Instant Since;
  Instant NextProbe;
  Instant PausedUntil;
  Instant GoodSince;
  std::uint32_t Good = 0;
  std::uint32_t Refusals = 0;
  std::uint32_t Losses = 0;
  std::uint32_t BadAnswers = 0;
};

} // namespace turmericpass

#endif
