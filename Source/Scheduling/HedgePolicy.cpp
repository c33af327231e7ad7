#include "Scheduling/HedgePolicy.h"

namespace turmericpass {

namespace {

// Covers the requests that wait for their first token at a server when it
// becomes slow. With a larger value, a slow fleet could double its own load.
constexpr double MaxHedgeBurst = 8;

} // namespace

HedgePolicy::HedgePolicy(double Share, Instant Now)
    : Budget(Share, MaxHedgeBurst, 0, Now) {}

bool HedgePolicy::isDue(Duration Waited, std::optional<Duration> Delay,
                        Instant Now) {
  return Delay && Waited >= *Delay && this->Budget.isAvailable(Now);
}

} // namespace turmericpass
