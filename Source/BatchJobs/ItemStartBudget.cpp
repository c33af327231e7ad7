#include "BatchJobs/ItemStartBudget.h"

#include <algorithm>

namespace turmericpass {

namespace {

/// The time until a start is known to the other VMs. Free slots are divided
/// once per this time.
constexpr Duration LoadDelay = std::chrono::milliseconds(100);

} // namespace

void ItemStartBudget::update(Instant Now, int OwnItems, int AllItems,
                             int FreeSlots) {
  const Duration Passed = std::min(Now - this->UpdatedAt, LoadDelay);
  this->UpdatedAt = Now;
  const double Share =
      OwnItems <= 0 ? 0
                    : static_cast<double>(OwnItems) /
                          static_cast<double>(std::max(OwnItems, AllItems));
  const double PerDelay = Share * std::max(0, FreeSlots);
  this->Starts += PerDelay * toMillis(Passed) / toMillis(LoadDelay);
  // What could not be used is not kept for a moment with fewer free slots.
  this->Starts = std::min(this->Starts, std::max(1.0, PerDelay));
}

bool ItemStartBudget::take() {
  if (this->Starts < 1)
    return false;
  this->Starts -= 1;
  return true;
}

} // namespace turmericpass
