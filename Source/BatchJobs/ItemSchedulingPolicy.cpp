#include "BatchJobs/ItemSchedulingPolicy.h"

#include <algorithm>

namespace turmericpass {

namespace {

/// The weight of the newest sample in the exponential moving averages.
constexpr double NewestSampleWeight = 0.1;

/// The least estimated run time of a resumed item, as a fraction of the mean,
/// because the server processes its prompt again.
constexpr double MinRunTimeFraction = 0.1;

/// The largest ratio of elapsed time to run time that is averaged. Callers'
/// requests leave at least a quarter of the time to items, so a larger ratio
/// has another cause, such as an outage of the store or of the VM.
constexpr double MaxStretch = 4;

void updateMean(double &Mean, double Value) {
  Mean = Mean == 0 ? Value : Mean + NewestSampleWeight * (Value - Mean);
}

} // namespace

void ItemSchedulingPolicy::recordCompletion(Duration RunTime, Duration Elapsed,
                                            std::uint64_t Events) {
  const auto RunTimeMicros = static_cast<double>(RunTime.count());
  updateMean(this->MeanRunTimeMicros, RunTimeMicros);
  if (RunTimeMicros > 0)
    updateMean(this->MeanStretch,
               std::clamp(static_cast<double>(Elapsed.count()) / RunTimeMicros,
                          1.0, MaxStretch));
  updateMean(this->MeanEvents, static_cast<double>(Events));
}

bool ItemSchedulingPolicy::canBeOnTime(Duration TimeLeft,
                                       std::uint64_t Events) const {
  const double CompletedFraction =
      this->MeanEvents == 0 ? 0
                            : static_cast<double>(Events) / this->MeanEvents;
  const double RequiredMicros =
      this->MeanRunTimeMicros * this->MeanStretch *
      std::max(MinRunTimeFraction, 1 - CompletedFraction);
  return static_cast<double>(TimeLeft.count()) > RequiredMicros;
}

void ItemSchedulingPolicy::recordStart(bool OnTime) {
  this->StartsSinceLate = OnTime ? this->StartsSinceLate + 1 : 0;
}

} // namespace turmericpass
