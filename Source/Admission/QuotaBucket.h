#ifndef TURMERICPASS_ADMISSION_QUOTABUCKET_H
#define TURMERICPASS_ADMISSION_QUOTABUCKET_H

#include "Core/Clock.h"

namespace turmericpass {

/// A token bucket that may go into debt: a cost is admitted while anything is
/// left, and the debt delays what follows. So one request larger than the
/// bucket is served, and the rate holds over time.
class QuotaBucket {
public:
  /// Sets the rate per second and the size of a full bucket. A new bucket is
  /// full; an old one keeps its level up to the new size.
  void configure(double Rate, double Capacity, Instant Now);

  /// Takes \p Cost if the bucket is not in debt.
  bool take(double Cost, Instant Now);

  /// Gives back \p Amount, or takes more if it is negative.
  void adjust(double Amount, Instant Now);

  /// Returns the time until take() succeeds.
  Duration wait(Instant Now);

private:
  void refill(Instant Now);

  double Rate = 0;
  double Capacity = 0;
  double Level = 0;
  bool Configured = false;
  Instant At;
};

} // namespace turmericpass

#endif
