#ifndef TURMERICPASS_BATCHJOBS_ITEMSCHEDULINGPOLICY_H
#define TURMERICPASS_BATCHJOBS_ITEMSCHEDULINGPOLICY_H

#include "Core/Clock.h"

#include <cstdint>

namespace turmericpass {

/// Decides which waiting items start first. Performs no I/O.
///
/// The policy is made for backlogs after the loss of servers or VMs, when there
/// are more items than the free slots can run before their deadlines. If items
/// started in order of age, each would be late by the time it runs. Therefore
/// items that can still meet their deadline start first. Late items get one
/// start in LatePeriod, so that they do not starve.
class ItemSchedulingPolicy {
public:
  /// Records a completed item. It produced \p Events events and ran for
  /// \p RunTime of the \p Elapsed time since its first start.
  void recordCompletion(Duration RunTime, Duration Elapsed,
                        std::uint64_t Events);

  /// Estimates whether an item that is due in \p TimeLeft and has produced
  /// \p Events events meets its deadline if it starts now.
  bool canBeOnTime(Duration TimeLeft, std::uint64_t Events) const;

  /// Returns whether the next start is reserved for a late item.
  bool isNextStartForLateItem() const {
    return this->StartsSinceLate >= LatePeriod - 1;
  }

  /// Records that an item started. \p OnTime is the result of canBeOnTime().
  void recordStart(bool OnTime);

private:
  /// One start in this many is reserved for a late item.
  static constexpr int LatePeriod = 8;

  double MeanRunTimeMicros = 0;
  /// The mean ratio of the elapsed time to the run time of an item. It exceeds
  /// 1 because items are preempted by callers' requests.
  double MeanStretch = 0;
  double MeanEvents = 0;
  int StartsSinceLate = 0;
};

} // namespace turmericpass

#endif
