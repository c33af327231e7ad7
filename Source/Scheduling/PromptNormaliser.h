#ifndef TURMERICPASS_SCHEDULING_PROMPTNORMALISER_H
#define TURMERICPASS_SCHEDULING_PROMPTNORMALISER_H

#include "Core/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace turmericpass {

/// Normalises times to first token by the prompt length, so that a server that
/// receives long prompts is not mistaken for a slow one.
class PromptNormaliser {
public:
  /// Records the time to first token of a healthy server.
  void recordTime(std::uint64_t Tokens, Duration Elapsed);

  /// Returns whether there are enough samples of prompts of this length.
  bool hasEnoughSamples(std::uint64_t Tokens) const;

  /// Returns the mean time of prompts of this length relative to that of all
  /// prompts.
  double relativeTime(std::uint64_t Tokens) const;

  /// Returns \p Elapsed scaled to a prompt of mean length.
  Duration normalise(std::uint64_t Tokens, Duration Elapsed) const;

private:
  struct Mean {
    double LogMs = 0;
    std::uint32_t Count = 0;

    void add(double Sample);
  };

  static std::size_t bucketFor(std::uint64_t Tokens);

  static constexpr std::size_t BucketCount = 10;
  std::array<Mean, BucketCount> MeansByLength;
  Mean OverallMean;
};

} // namespace turmericpass

#endif
