#include "Scheduling/PromptNormaliser.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace turmericpass {

namespace {

// Shorter prompts all take about one engine step.
constexpr std::uint64_t ShortPromptTokens = 128;
constexpr double MeanWeight = 0.02;
constexpr std::uint32_t MinSamples = 3;

} // namespace

void PromptNormaliser::Mean::add(double Sample) {
  ++this->Count;
  this->LogMs +=
      std::max(MeanWeight, 1.0 / this->Count) * (Sample - this->LogMs);
}

std::size_t PromptNormaliser::bucketFor(std::uint64_t Tokens) {
  return std::min<std::size_t>(std::bit_width(Tokens / ShortPromptTokens),
                               BucketCount - 1);
}

void PromptNormaliser::recordTime(std::uint64_t Tokens, Duration Elapsed) {
  const double Sample = std::log(std::max(0.01, toMillis(Elapsed)));
  this->MeansByLength[bucketFor(Tokens)].add(Sample);
  this->OverallMean.add(Sample);
}

bool PromptNormaliser::hasEnoughSamples(std::uint64_t Tokens) const {
  return this->MeansByLength[bucketFor(Tokens)].Count >= MinSamples;
}

double PromptNormaliser::relativeTime(std::uint64_t Tokens) const {
  if (!this->hasEnoughSamples(Tokens))
    return 1;
  const Mean &LengthMean = this->MeansByLength[bucketFor(Tokens)];
  return std::exp(LengthMean.LogMs - this->OverallMean.LogMs);
}

Duration PromptNormaliser::normalise(std::uint64_t Tokens,
                                     Duration Elapsed) const {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(Elapsed.count()) / this->relativeTime(Tokens)));
}

} // namespace turmericpass
