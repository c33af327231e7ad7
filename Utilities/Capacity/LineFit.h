#ifndef TURMERICPASS_UTILITIES_CAPACITY_LINEFIT_H
#define TURMERICPASS_UTILITIES_CAPACITY_LINEFIT_H

#include <vector>

namespace turmericpass {

/// One measured value at one size.
struct FitPoint {
  double Size = 0;
  double Value = 0;
};

/// A straight line through points, by least squares.
struct LineFit {
  double Slope = 0;
  double Intercept = 0;
  /// The root of the mean squared distance of the points from the line, in
  /// the unit of the values.
  double Residual = 0;

  double at(double Size) const { return this->Intercept + this->Slope * Size; }
};

/// Fits a line to \p Points. With fewer than two different sizes the
/// line is flat and goes through the mean of the values.
LineFit fitLine(const std::vector<FitPoint> &Points);

} // namespace turmericpass

#endif
