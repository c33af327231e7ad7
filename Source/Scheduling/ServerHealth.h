#ifndef TURMERICPASS_SCHEDULING_SERVERHEALTH_H
#define TURMERICPASS_SCHEDULING_SERVERHEALTH_H

#include "Core/Clock.h"

#include <cstdint>

namespace turmericpass {

enum class HealthState {
  Normal,
  /// Slower than its peers; gets only probes.
  Slow,
  /// Lost; gets only probes.
  Down,
  /// Recovering from slowness or a loss; gets a growing share of its window.
  Recovering,
};

/// Tracks whether a server is healthy and how much of its window it may use.
class ServerHealth {
public:
  HealthState state() const { return this->State; }
  /// Returns the time of the last change of state.
  Instant stateSince() const { return this->StateSince; }

  void markSlow(Instant Now);
  /// Marks the server as lost. The delay until its first probe doubles with
  /// each loss, up to a limit.
  void markDown(Instant Now);
  /// Pauses new work for a short time after the server refused a request or
  /// connection.
  void recordRefusal(Instant Now);

  /// Records an invalid answer. After two consecutive ones the server gets only
  /// probes, with growing delays. It fails so fast that it would otherwise look
  /// like the least loaded server.
  void recordInvalidAnswer(Instant Now);
  void recordValidAnswer() { this->InvalidAnswerCount = 0; }

  /// Records a latency sample that is similar to those of the peers. \p Weight
  /// is its weight as evidence of recovery.
  void recordGoodSample(Instant Now, std::uint32_t Weight);
  void recordBadSample() { this->GoodSamples = 0; }

  /// Starts to give work to the server again, in growing shares of its window.
  void startRecovery(Instant Now);

  void recordProbe(Instant Now);
  /// Returns whether a server that gets only probes may get one now.
  bool isProbeDue(Instant Now) const;

  /// Returns how many of \p Limit requests may run now: 0 means no new work,
  /// and a server that gets only probes may run 1.
  std::uint32_t allowedRequests(std::uint32_t Limit, Instant Now);

private:
  HealthState State = HealthState::Normal;
  Instant StateSince;
  Instant NextProbeTime;
  Instant PauseEnd;
  Instant GoodSince;
  std::uint32_t GoodSamples = 0;
  std::uint32_t RefusalCount = 0;
  std::uint32_t LossCount = 0;
  std::uint32_t InvalidAnswerCount = 0;
};

} // namespace turmericpass

#endif
