#ifndef TURMERICPASS_SCHEDULING_RETRYBUDGET_H
#define TURMERICPASS_SCHEDULING_RETRYBUDGET_H

#include "Core/Clock.h"

namespace turmericpass {

/// A token bucket that limits additional attempts to a share of the successful
/// ones. It starts full.
class RetryBudget {
public:
  RetryBudget() = default;
  /// Each success adds \p Share and each second adds \p PerSecond to the
  /// budget, up to \p Burst. An additional attempt takes 1.
  RetryBudget(double Share, double Burst, double PerSecond, Instant Now);

  void setShare(double NewShare) { this->Share = NewShare; }
  void recordSuccess();
  bool isAvailable(Instant Now);
  /// Takes one attempt from the budget. Returns false if the budget is used up.
  bool tryTake(Instant Now);

private:
  double Share = 0;
  double Burst = 0;
  double PerSecond = 0;
  double Balance = 0;
  Instant LastRefillTime;
};

} // namespace turmericpass

#endif
