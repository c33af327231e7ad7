#include "BatchJobs/ItemSchedulingPolicy.h"

#include <algorithm>

namespace turmericpass {

namespace {

/// The weight of the newest item in the means.
constexpr double NewestWeight = 0.1;

/// An item runs at least this part of the mean time, however far it came: its
/// prompt is read again.
constexpr double LeastPart = 0.1;

/// Callers leave at least a quarter of the time to items; an item that took
/// longer waited for something else, such as the store or its VM.
constexpr double MostStretch = 4;

void addTo(double &Mean, double Value) {
  Mean = Mean == 0 ? Value : Mean + NewestWeight * (Value - Mean);
}

} // namespace

void ItemSchedulingPolicy::finished(Duration RunTime, Duration Elapsed,
                                    std::uint64_t Events) {
  const auto Micros = static_cast<double>(RunTime.count());
  addTo(this->MeanMicros, Micros);
  if (Micros > 0)
    addTo(this->MeanStretch,
          std::clamp(static_cast<double>(Elapsed.count()) / Micros, 1.0,
                     MostStretch));
  addTo(this->MeanEvents, static_cast<double>(Events));
}

bool ItemSchedulingPolicy::canBeOnTime(Duration Left,
                                       std::uint64_t Events) const {
  const double Done = this->MeanEvents == 0
                          ? 0
                          : static_cast<double>(Events) / this->MeanEvents;
  const double Needed =
      this->MeanMicros * this->MeanStretch * std::max(LeastPart, 1 - Done);
  return static_cast<double>(Left.count()) > Needed;
}

void ItemSchedulingPolicy::started(bool OnTime) {
  this->StartsSinceLate = OnTime ? this->StartsSinceLate + 1 : 0;
}

} // namespace turmericpass
