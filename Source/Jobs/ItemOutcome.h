#ifndef TURMERICPASS_JOBS_ITEMOUTCOME_H
#define TURMERICPASS_JOBS_ITEMOUTCOME_H

#include "Core/Clock.h"
#include "Jobs/ResultLines.h"

namespace turmericpass {

/// How often an item is submitted before its error becomes its result. Being
/// turned away without having run does not count.
constexpr std::uint32_t MaxItemAttempts = 3;

enum class ItemEnd {
  /// Result is the item's result.
  Final,
  /// The attempt failed; the item may be tried again.
  Failed,
  /// The attempt did not run; the item waits and is submitted again.
  TurnedAway,
};

/// How one submission of an item ended.
struct ItemOutcome {
  ItemEnd End = ItemEnd::Final;
  /// For Failed: the result if this was the last attempt.
  ItemResult Result;
  /// How long the item waits at least before it is submitted again.
  Duration After{0};
};

} // namespace turmericpass

#endif
