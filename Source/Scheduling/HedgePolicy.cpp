#include "Scheduling/HedgePolicy.h"

namespace turmericpass {

namespace {

// Covers the requests that wait for their first token at one server when it
// slows down; more would let a slow fleet double its own load.
constexpr double Burst = 8;

} // namespace

HedgePolicy::HedgePolicy(double Share, Instant Now)
    : Budget(Share, Burst, 0, Now) {}

bool HedgePolicy::isDue(Duration Waited, std::optional<Duration> Delay,
                        Instant Now) {
  return Delay && Waited >= *Delay && this->Budget.available(Now);
}

} // namespace turmericpass
