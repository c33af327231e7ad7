#include "Core/SampleWindow.h"

#include <algorithm>

namespace turmericpass {

SampleWindow::SampleWindow(std::size_t MaxSamples, Duration MaxSampleAge)
    : Capacity(MaxSamples), MaxAge(MaxSampleAge) {}

void SampleWindow::add(double Value, Instant Now) {
  if (this->Samples.size() < this->Capacity)
    this->Samples.push_back({Value, Now});
  else
    this->Samples[this->NextIndex % this->Capacity] = {Value, Now};
  ++this->NextIndex;
}

std::vector<double> SampleWindow::sorted(Instant Now) const {
  std::vector<double> Recent;
  Recent.reserve(this->Samples.size());
  for (const Sample &Each : this->Samples)
    if (Now - Each.Time <= this->MaxAge)
      Recent.push_back(Each.Value);
  std::sort(Recent.begin(), Recent.end());
  return Recent;
}

double SampleWindow::quantile(const std::vector<double> &Sorted, double Share) {
  const auto Index =
      static_cast<std::size_t>(Share * static_cast<double>(Sorted.size()));
  return Sorted[std::min(Index, Sorted.size() - 1)];
}

} // namespace turmericpass
