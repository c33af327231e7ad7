#ifndef TURMERICPASS_SCHEDULING_RETRYBUDGET_H
#define TURMERICPASS_SCHEDULING_RETRYBUDGET_H

#include "Core/Clock.h"

namespace turmericpass {

/// Bounds extra work to a share of the work that succeeds. It starts full.
class RetryBudget {
public:
  RetryBudget() = default;
  /// Each success earns \p Share of an extra attempt and each second \p
  /// PerSecond of one, up to \p Burst.
  RetryBudget(double Share, double Burst, double PerSecond, Instant Now);

  void setShare(double NewShare) { this->Share = NewShare; }
  void succeeded();
  bool available(Instant Now);
  /// Takes one extra attempt; returns false if there is none.
  bool take(Instant Now);

private:
  double Share = 0;
  double Burst = 0;
  double PerSecond = 0;
  double Level = 0;
  Instant Filled;
};

} // namespace turmericpass

#endif
