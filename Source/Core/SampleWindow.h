#ifndef TURMERICPASS_CORE_SAMPLEWINDOW_H
#define TURMERICPASS_CORE_SAMPLEWINDOW_H

#include "Core/Clock.h"

#include <cstddef>
#include <vector>

namespace turmericpass {

/// Holds the last samples of a quantity and ignores those that are too old.
class SampleWindow {
public:
  SampleWindow(std::size_t Capacity, Duration MaxAge);

  void add(double Value, Instant Now);

  /// Returns the recent samples in ascending order.
  std::vector<double> sorted(Instant Now) const;

  /// Returns the \p Share quantile of \p Sorted, which must not be empty.
  static double quantile(const std::vector<double> &Sorted, double Share);

private:
  struct Sample {
    double Value = 0;
    Instant Time;
  };

  std::size_t Capacity;
  Duration MaxAge;
  std::vector<Sample> Samples;
  std::size_t NextIndex = 0;
};

} // namespace turmericpass

#endif
