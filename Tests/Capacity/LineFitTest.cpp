#include "LineFit.h"

#include <cmath>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace turmericpass;

namespace {

bool near(double Left, double Right) {
  return std::abs(Left - Right) <= 1e-6 * (1 + std::abs(Right));
}

} // namespace

// Guards against projections from a wrong line: points of a line give that
// line back without a residual.
Test(LineFit, PointsOfALineGiveTheLine) {
  cr_assert(rc::check([](std::int16_t Slope, std::int32_t Intercept) {
    std::vector<FitPoint> Points;
    for (const double Size : {10.0, 100.0, 410.0, 12000.0})
      Points.push_back({Size, Intercept + Slope * Size});
    const LineFit Fit = fitLine(Points);
    RC_ASSERT(near(Fit.Slope, Slope) && std::abs(Fit.Residual) < 1e-3);
    RC_ASSERT(near(Fit.at(5000), Intercept + Slope * 5000.0));
  }));
}

// Guards against a residual that hides the scatter: the line through
// (0,0), (1,3), (2,0), (3,3) is 0.6 + 0.6 x with a mean square of 1.8.
Test(LineFit, ResidualIsTheScatter) {
  const LineFit Fit = fitLine({{0, 0}, {1, 3}, {2, 0}, {3, 3}});
  cr_assert(near(Fit.Slope, 0.6) && near(Fit.Intercept, 0.6));
  cr_assert(near(Fit.Residual, std::sqrt(1.8)));
}

// Guards against a division by zero where all points have one size.
Test(LineFit, OneSizeGivesAFlatLine) {
  const LineFit Fit = fitLine({{7, 1}, {7, 3}});
  cr_assert(near(Fit.Slope, 0) && near(Fit.Intercept, 2));
  cr_assert(near(Fit.Residual, 1));
  cr_assert(near(fitLine({}).at(3), 0));
}
