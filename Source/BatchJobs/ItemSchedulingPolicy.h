#ifndef TURMERICPASS_BATCHJOBS_ITEMSCHEDULINGPOLICY_H
#define TURMERICPASS_BATCHJOBS_ITEMSCHEDULINGPOLICY_H

#include "Core/Clock.h"

#include <cstdint>

namespace turmericpass {

/// Decides which of the waiting items go first. It has no I/O.
///
/// The load pattern that it answers: more items than the free slots can run
/// before they are due, after servers or VMs were lost. In order of age every
/// item would be late by the time it runs. Items that can still be on time go
/// first; the others get one start in eight, so that none waits for ever.
class ItemSchedulingPolicy {
public:
  /// An item has run for \p RunTime within \p Elapsed since its first start,
  /// and had \p Events events.
  void finished(Duration RunTime, Duration Elapsed, std::uint64_t Events);

  /// Whether an item that is due in \p Left and has had \p Events events can
  /// be on time if it starts now.
  bool canBeOnTime(Duration Left, std::uint64_t Events) const;

  /// Whether the next start belongs to an item that will be late.
  bool isLateTurn() const { return this->StartsSinceLate >= LatePeriod - 1; }

  /// An item was started.
  void started(bool OnTime);

private:
  static constexpr int LatePeriod = 8;

  double MeanMicros = 0;
  /// How many times longer than its run an item takes from its first start to
  /// its end, since it gives way to callers meanwhile.
  double MeanStretch = 0;
  double MeanEvents = 0;
  int StartsSinceLate = 0;
};

} // namespace turmericpass

#endif
