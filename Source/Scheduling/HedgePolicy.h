#ifndef TURMERICPASS_SCHEDULING_HEDGEPOLICY_H
#define TURMERICPASS_SCHEDULING_HEDGEPOLICY_H

#include "Core/Clock.h"
#include "Scheduling/RetryBudget.h"

#include <optional>

namespace turmericpass {

/// Decides when a request without a first token gets a second copy on another
/// server.
class HedgePolicy {
public:
  HedgePolicy() = default;
  /// \p Share is the number of copies allowed for each successful request.
  HedgePolicy(double Share, Instant Now);

  void setShare(double Share) { this->Budget.setShare(Share); }
  void recordSuccess() { this->Budget.recordSuccess(); }

  /// Returns whether a copy is due: \p Waited has reached \p Delay and the
  /// budget is not used up.
  bool isDue(Duration Waited, std::optional<Duration> Delay, Instant Now);
  /// Takes a copy from the budget. Returns false if the budget is used up.
  bool tryTake(Instant Now) { return this->Budget.tryTake(Now); }

private:
  RetryBudget Budget;
};

} // namespace turmericpass

#endif
