#include "Scheduling/LatencyTracker.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace turmericpass {

namespace {

constexpr std::chrono::seconds Horizon{5};
constexpr std::size_t FirstSamples = 512;
constexpr std::size_t GapSamples = 512;
// Each token of each stream gives a sample, so only one in four is kept.
constexpr std::uint64_t GapSampling = 4;
constexpr std::chrono::milliseconds RefreshInterval{50};
constexpr double Weight = 0.3;
constexpr std::uint32_t EnoughSamples = 3;
constexpr std::size_t EnoughForQuantile = 20;
// Long enough that a single pause, during which an engine processes a long
// prompt, does not dominate the mean.
constexpr double GapFadeMs = 200;
// Healthy servers differ by less than this factor. A burst of load by a
// neighbour on the same machine slows a server by more.
constexpr double SlowFactor = 2.5;
constexpr double GoodFactor = 1.8;
// Processing a long prompt pauses the other streams of the server for some
// steps.
constexpr double SilenceFactor = 6;
constexpr double SilenceOverHigh = 2;
constexpr double LeastSilenceMs = 40;
// Smaller differences are caused by jitter of the network and of timers.
constexpr double LeastExcessMs = 5;
constexpr double StallFactor = 10;
constexpr double LeastStallMs = 100;
constexpr double UnknownStallMs = 2000;
constexpr double HedgeQuantile = 0.95;
// If all times are similar, the 95th percentile is close to the median, where a
// copy would be wasted.
constexpr double HedgeOverMedian = 1.25;

Duration fromMillis(double Value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Value));
}

} // namespace

LatencyTracker::LatencyTracker()
    : Firsts(FirstSamples, Horizon), Gaps(GapSamples, Horizon) {}

void LatencyTracker::Mean::add(double Sample, Instant Now) {
  if (this->Count == 0 || Now - this->At > Horizon) {
    this->Millis = Sample;
    this->Count = 0;
  }
  this->Millis += Weight * (Sample - this->Millis);
  ++this->Count;
  this->At = Now;
}

void LatencyTracker::firstToken(const std::string &Server, Duration Elapsed,
                                bool Fit, Instant Now) {
  this->Servers[Server].First.add(toMillis(Elapsed), Now);
  if (Fit)
    this->Firsts.add(toMillis(Elapsed), Now);
}

void LatencyTracker::gap(const std::string &Server, Duration Elapsed, bool Fit,
                         Instant Now) {
  this->Servers[Server].Gap.add(toMillis(Elapsed), Now);
  if (Fit && ++this->GapsSeen % GapSampling == 0)
    this->Gaps.add(toMillis(Elapsed), Now);
}

void LatencyTracker::overdue(const std::string &Server, Duration Elapsed,
                             Instant Now) {
  this->Servers[Server].First.add(toMillis(Elapsed), Now);
}

void LatencyTracker::FadingMean::add(double Sample, Instant Now) {
  const double Kept = std::exp(-toMillis(Now - this->At) / GapFadeMs);
  this->Sum = this->Sum * Kept + Sample;
  this->Weight = this->Weight * Kept + 1;
  ++this->Count;
  this->At = Now;
}

double LatencyTracker::median(std::vector<double> Values) {
  // A single server has no peers to compare it with.
  if (Values.size() < 2)
    return 0;
  // The lower middle value is used, so that of two servers the slower one is
  // compared with the faster one.
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

void LatencyTracker::refreshMedians(Instant Now) {
  std::vector<double> First;
  std::vector<double> Gap;
  for (const auto &[Name, Times] : this->Servers) {
    if (Times.First.Count != 0 && Now - Times.First.At <= Horizon)
      First.push_back(Times.First.Millis);
    if (Times.Gap.Count != 0 && Now - Times.Gap.At <= Horizon)
      Gap.push_back(Times.Gap.millis());
  }
  this->MedianFirst = median(std::move(First));
  this->MedianGap = median(std::move(Gap));
}

void LatencyTracker::refresh(Instant Now) {
  if (Now - this->Refreshed < RefreshInterval)
    return;
  this->Refreshed = Now;
  this->refreshMedians(Now);
  const std::vector<double> Gap = this->Gaps.sorted(Now);
  this->HighGap = Gap.empty() ? 0 : SampleWindow::quantile(Gap, HedgeQuantile);
  const std::vector<double> First = this->Firsts.sorted(Now);
  this->HedgeAfter =
      First.size() < EnoughForQuantile
          ? 0
          : std::max(SampleWindow::quantile(First, HedgeQuantile),
                     HedgeOverMedian * SampleWindow::quantile(First, 0.5));
}

bool LatencyTracker::isSlow(const std::string &Server, Duration Silence,
                            Duration FirstSilence) const {
  const auto Found = this->Servers.find(Server);
  const ServerTimes Own =
      Found == this->Servers.end() ? ServerTimes{} : Found->second;
  const auto Exceeds = [](double Millis, double Median) {
    return Median != 0 && Millis > SlowFactor * Median &&
           Millis > Median + LeastExcessMs;
  };
  if ((Own.First.Count >= EnoughSamples &&
       Exceeds(Own.First.Millis, this->MedianFirst)) ||
      (Own.Gap.Count >= EnoughSamples &&
       Exceeds(Own.Gap.millis(), this->MedianGap)))
    return true;
  if (this->MedianFirst != 0 &&
      toMillis(FirstSilence) >
          std::max(LeastSilenceMs, SilenceFactor * this->MedianFirst))
    return true;
  return this->MedianGap != 0 &&
         toMillis(Silence) >
             std::max({LeastSilenceMs, SilenceFactor * this->MedianGap,
                       SilenceOverHigh * this->HighGap});
}

bool LatencyTracker::isGoodGap(Duration Elapsed) const {
  return toMillis(Elapsed) <= std::max(GoodFactor * this->MedianGap,
                                       this->MedianGap + LeastExcessMs);
}

bool LatencyTracker::isGoodFirst(Duration Elapsed) const {
  return toMillis(Elapsed) <= std::max(GoodFactor * this->MedianFirst,
                                       this->MedianFirst + LeastExcessMs);
}

std::optional<Duration> LatencyTracker::hedgeDelay() const {
  if (this->HedgeAfter == 0)
    return std::nullopt;
  return fromMillis(this->HedgeAfter);
}

Duration LatencyTracker::stallLimit() const {
  if (this->MedianGap == 0)
    return fromMillis(UnknownStallMs);
  return fromMillis(std::max({LeastStallMs, StallFactor * this->MedianGap,
                              SilenceOverHigh * this->HighGap}));
}

} // namespace turmericpass
