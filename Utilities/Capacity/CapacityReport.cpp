#include "CapacityReport.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <nlohmann/json.hpp>

namespace turmericpass {

void CapacityReport::add(const std::string &Name, const std::string &Axis,
                         double Size, double Value) {
  std::printf("point %s %s=%g %g\n", Name.c_str(), Axis.c_str(), Size, Value);
  std::fflush(stdout);
  auto Known =
      std::find_if(this->All.begin(), this->All.end(),
                   [&](const Series &Each) { return Each.Name == Name; });
  if (Known == this->All.end()) {
    this->All.push_back({Name, Axis, {}});
    Known = this->All.end() - 1;
  }
  Known->Points.push_back({Size, Value});
}

void CapacityReport::printFits() const {
  for (const Series &Each : this->All) {
    const LineFit Fit = fitLine(Each.Points);
    std::printf("fit %s slope=%g per %s intercept=%g residual=%g points=%zu\n",
                Each.Name.c_str(), Fit.Slope, Each.Axis.c_str(), Fit.Intercept,
                Fit.Residual, Each.Points.size());
  }
}

std::string CapacityReport::toJson() const {
  nlohmann::json Root = nlohmann::json::array();
  for (const Series &Each : this->All) {
    const LineFit Fit = fitLine(Each.Points);
    nlohmann::json Points = nlohmann::json::array();
    for (const FitPoint &Point : Each.Points)
      Points.push_back({Point.Size, Point.Value});
    Root.push_back({{"name", Each.Name},
                    {"axis", Each.Axis},
                    {"points", std::move(Points)},
                    {"slope", Fit.Slope},
                    {"intercept", Fit.Intercept},
                    {"residual", Fit.Residual}});
  }
  return Root.dump(1);
}

namespace {

double micros(clockid_t Source) {
  timespec Used{};
  clock_gettime(Source, &Used);
  return static_cast<double>(Used.tv_sec) * 1e6 +
         static_cast<double>(Used.tv_nsec) / 1e3;
}

} // namespace

double cpuMicros() { return micros(CLOCK_PROCESS_CPUTIME_ID); }

double threadMicros() { return micros(CLOCK_THREAD_CPUTIME_ID); }

double heapBytes() {
  const struct mallinfo2 Heap = mallinfo2();
  return static_cast<double>(Heap.uordblks + Heap.hblkhd);
}

} // namespace turmericpass
