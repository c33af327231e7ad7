#ifndef TURMERICPASS_JOBS_LEASERENEWER_H
#define TURMERICPASS_JOBS_LEASERENEWER_H

#include "Core/Clock.h"
#include "Core/IdSource.h"
#include "Platform/Table.h"

namespace turmericpass {

/// Renews the lease row of this batcher. A batcher has one row, regardless of
/// the number of its chunks.
class LeaseRenewer {
public:
  LeaseRenewer(Table &Rows, const Clock &Time, IdSource &Ids,
               std::string Batcher);

  /// Renews the row when a renewal is due. Call this every 100 ms while the
  /// batcher holds or wants chunks.
  void tick();

  /// Returns true if the last renewal is recent enough to claim chunks.
  bool isCurrent() const;

  /// Returns true if the row may have been unchanged for so long that another
  /// batcher took over. Stays true until a renewal succeeds.
  bool mayHaveLapsed() const;

  /// Returns the number of renewals that succeeded.
  std::uint64_t renewals() const { return this->RenewalCount; }

  /// Removes the row. Call this when the batcher holds no chunks any more.
  void release();

private:
  Table &Rows;
  const Clock &Time;
  IdSource &Ids;
  std::string Batcher;
  Instant NextRenewal{};
  Instant LastRenewal{};
  std::uint64_t RenewalCount = 0;
  bool Busy = false;
  bool IsReleased = false;
};

} // namespace turmericpass

#endif
