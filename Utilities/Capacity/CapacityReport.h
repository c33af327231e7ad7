#ifndef TURMERICPASS_UTILITIES_CAPACITY_CAPACITYREPORT_H
#define TURMERICPASS_UTILITIES_CAPACITY_CAPACITYREPORT_H

#include "LineFit.h"

#include <string>
#include <vector>

namespace turmericpass {

/// Collects the points of all probes, and prints each with its fit.
class CapacityReport {
public:
  /// Adds and prints a point of the series \p Name, such as
  /// "digest.tick.cpu_us". \p Axis names what \p Size counts.
  void add(const std::string &Name, const std::string &Axis, double Size,
           double Value);

  /// Prints the fit of each series.
  void printFits() const;

  /// Returns all points and fits as JSON.
  std::string toJson() const;

private:
  struct Series {
    std::string Name;
    std::string Axis;
    std::vector<FitPoint> Points;
  };

  std::vector<Series> All;
};

/// Returns the processor time of all threads of this process, in microseconds.
double cpuMicros();

/// Returns the processor time of the calling thread, in microseconds.
double threadMicros();

/// Returns the bytes that the heap has handed out. The resident size does not
/// fall when a probe ends, so the next one would seem to need nothing.
double heapBytes();

} // namespace turmericpass

#endif
