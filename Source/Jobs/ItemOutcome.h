#ifndef TURMERICPASS_JOBS_ITEMOUTCOME_H
#define TURMERICPASS_JOBS_ITEMOUTCOME_H

#include "Core/Clock.h"
#include "Jobs/ResultLines.h"

namespace turmericpass {

/// The maximum number of attempts before the error of an item becomes its
/// result. An attempt that did not run does not count.
constexpr std::uint32_t MaxItemAttempts = 3;

enum class ItemEnd {
  /// Result becomes the result of the item.
  Final,
  /// The attempt failed; the item may be retried.
  Failed,
  /// The attempt did not run; the item waits and is submitted again.
  NotRun,
};

/// The outcome of one submission of an item.
struct ItemOutcome {
  ItemEnd End = ItemEnd::Final;
  /// If End is Failed: the result of the item if this was its last attempt.
  ItemResult Result;
  /// The minimum delay before the item is submitted again.
  Duration MinDelay{0};
};

} // namespace turmericpass

#endif
