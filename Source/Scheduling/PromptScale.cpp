#include "Scheduling/PromptScale.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace turmericpass {

namespace {

// Shorter prompts all take about one engine step.
constexpr std::uint64_t ShortPrompt = 128;
constexpr double Weight = 0.02;
constexpr std::uint32_t EnoughSamples = 3;

} // namespace

void PromptScale::Mean::add(double Sample) {
  ++this->Count;
  this->LogMillis +=
      std::max(Weight, 1.0 / this->Count) * (Sample - this->LogMillis);
}

std::size_t PromptScale::bucketOf(std::uint64_t Tokens) {
  return std::min<std::size_t>(std::bit_width(Tokens / ShortPrompt),
                               Buckets - 1);
}

void PromptScale::observe(std::uint64_t Tokens, Duration Elapsed) {
  const double Sample = std::log(std::max(0.01, toMillis(Elapsed)));
  this->ByLength[bucketOf(Tokens)].add(Sample);
  this->All.add(Sample);
}

bool PromptScale::knows(std::uint64_t Tokens) const {
  return this->ByLength[bucketOf(Tokens)].Count >= EnoughSamples;
}

double PromptScale::factor(std::uint64_t Tokens) const {
  if (!this->knows(Tokens))
    return 1;
  const Mean &Own = this->ByLength[bucketOf(Tokens)];
  return std::exp(Own.LogMillis - this->All.LogMillis);
}

Duration PromptScale::normalise(std::uint64_t Tokens, Duration Elapsed) const {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(Elapsed.count()) / this->factor(Tokens)));
}

} // namespace turmericpass
