#ifndef TURMERICPASS_SERVING_HEDGEBUDGET_H
#define TURMERICPASS_SERVING_HEDGEBUDGET_H

#include "Core/Clock.h"

#include <cstdint>
#include <deque>

namespace turmericpass {

/// Limits copies to a share of the requests in the last Window. Unlike the
/// token bucket of RetryBudget, it starts empty and saves nothing from earlier
/// windows, so a service that becomes slow after a calm time gets no burst of
/// copies. This class performs no I/O.
class HedgeBudget {
public:
  static constexpr Duration Window = std::chrono::seconds(10);

  /// Counts a request that may get a copy.
  void recordRequest(Instant Now);
  /// Counts a copy, if all copies in the window stay within \p Share of the
  /// requests in it. Returns false and counts nothing otherwise.
  bool tryTake(double Share, Instant Now);

private:
  /// The counts of one short interval.
  struct Slice {
    std::int64_t Index = 0;
    int Requests = 0;
    int Copies = 0;
  };

  Slice &currentSlice(Instant Now);
  void discardOldSlices(Instant Now);

  std::deque<Slice> Slices;
};

} // namespace turmericpass

#endif
