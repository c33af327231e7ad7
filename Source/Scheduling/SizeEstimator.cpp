#include "Scheduling/SizeEstimator.h"

#include <algorithm>
#include <cmath>

namespace turmericpass {

namespace {

constexpr double Weight = 0.05;
constexpr double UnknownTokens = 256;
constexpr double UnknownMillis = 200;
// The assumed share of the requested maximum while there is no history.
constexpr double UnknownShare = 0.5;
// Engines process prompt tokens about this many times faster than they generate
// tokens.
constexpr double PromptSpeed = 8;
// Four times the median includes most requests of one kind and excludes those
// that occupy a slot several times longer than the rest.
constexpr double ShortFactor = 4;
constexpr double LeastTokenBound = 32;
constexpr double LeastMillisBound = 50;
constexpr std::size_t MedianSamples = 255;
constexpr std::size_t EnoughSamples = 20;
// Limits the memory use. All histories are discarded when the limit is reached.
constexpr std::size_t MostHistories = 50000;

/// Updates a moving geometric mean with \p Sample. Stragglers would distort an
/// arithmetic mean.
double towards(double Mean, double Sample) {
  return Mean * std::pow(Sample / Mean, Weight);
}

} // namespace

SizeEstimator::SizeEstimator(bool Model) : IsModel(Model) {}

double SizeEstimator::expect(const Submit &Work) const {
  const auto Found = this->Histories.find({Work.Customer, Work.Class});
  const bool Known = Found != this->Histories.end();
  if (!this->IsModel)
    return Known ? Found->second.Size : UnknownMillis;
  if (Work.MaxTokens == 0)
    return Known ? Found->second.Size : UnknownTokens;
  const double Share =
      Known && Found->second.HasShare ? Found->second.Share : UnknownShare;
  return std::max(1.0, Share * Work.MaxTokens);
}

double SizeEstimator::cost(const Submit &Work) const {
  const double Prompt = this->IsModel ? Work.PromptTokens / PromptSpeed : 0;
  return Prompt + this->expect(Work);
}

void SizeEstimator::observe(const Submit &Work, bool IsBatch, double Observed) {
  const double Size = std::max(1.0, Observed);
  if (this->Histories.size() >= MostHistories)
    this->Histories.clear();
  const auto [Place, IsNew] =
      this->Histories.try_emplace({Work.Customer, Work.Class});
  History &Past = Place->second;
  Past.Size = IsNew ? Size : towards(Past.Size, Size);
  if (this->IsModel && Work.MaxTokens != 0) {
    const double Share = Size / Work.MaxTokens;
    Past.Share = Past.HasShare ? towards(Past.Share, Share) : Share;
    Past.HasShare = true;
  }
  Median &Mid = this->Medians[IsBatch ? 1 : 0];
  if (Mid.Recent.size() < MedianSamples)
    Mid.Recent.push_back(Size);
  else
    Mid.Recent[Mid.Next % MedianSamples] = Size;
  // The median changes slowly, so it is recomputed only once in a number of
  // samples.
  if (++Mid.Next % EnoughSamples != 0)
    return;
  std::vector<double> Sorted = Mid.Recent;
  const auto Middle =
      Sorted.begin() + static_cast<std::ptrdiff_t>(Sorted.size() / 2);
  std::nth_element(Sorted.begin(), Middle, Sorted.end());
  Mid.Value = *Middle;
}

double SizeEstimator::bound(bool IsBatch, std::uint32_t Level) const {
  const double Mid = this->Medians[IsBatch ? 1 : 0].Value;
  const double Unknown = this->IsModel ? UnknownTokens : UnknownMillis * 2;
  const double Least = this->IsModel ? LeastTokenBound : LeastMillisBound;
  const double First = Mid == 0 ? Unknown : std::max(Least, ShortFactor * Mid);
  return First * std::pow(ShortFactor, Level);
}

std::uint32_t SizeEstimator::levelOf(bool IsBatch, double Size) const {
  std::uint32_t Level = 0;
  while (Level < LastLevel && Size > this->bound(IsBatch, Level))
    ++Level;
  return Level;
}

} // namespace turmericpass
