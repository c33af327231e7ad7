#ifndef TURMERICPASS_SCHEDULING_PROMPTSCALE_H
#define TURMERICPASS_SCHEDULING_PROMPTSCALE_H

#include "Core/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace turmericpass {

/// Makes times to first token of long and short prompts comparable, so that a
/// server that happens to get long prompts is not taken for a slow one.
class PromptScale {
public:
  /// Takes a time from a server in a normal state.
  void observe(std::uint64_t Tokens, Duration Elapsed);

  /// Returns whether enough prompts of that length were seen.
  bool knows(std::uint64_t Tokens) const;

  /// Returns how many times the mean a prompt of \p Tokens takes.
  double factor(std::uint64_t Tokens) const;

  /// Returns what \p Elapsed would be for a mean prompt.
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
