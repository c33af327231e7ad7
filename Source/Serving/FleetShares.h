#ifndef TURMERICPASS_SERVING_FLEETSHARES_H
#define TURMERICPASS_SERVING_FLEETSHARES_H

#include "Core/Clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace turmericpass {

/// Tells which part of a limit for all VMs this VM and those that it hears may
/// use. A VM that is not heard may be alive behind a network partition and use
/// its own part, so that part is left to it. This class performs no I/O.
///
/// The refill of a limit is counted for each VM up to the time at which it was
/// last heard. So a partition stops the refill of the other side's part at
/// once, rather than when its silence is noticed.
class FleetShares {
public:
  /// A VM that was not heard for this time is not counted among those that are
  /// heard. Digests are sent at least every 400 ms, and one may be lost.
  static constexpr Duration UnheardAfter = std::chrono::milliseconds(1000);
  /// The part of a VM that was not heard for this time returns to the others.
  static constexpr Duration PartReturnsAfter = std::chrono::seconds(20);
  /// The window of the limits. Older requests do not matter.
  static constexpr Duration MaxAge = std::chrono::seconds(5);

  FleetShares(const Clock &Time, const std::string &Self);

  void setListedVms(const std::vector<std::string> &Addresses);
  /// Records a sign of life. A VM with a new incarnation replaces the one that
  /// had its address.
  void recordHeard(const std::string &Address, std::uint64_t Incarnation);

  /// Updates the counts of VMs, at most every few milliseconds.
  void update();

  /// Returns the number of VMs, this one included.
  std::size_t count() const { return this->Count; }
  /// Returns the number of VMs that are heard, this one included.
  std::size_t heard() const { return this->Heard; }
  /// Returns the part of all VMs that are heard.
  double heardPart() const;
  double ownPart() const { return 1.0 / static_cast<double>(this->Count); }

  /// Returns the seconds for which a limit for all VMs was refilled since this
  /// VM started.
  double credit() const { return this->Credit; }
  /// Returns the seconds for which the part of this VM was refilled, as a part
  /// of a limit for all VMs.
  double ownCredit() const { return this->OwnCredit; }
  /// Returns the mean time in seconds, over all VMs, for which a VM has not
  /// been heard, at most MaxAge each.
  double meanAge() const { return this->MeanAge; }

private:
  struct Vm {
    std::uint64_t Incarnation = 0;
    /// The time up to which its part is refilled.
    Instant CreditedTo;
    Instant LastSign;
    bool WasHeard = false;
  };

  void countVms();

  const Clock &Time;
  std::string Self;
  std::unordered_map<std::string, Vm> Vms;
  std::size_t Count = 1;
  std::size_t Heard = 1;
  double Credit = 0;
  double OwnCredit = 0;
  double MeanAge = 0;
  bool ListKnown = false;
  Instant StartedAt;
  Instant OwnCreditedTo;
  Instant UpdatedAt;
};

} // namespace turmericpass

#endif
