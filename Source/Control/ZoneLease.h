#ifndef TURMERICPASS_CONTROL_ZONELEASE_H
#define TURMERICPASS_CONTROL_ZONELEASE_H

#include "Core/Clock.h"
#include "Platform/Table.h"

#include <cstdint>
#include <optional>
#include <string>

namespace turmericpass {

class IdSource;

/// The right to send fleet orders in one zone: a lease row with the holder and
/// a fencing number that rises with each new holder. Expiry is judged by each
/// candidate's own clock: the row's version has not changed for a whole term.
class ZoneLease {
public:
  /// The holder renews often enough to survive a lost renewal or two.
  static constexpr Duration RenewPeriod = std::chrono::seconds(3);
  /// The holder stops this long after it began its last successful renewal.
  static constexpr Duration HolderTerm = std::chrono::seconds(10);
  /// Others wait longer, because their clocks may run faster.
  static constexpr Duration TakeoverTerm = std::chrono::seconds(12);
  /// Orders carry this deadline.
  static constexpr Duration OrderDeadline = std::chrono::seconds(5);
  /// Covers the time between a stale holder's last look at its clock and the
  /// arrival of what it sent.
  static constexpr Duration Margin = std::chrono::seconds(2);

  ZoneLease(Table &Rows, IdSource &Ids, const Clock &Time, std::string Zone,
            std::string Node);

  /// Called each second: renews, observes or takes over. \p IsCandidate false
  /// keeps a node without the lease from taking it.
  void tick(bool IsCandidate);

  /// Returns whether orders may be sent now. The clock is read anew, so a
  /// process that was paused finds that its term is over.
  bool holds() const;

  /// Returns whether orders may go to servers that ignore fencing numbers:
  /// every order of the previous holder has passed its deadline.
  bool holdsExclusively() const;

  /// Returns the fencing number, 0 without the lease.
  std::uint64_t fencing() const { return this->holds() ? this->Fencing : 0; }

  /// Gives the lease up after a server refused its fencing number.
  void relinquish();

private:
  void read();
  void observe(const Result<TableRow> &Row);
  void write(std::uint64_t RowVersion, std::uint64_t Number);
  void settle(const std::string &WriteId, std::uint64_t Number, Instant Begun);
  void won(std::uint64_t Number, Instant Begun);

  Table &Rows;
  IdSource &Ids;
  const Clock &Time;
  std::string Key;
  std::string Node;
  bool Candidate = false;
  bool Busy = false;
  bool Holder = false;
  std::uint64_t Fencing = 0;
  /// The lowest number that a new lease of this process must have.
  std::uint64_t Refused = 0;
  /// When the lease was won, and when the last successful renewal began.
  Instant Won;
  Instant Renewed;
  Instant LastWrite;
  /// The version of the row when it was last seen to change, and since when.
  std::optional<std::uint64_t> SeenVersion;
  Instant SeenSince;
};

} // namespace turmericpass

#endif
