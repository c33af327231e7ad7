#ifndef TURMERICPASS_SCHEDULING_HEDGEPOLICY_H
#define TURMERICPASS_SCHEDULING_HEDGEPOLICY_H

#include "Core/Clock.h"
#include "Scheduling/RetryBudget.h"

#include <optional>

namespace turmericpass {

/// Decides when a request without a first token is worth a second copy.
class HedgePolicy {
public:
  HedgePolicy() = default;
  /// \p Share is the copies allowed for each success.
  HedgePolicy(double Share, Instant Now);

  void setShare(double Share) { this->Budget.setShare(Share); }
  void succeeded() { this->Budget.succeeded(); }

  /// Returns whether a copy is due: \p Waited has reached \p Delay and the
  /// budget has one left.
  bool isDue(Duration Waited, std::optional<Duration> Delay, Instant Now);
  /// Takes a copy from the budget; returns false if there is none.
  bool take(Instant Now) { return this->Budget.take(Now); }

private:
  RetryBudget Budget;
};

} // namespace turmericpass

#endif
