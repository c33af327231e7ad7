#include "Scheduling/LatencyTracker.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace turmericpass {

namespace {

constexpr std::chrono::seconds SampleMaxAge{5};
constexpr std::size_t MaxFirstTokenSamples = 512;
constexpr std::size_t MaxGapSamples = 512;
// Each token of each stream gives a sample, so only one in four is kept.
constexpr std::uint64_t GapSamplingInterval = 4;
constexpr std::chrono::milliseconds RefreshInterval{50};
constexpr double MeanWeight = 0.3;
constexpr std::uint32_t MinSamples = 3;
constexpr std::size_t MinQuantileSamples = 20;
// Long enough that a single pause, during which an engine processes a long
// prompt, does not dominate the mean.
constexpr double GapDecayMs = 200;
// Healthy servers differ by less than this factor. A burst of load from a
// neighbour slows a server by more.
constexpr double SlowFactor = 2.5;
constexpr double GoodFactor = 1.8;
// Processing a long prompt pauses the other streams of the server for some
// steps.
constexpr double SilenceFactor = 6;
constexpr double HighGapFactor = 2;
constexpr double MinSilenceMs = 40;
// Smaller differences are caused by jitter of the network and of timers.
constexpr double MinExcessMs = 5;
constexpr double StallFactor = 10;
constexpr double MinStallMs = 100;
constexpr double DefaultStallMs = 2000;
constexpr double HedgeQuantile = 0.95;
// If all times are similar, the 95th percentile is close to the median, where a
// copy would be wasted.
constexpr double HedgeMedianFactor = 1.25;

Duration fromMillis(double Value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Value));
}

} // namespace

LatencyTracker::LatencyTracker()
    : FirstTokenTimes(MaxFirstTokenSamples, SampleMaxAge),
      GapTimes(MaxGapSamples, SampleMaxAge) {}

void LatencyTracker::MovingMean::add(double Sample, Instant Now) {
  if (this->Count == 0 || Now - this->LastSampleTime > SampleMaxAge) {
    this->MeanMs = Sample;
    this->Count = 0;
  }
  this->MeanMs += MeanWeight * (Sample - this->MeanMs);
  ++this->Count;
  this->LastSampleTime = Now;
}

void LatencyTracker::recordFirstToken(const std::string &Server,
                                      Duration Elapsed, bool IsHealthy,
                                      Instant Now) {
  this->Servers[Server].FirstToken.add(toMillis(Elapsed), Now);
  if (IsHealthy)
    this->FirstTokenTimes.add(toMillis(Elapsed), Now);
}

void LatencyTracker::recordGap(const std::string &Server, Duration Elapsed,
                               bool IsHealthy, Instant Now) {
  this->Servers[Server].Gap.add(toMillis(Elapsed), Now);
  if (IsHealthy && ++this->GapCount % GapSamplingInterval == 0)
    this->GapTimes.add(toMillis(Elapsed), Now);
}

void LatencyTracker::recordOverdue(const std::string &Server, Duration Elapsed,
                                   Instant Now) {
  this->Servers[Server].FirstToken.add(toMillis(Elapsed), Now);
}

void LatencyTracker::DecayingMean::add(double Sample, Instant Now) {
  const double Decay =
      std::exp(-toMillis(Now - this->LastSampleTime) / GapDecayMs);
  this->Sum = this->Sum * Decay + Sample;
  this->Weight = this->Weight * Decay + 1;
  ++this->Count;
  this->LastSampleTime = Now;
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

void LatencyTracker::recomputeMedians(Instant Now) {
  std::vector<double> First;
  std::vector<double> Gap;
  for (const auto &[Name, Times] : this->Servers) {
    if (Times.FirstToken.Count != 0 &&
        Now - Times.FirstToken.LastSampleTime <= SampleMaxAge)
      First.push_back(Times.FirstToken.MeanMs);
    if (Times.Gap.Count != 0 && Now - Times.Gap.LastSampleTime <= SampleMaxAge)
      Gap.push_back(Times.Gap.meanMs());
  }
  this->MedianFirstTokenMs = median(std::move(First));
  this->MedianGapMs = median(std::move(Gap));
}

void LatencyTracker::refreshStatistics(Instant Now) {
  if (Now - this->LastRefreshTime < RefreshInterval)
    return;
  this->LastRefreshTime = Now;
  this->recomputeMedians(Now);
  const std::vector<double> Gap = this->GapTimes.sorted(Now);
  this->HighGapMs =
      Gap.empty() ? 0 : SampleWindow::quantile(Gap, HedgeQuantile);
  const std::vector<double> First = this->FirstTokenTimes.sorted(Now);
  this->HedgeDelayMs =
      First.size() < MinQuantileSamples
          ? 0
          : std::max(SampleWindow::quantile(First, HedgeQuantile),
                     HedgeMedianFactor * SampleWindow::quantile(First, 0.5));
}

bool LatencyTracker::isSlow(const std::string &Server, Duration Silence,
                            Duration FirstSilence) const {
  const auto Found = this->Servers.find(Server);
  const ServerTimes OwnTimes =
      Found == this->Servers.end() ? ServerTimes{} : Found->second;
  const auto Exceeds = [](double MeanMs, double Median) {
    return Median != 0 && MeanMs > SlowFactor * Median &&
           MeanMs > Median + MinExcessMs;
  };
  if ((OwnTimes.FirstToken.Count >= MinSamples &&
       Exceeds(OwnTimes.FirstToken.MeanMs, this->MedianFirstTokenMs)) ||
      (OwnTimes.Gap.Count >= MinSamples &&
       Exceeds(OwnTimes.Gap.meanMs(), this->MedianGapMs)))
    return true;
  if (this->MedianFirstTokenMs != 0 &&
      toMillis(FirstSilence) >
          std::max(MinSilenceMs, SilenceFactor * this->MedianFirstTokenMs))
    return true;
  return this->MedianGapMs != 0 &&
         toMillis(Silence) >
             std::max({MinSilenceMs, SilenceFactor * this->MedianGapMs,
                       HighGapFactor * this->HighGapMs});
}

bool LatencyTracker::isNormalGap(Duration Elapsed) const {
  return toMillis(Elapsed) <= std::max(GoodFactor * this->MedianGapMs,
                                       this->MedianGapMs + MinExcessMs);
}

bool LatencyTracker::isNormalFirstToken(Duration Elapsed) const {
  return toMillis(Elapsed) <= std::max(GoodFactor * this->MedianFirstTokenMs,
                                       this->MedianFirstTokenMs + MinExcessMs);
}

std::optional<Duration> LatencyTracker::hedgeDelay() const {
  if (this->HedgeDelayMs == 0)
    return std::nullopt;
  return fromMillis(this->HedgeDelayMs);
}

Duration LatencyTracker::stallThreshold() const {
  if (this->MedianGapMs == 0)
    return fromMillis(DefaultStallMs);
  return fromMillis(std::max({MinStallMs, StallFactor * this->MedianGapMs,
                              HighGapFactor * this->HighGapMs}));
}

} // namespace turmericpass
