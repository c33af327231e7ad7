#ifndef TURMERICPASS_SCHEDULING_PROMPTSCALE_H
#define TURMERICPASS_SCHEDULING_PROMPTSCALE_H

#include "Core/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace turmericpass {

/// Normalises times to first token by the prompt length, so that a server that
/// receives long prompts is not mistaken for a slow one.
class PromptScale {
public:
  /// Records the time to first token of a healthy server.
  void observe(std::uint64_t Tokens, Duration Elapsed);

  /// Returns whether there are enough samples of prompts of this length.
  bool knows(std::uint64_t Tokens) const;

  /// Returns the mean time of prompts of this length relative to that of all
  /// prompts.
  double factor(std::uint64_t Tokens) const;

  /// Returns \p Elapsed scaled to a prompt of mean length.
  Duration normalise(std::uint64_t Tokens, Duration Elapsed) const;

private:
  struct Mean {
    double LogMillis = 0;
    std::uint32_t Count = 0;

    void add(double Sample);
  };

  static std::size_t bucketOf(std::uint64_t Tokens);

  static constexpr std::size_t Buckets = 10;
  std::array<Mean, Buckets> ByLength;
  Mean All;
};

} // namespace turmericpass

#endif
