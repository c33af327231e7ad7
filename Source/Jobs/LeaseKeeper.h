#ifndef TURMERICPASS_JOBS_LEASEKEEPER_H
#define TURMERICPASS_JOBS_LEASEKEEPER_H

#include "Core/Clock.h"
#include "Core/IdSource.h"
#include "Platform/Table.h"

namespace turmericpass {

/// Renews the lease row of this batcher: one row, however many chunks it
/// holds.
class LeaseKeeper {
public:
  LeaseKeeper(Table &Rows, const Clock &Time, IdSource &Ids,
              std::string Batcher);

  /// Renews the row when it is due; call it every 100 ms while the batcher
  /// holds or wants chunks.
  void tick();

  /// True if the last renewal is recent enough to claim chunks.
  bool current() const;

  /// True if the row may have stood still so long that another batcher took
  /// over. Stays true until a renewal succeeds.
  bool mayHaveLapsed() const;

  /// Returns how many renewals succeeded.
  std::uint64_t renewals() const { return this->Renewals; }

  /// Removes the row; for a batcher that holds nothing any more.
  void giveUp();

private:
  Table &Rows;
  const Clock &Time;
  IdSource &Ids;
  std::string Batcher;
  Instant Next{};
  Instant Renewed{};
  std::uint64_t Renewals = 0;
  bool Busy = false;
  bool Ended = false;
};

} // namespace turmericpass

#endif
