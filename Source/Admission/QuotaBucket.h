#ifndef TURMERICPASS_ADMISSION_QUOTABUCKET_H
#define TURMERICPASS_ADMISSION_QUOTABUCKET_H

#include "Core/Clock.h"

namespace turmericpass {

/// A token bucket whose level may become negative: a cost is admitted while the
/// level is positive, and a negative level delays the costs that follow. A
/// request larger than the bucket is thus served, and the average rate is still
/// enforced.
class QuotaBucket {
public:
  /// Sets the refill rate per second and the capacity. A new bucket is full; an
  /// existing one keeps its level, up to the new capacity.
  void configure(double Rate, double Capacity, Instant Now);

  /// Deducts \p Cost if the level is positive. Returns whether it did.
  bool take(double Cost, Instant Now);

  /// Adds \p Amount to the level; a negative amount is deducted.
  void adjust(double Amount, Instant Now);

  /// Returns the time until take() succeeds.
  Duration timeUntilAvailable(Instant Now);

private:
  void refill(Instant Now);

  double Rate = 0;
  double Capacity = 0;
  double Level = 0;
  bool Configured = false;
  Instant RefilledAt;
};

} // namespace turmericpass

#endif
