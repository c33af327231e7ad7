#ifndef TURMERICPASS_CONTROL_ZONELEASE_H
#define TURMERICPASS_CONTROL_ZONELEASE_H

#include "Core/Clock.h"
#include "Platform/Table.h"

#include <cstdint>
#include <optional>
#include <string>

namespace turmericpass {

class IdSource;

/// The lease that permits one node to send fleet orders in a zone. Its row
/// contains the holder and a fencing number that increases with each new
/// holder. Each candidate detects the expiry with its own clock: the lease has
/// expired if the version of the row has not changed for TakeoverTerm.
class ZoneLease {
public:
  /// The interval between renewals. The holder keeps the lease if one or two of
  /// them are lost.
  static constexpr Duration RenewPeriod = std::chrono::seconds(3);
  /// The holder loses the lease this long after the start of its last
  /// successful renewal.
  static constexpr Duration HolderTerm = std::chrono::seconds(10);
  /// Other nodes wait longer, because their clocks may run faster.
  static constexpr Duration TakeoverTerm = std::chrono::seconds(12);
  /// The deadline of an order, relative to its issue.
  static constexpr Duration OrderDeadline = std::chrono::seconds(5);
  /// The time allowed between the last clock check of a stale holder and the
  /// arrival of an order that it sent afterwards.
  static constexpr Duration ArrivalMargin = std::chrono::seconds(2);

  ZoneLease(Table &Rows, IdSource &Ids, const Clock &Time, std::string Zone,
            std::string Node);

  /// Called each second. Renews, observes or takes over the lease. A node takes
  /// it over only if \p IsCandidate is true.
  void tick(bool IsCandidate);

  /// Returns whether orders may be sent now. Each call reads the clock, so a
  /// process that was paused detects that its term has expired.
  bool holds() const;

  /// Returns whether orders may be sent to servers that ignore fencing numbers.
  /// This requires that the deadlines of all orders of the previous holder have
  /// passed.
  bool holdsExclusively() const;

  /// Returns the fencing number, or 0 without the lease.
  std::uint64_t fencing() const { return this->holds() ? this->Fencing : 0; }

  /// Gives up the lease after a server has refused its fencing number.
  void relinquish();

private:
  void read();
  void observe(const Result<TableRow> &Row);
  void write(std::uint64_t RowVersion, std::uint64_t Number);
  void resolveOutcome(const std::string &WriteId, std::uint64_t Number,
                      Instant StartedAt);
  void confirmLease(std::uint64_t Number, Instant StartedAt);

  Table &Rows;
  IdSource &Ids;
  const Clock &Time;
  std::string Key;
  std::string Node;
  bool IsCandidate = false;
  bool CallPending = false;
  bool IsHolder = false;
  std::uint64_t Fencing = 0;
  /// The highest refused fencing number. A new lease of this process must have
  /// a higher number.
  std::uint64_t HighestRefused = 0;
  /// The time at which the lease was acquired, and the time at which the last
  /// successful renewal began.
  Instant AcquiredAt;
  Instant RenewedAt;
  Instant LastWrite;
  /// The last observed version of the row and the time since which it has not
  /// changed.
  std::optional<std::uint64_t> ObservedVersion;
  Instant ObservedSince;
};

} // namespace turmericpass

#endif
