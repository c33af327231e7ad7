#include "Scheduling/SampleWindow.h"

#include <algorithm>

namespace turmericpass {

SampleWindow::SampleWindow(std::size_t Bound, Duration Age)
    : Most(Bound), Horizon(Age) {}

void SampleWindow::add(double Value, Instant Now) {
  if (this->Samples.size() < this->Most)
    this->Samples.push_back({Value, Now});
  else
    this->Samples[this->Next % this->Most] = {Value, Now};
  ++this->Next;
}

std::vector<double> SampleWindow::sorted(Instant Now) const {
  std::vector<double> Recent;
  Recent.reserve(this->Samples.size());
  for (const Sample &Each : this->Samples)
    if (Now - Each.At <= this->Horizon)
      Recent.push_back(Each.Value);
  std::sort(Recent.begin(), Recent.end());
  return Recent;
}

double SampleWindow::quantile(const std::vector<double> &Sorted, double Share) {
  const auto Place =
      static_cast<std::size_t>(Share * static_cast<double>(Sorted.size()));
  return Sorted[std::min(Place, Sorted.size() - 1)];
}

} // namespace turmericpass
