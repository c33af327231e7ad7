#include "LineFit.h"

#include <cmath>

namespace turmericpass {

LineFit fitLine(const std::vector<FitPoint> &Points) {
  LineFit Fit;
  if (Points.empty())
    return Fit;
  const auto Count = static_cast<double>(Points.size());
  double MeanSize = 0;
  double MeanValue = 0;
  for (const FitPoint &Each : Points) {
    MeanSize += Each.Size / Count;
    MeanValue += Each.Value / Count;
  }
  // Deviations from the means keep large sizes from cancelling each other.
  double Spread = 0;
  double Joint = 0;
  for (const FitPoint &Each : Points) {
    Spread += (Each.Size - MeanSize) * (Each.Size - MeanSize);
    Joint += (Each.Size - MeanSize) * (Each.Value - MeanValue);
  }
  Fit.Slope = Spread > 0 ? Joint / Spread : 0;
  Fit.Intercept = MeanValue - Fit.Slope * MeanSize;
  double Squares = 0;
  for (const FitPoint &Each : Points) {
    const double Distance = Each.Value - Fit.at(Each.Size);
    Squares += Distance * Distance;
  }
  Fit.Residual = std::sqrt(Squares / Count);
  return Fit;
}

} // namespace turmericpass
