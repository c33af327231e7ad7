#include "Scheduling/SizeEstimator.h"

#include <algorithm>
#include <cmath>

namespace turmericpass {

namespace {

constexpr double MeanWeight = 0.05;
constexpr double DefaultTokens = 256;
constexpr double DefaultMs = 200;
// The assumed share of the requested maximum while there is no history.
constexpr double DefaultShare = 0.5;
// Engines process prompt tokens about this many times faster than they generate
// tokens.
constexpr double PromptSpeedFactor = 8;
// Four times the median includes most requests of one kind and excludes those
// that occupy a slot several times longer than the rest.
constexpr double LevelFactor = 4;
constexpr double MinTokenBound = 32;
constexpr double MinMsBound = 50;
constexpr std::size_t MaxMedianSamples = 255;
constexpr std::size_t MedianRefreshSamples = 20;
// Limits the memory use. All histories are discarded when the limit is reached.
constexpr std::size_t MaxHistories = 50000;

/// Updates a moving geometric mean with \p Sample. Stragglers would distort an
/// arithmetic mean.
double updateGeometricMean(double Mean, double Sample) {
  return Mean * std::pow(Sample / Mean, MeanWeight);
}

} // namespace

SizeEstimator::SizeEstimator(bool Model) : IsModel(Model) {}

double SizeEstimator::expectedSize(const Submit &Work) const {
  const auto Found = this->Histories.find({Work.Customer, Work.Class});
  const bool Known = Found != this->Histories.end();
  if (!this->IsModel)
    return Known ? Found->second.Size : DefaultMs;
  if (Work.MaxTokens == 0)
    return Known ? Found->second.Size : DefaultTokens;
  const double Share =
      Known && Found->second.HasShare ? Found->second.Share : DefaultShare;
  return std::max(1.0, Share * Work.MaxTokens);
}

double SizeEstimator::estimateCost(const Submit &Work) const {
  const double Prompt =
      this->IsModel ? Work.PromptTokens / PromptSpeedFactor : 0;
  return Prompt + this->expectedSize(Work);
}

void SizeEstimator::recordSize(const Submit &Work, bool IsBatch,
                               double Observed) {
  const double Size = std::max(1.0, Observed);
  if (this->Histories.size() >= MaxHistories)
    this->Histories.clear();
  const auto [Position, IsNew] =
      this->Histories.try_emplace({Work.Customer, Work.Class});
  History &CustomerHistory = Position->second;
  CustomerHistory.Size =
      IsNew ? Size : updateGeometricMean(CustomerHistory.Size, Size);
  if (this->IsModel && Work.MaxTokens != 0) {
    const double Share = Size / Work.MaxTokens;
    CustomerHistory.Share =
        CustomerHistory.HasShare
            ? updateGeometricMean(CustomerHistory.Share, Share)
            : Share;
    CustomerHistory.HasShare = true;
  }
  Median &RecentMedian = this->Medians[IsBatch ? 1 : 0];
  if (RecentMedian.Samples.size() < MaxMedianSamples)
    RecentMedian.Samples.push_back(Size);
  else
    RecentMedian.Samples[RecentMedian.NextIndex % MaxMedianSamples] = Size;
  // The median changes slowly, so it is recomputed only after every
  // MedianRefreshSamples samples.
  if (++RecentMedian.NextIndex % MedianRefreshSamples != 0)
    return;
  std::vector<double> Sorted = RecentMedian.Samples;
  const auto Middle =
      Sorted.begin() + static_cast<std::ptrdiff_t>(Sorted.size() / 2);
  std::nth_element(Sorted.begin(), Middle, Sorted.end());
  RecentMedian.Value = *Middle;
}

double SizeEstimator::levelBound(bool IsBatch, std::uint32_t Level) const {
  const double RecentMedian = this->Medians[IsBatch ? 1 : 0].Value;
  const double DefaultBound = this->IsModel ? DefaultTokens : DefaultMs * 2;
  const double MinBound = this->IsModel ? MinTokenBound : MinMsBound;
  const double ShortBound =
      RecentMedian == 0 ? DefaultBound
                        : std::max(MinBound, LevelFactor * RecentMedian);
  return ShortBound * std::pow(LevelFactor, Level);
}

std::uint32_t SizeEstimator::levelFor(bool IsBatch, double Size) const {
  std::uint32_t Level = 0;
  while (Level < MaxLevel && Size > this->levelBound(IsBatch, Level))
    ++Level;
  return Level;
}

} // namespace turmericpass
