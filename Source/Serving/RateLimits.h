#ifndef TURMERICPASS_SERVING_RATELIMITS_H
#define TURMERICPASS_SERVING_RATELIMITS_H

#include "Core/Clock.h"
#include "Serving/FleetShares.h"
#include "Serving/ServingSettings.h"
#include "Serving/UseWindow.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace turmericpass {

/// Identifies an organisation in messages between VMs by a hash of its name.
using OrganisationKey = std::uint64_t;

OrganisationKey organisationKey(std::string_view Name);

/// What one VM, or the VMs of one zone, report about an organisation.
struct OrganisationUse {
  OrganisationKey Organisation = 0;
  /// The number of requests admitted since the sender started. Receivers add
  /// the differences, so a lost report is made up for by the next one.
  std::uint64_t Admitted = 0;
  /// The number of them in the last window, for receivers that know no earlier
  /// count.
  std::uint64_t AdmittedRecently = 0;
  /// The sender's estimate of the balance of all VMs together, for VMs that
  /// have just started.
  std::int64_t Balance = 0;
  /// The number of requests of all VMs in the last window, as the sender knows
  /// it, for VMs that have just started.
  std::uint64_t FleetRecently = 0;
};

/// The report of a VM or of the aggregator of a zone.
struct UseReport {
  std::vector<OrganisationUse> Uses;
  /// The sender has heard most VMs, so that its balances are meaningful.
  bool Informed = false;
};

/// Which organisations a report contains.
enum class ReportScope {
  /// Those with requests since the last report, for frequent messages.
  Changed,
  /// All with recent requests, for receivers that may have missed reports.
  Recent,
};

/// Enforces the limits of organisations for all VMs together. Each organisation
/// has one token bucket, of which every VM keeps an estimate: it subtracts its
/// own requests at once, and those of the other VMs when their reports arrive.
/// The load is a demand of up to eight times the usual one, and reports that
/// are late, lost or missing behind a network partition. This class performs no
/// I/O.
///
/// Reports from other zones are late, so a sudden demand exceeds the balance
/// before it is known. The balance becomes negative by the excess, which is
/// repaid. So that repeated bursts keep to the limit of a window as well, a VM
/// also counts the requests of all VMs in the last window. Near the limit of
/// the window it admits only its share of the rate, so that nothing exceeds it
/// unseen.
class RateLimits {
public:
  /// The maximum number of organisations in one report.
  static constexpr std::size_t MaxReportedUses = 64;
  /// An organisation is reported until it had no use for this time.
  static constexpr Duration ReportTime = std::chrono::seconds(5);

  /// \p Address identifies this VM among those that FleetShares counts.
  RateLimits(const Clock &Time, const std::string &Address);

  /// Replaces the limits. Balances are kept, at most the new burst.
  void setOrganisations(const std::vector<OrganisationSettings> &Organisations);

  /// Sets the addresses of the VMs that the store lists.
  void setListedVms(const std::vector<std::string> &Addresses);

  /// Admits a request of \p Organisation and counts it, or returns the delay
  /// after which the caller should try again. \p Random spreads the attempts of
  /// several callers.
  std::optional<Duration> refuse(const OrganisationSettings &Organisation,
                                 std::uint64_t Random);

  /// Processes the report of the VM at \p Address. If \p IsCounted is false,
  /// its requests are known from the sum of its zone. \p IsOwnZone says whether
  /// they are part of the sum of this VM's zone.
  void addVmReport(const std::string &Address, std::uint64_t Incarnation,
                   const UseReport &Report, bool IsCounted, bool IsOwnZone);

  /// Records that the VM at \p Address is alive.
  void recordHeard(const std::string &Address, std::uint64_t Incarnation);

  /// Processes the sum of a zone by \p Aggregator. \p OwnSequence is the
  /// sequence number of this VM's report that is a part of the sum, if any. If
  /// \p IsCounted is false, the requests are known from reports of the VMs.
  void addZoneReport(const std::string &Zone, std::uint64_t Aggregator,
                     std::optional<std::uint64_t> OwnSequence,
                     const UseReport &Report, bool IsCounted);

  /// Forgets the sums of \p Zone, because its VMs report to this one.
  void forgetZone(const std::string &Zone) { this->Zones.erase(Zone); }

  /// Returns the report of this VM with the organisations that changed most.
  /// \p Sequence is recorded, so that this VM's part of a zone's sum is known.
  UseReport makeReport(std::uint64_t Sequence, ReportScope Scope);
  /// Returns the report of this VM's zone as far as its VMs report to this one.
  UseReport makeZoneReport(ReportScope Scope);

  const FleetShares &shares() const { return this->Shares; }

  /// Returns the estimated balance, for tests and logs.
  double balance(std::string_view Organisation);

private:
  /// Counts the requests that a report tells.
  struct Counter {
    std::uint64_t Admitted = 0;
    /// The counts in the last report, and in the last one of
    /// ReportScope::Recent.
    std::uint64_t Reported = 0;
    std::uint64_t ReportedToAll = 0;
    Instant LastUse;
  };
  struct Bucket {
    double Rate = 0;
    double Burst = 0;
    double Balance = 0;
    /// The credit of FleetShares up to which the balance is refilled.
    double Refilled = 0;
    /// The tokens for requests near the limit of the window.
    double ShareTokens = 0;
    Instant ShareRefilledAt;
    UseWindow Window;
    /// The requests that this VM admitted.
    Counter Own;
    /// The requests that this VM and those of its zone that report to it
    /// admitted.
    Counter Zone;
    /// What a VM reported that knew of the others' requests.
    std::optional<OrganisationUse> FromInformed;
    /// The requests of all VMs since this VM started, as far as they are known.
    std::uint64_t Seen = 0;
  };
  using Keys = std::unordered_set<OrganisationKey>;
  using Counts = std::unordered_map<OrganisationKey, std::int64_t>;
  /// A VM, or the aggregator of a zone, whose reports arrive here.
  struct Source {
    std::uint64_t Incarnation = 0;
    /// The newest count of each organisation.
    Counts Admitted;
    /// When its first report arrived.
    Instant Since;
  };
  struct SentReport {
    std::uint64_t Sequence = 0;
    Counts Admitted;
  };

  static double fullBurst(const Bucket &State);
  double capacity(const Bucket &State) const;
  double credit() const;
  void refill(Bucket &State);
  void update();
  void becomeInformed();
  bool exceedsWindow(Bucket &State);
  void subtract(Bucket &State, std::uint64_t Requests);
  void countForZone(OrganisationKey Key, Bucket &State, std::uint64_t Requests);
  Duration delayUntilToken(const Bucket &State, std::uint64_t Random) const;
  std::int64_t ownPart(OrganisationKey Key, std::uint64_t Sequence) const;
  UseReport makeReport(Counter Bucket::*Kind, Keys &Active, ReportScope Scope);

  const Clock &Time;
  FleetShares Shares;
  std::unordered_map<OrganisationKey, Bucket> Buckets;
  std::unordered_map<std::string, Source> Vms;
  std::unordered_map<std::string, Source> Zones;
  /// The organisations that reports have to contain.
  Keys OwnActive;
  Keys ZoneActive;
  /// The newest reports of this VM, and what the older ones contained.
  std::deque<SentReport> SentReports;
  Counts OlderReports;
  std::optional<Instant> SettingsAt;
  bool Informed = false;
};

} // namespace turmericpass

#endif
