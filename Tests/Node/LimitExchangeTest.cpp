#include "Node/LimitExchange.h"
#include "Node/NodeTimes.h"
#include "Node/OrganisationLimiter.h"
#include "Node/PeerDirectory.h"
#include "Telemetry/Logger.h"
#include "Telemetry/Metrics.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <limits>
#include <memory>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

const OrganisationSettings Org = {"o", {}, {}, 300, 300};

OrganisationUse largestUse() {
  OrganisationUse Use;
  Use.Organisation = std::numeric_limits<std::uint64_t>::max();
  Use.Admitted = std::numeric_limits<std::uint32_t>::max();
  Use.AdmittedRecently = std::numeric_limits<std::uint16_t>::max();
  Use.Balance = std::numeric_limits<std::int16_t>::min();
  Use.FleetRecently = std::numeric_limits<std::uint16_t>::max();
  return Use;
}

/// Two zones whose VMs exchange digests and summaries in memory.
struct SummedZones {
  struct Vm {
    Vm(const Clock &Time, const std::string &Name, const ListedNode &Self)
        : Name(Name), Self(Self), Loads(Name), Crashes(Time),
          Limits(Time, Self.Address),
          Peers(Time, this->Loads, this->Crashes, Name, Self),
          Uses(this->Limits, this->Peers, Self.Zone) {}

    std::string Name;
    ListedNode Self;
    LoadTracker Loads;
    CrashCounter Crashes;
    RateLimits Limits;
    PeerDirectory Peers;
    LimitExchange Uses;
    std::uint64_t Sequence = 0;
    std::uint64_t SummarySequence = 0;
    bool Stopped = false;
  };

  explicit SummedZones(int PerZone) {
    std::vector<ListedNode> Listed;
    std::vector<std::string> Addresses;
    for (const char *Zone : {"a", "b"})
      for (int I = 0; I < PerZone; ++I) {
        Listed.push_back({std::string("10.0.") + (*Zone == 'a' ? "1." : "2.") +
                              std::to_string(I) + ":7",
                          Zone, I < 2 ? 50 : 12});
        Addresses.push_back(Listed.back().Address);
      }
    for (const ListedNode &Self : Listed) {
      this->Vms.push_back(
          std::make_unique<Vm>(this->Time, "n" + Self.Address, Self));
      this->Vms.back()->Peers.setListedNodes(Listed);
      this->Vms.back()->Limits.setListedVms(Addresses);
      this->Vms.back()->Limits.setOrganisations({Org});
    }
  }

  PeerDigest digestOf(Vm &From) {
    PeerDigest Digest;
    Digest.Incarnation = From.Name;
    Digest.Zone = From.Self.Zone;
    Digest.Sequence = ++From.Sequence;
    Digest.Uses = From.Limits.makeReport(
        Digest.Sequence,
        Digest.Sequence % 8 == 0 ? ReportScope::Recent : ReportScope::Changed);
    From.Peers.recordSentDigest(Digest.Sequence, {});
    return Digest;
  }

  void exchange() {
    this->Time.advance(50ms);
    for (const auto &From : this->Vms) {
      if (From->Stopped)
        continue;
      From->Peers.detectSilentPeers();
      From->Peers.election().checkForSilence();
      const PeerDigest Digest = *decodeDigest(encodeDigest(digestOf(*From)));
      const auto Receivers = From->Peers.election().digestReceivers();
      for (const auto &To : this->Vms)
        if (std::find(Receivers.begin(), Receivers.end(), To->Self.Address) !=
            Receivers.end()) {
          To->Uses.handleDigest(From->Self.Address, Digest);
          To->Peers.handleDigest(From->Self.Address, Digest);
        }
    }
    for (const auto &From : this->Vms) {
      if (From->Stopped ||
          !From->Peers.election().isActing(From->Peers.ownZoneDigests() + 1))
        continue;
      PeerDigest Digest;
      Digest.Sequence = From->Sequence;
      ZoneSummary Summary = From->Peers.summarizeOwnZone(Digest);
      Summary.Sequence = ++From->SummarySequence;
      Summary.Uses = From->Limits.makeZoneReport(Summary.Sequence % 8 == 0
                                                     ? ReportScope::Recent
                                                     : ReportScope::Changed);
      Summary = *decodeSummary(encodeSummary(Summary));
      for (const auto &To : this->Vms)
        if (To != From && !To->Stopped)
          To->Uses.handleSummary(Summary, To->Peers.handleSummary(Summary));
    }
  }
  void exchangeFor(Duration Span) {
    for (Duration Passed(0); Passed < Span; Passed += 50ms)
      this->exchange();
  }
  void request(int Count) {
    for (const auto &Each : this->Vms)
      if (!Each->Stopped)
        for (int I = 0; I < Count; ++I)
          Each->Limits.refuse(Org, 0);
  }
  /// Returns the lowest and the highest balance that a VM knows.
  std::pair<double, double> balances() {
    std::pair<double, double> Found{1e9, -1e9};
    for (const auto &Each : this->Vms)
      if (!Each->Stopped) {
        Found.first = std::min(Found.first, Each->Limits.balance("o"));
        Found.second = std::max(Found.second, Each->Limits.balance("o"));
      }
    return Found;
  }

  ManualClock Time;
  std::vector<std::unique_ptr<Vm>> Vms;
};

} // namespace

// Guards against uses that are lost between encoding and decoding.
Test(LimitExchange, DecodedUsesAreTheEncodedOnes) {
  PeerDigest Digest;
  Digest.Uses.Informed = true;
  Digest.Uses.Uses = {{5, 1ULL << 40U, 7, -8, 9}, {6, 1, 0, 2, 3}};
  ZoneSummary Summary;
  Summary.Uses = Digest.Uses;
  for (const UseReport &Read : {decodeDigest(encodeDigest(Digest))->Uses,
                                decodeSummary(encodeSummary(Summary))->Uses}) {
    cr_assert(Read.Informed);
    cr_assert_eq(Read.Uses.size(), 2);
    cr_assert_eq(Read.Uses[0].Organisation, 5);
    cr_assert_eq(Read.Uses[0].Admitted, 1ULL << 40U);
    cr_assert_eq(Read.Uses[0].AdmittedRecently, 7);
    cr_assert_eq(Read.Uses[0].Balance, -8);
    cr_assert_eq(Read.Uses[0].FleetRecently, 9);
  }
}

// Guards against messages that grow with the number of organisations, or that
// do not fit into the datagrams that a VM accepts: of 10,000 organisations, a
// message has at most 64.
Test(LimitExchange, MessagesStaySmallWithManyOrganisations) {
  ManualClock Time;
  RateLimits Limits(Time, "self");
  std::vector<OrganisationSettings> All;
  All.reserve(10'000);
  for (int I = 0; I < 10'000; ++I)
    All.push_back({"organisation " + std::to_string(I), {}, {}, 100, 100});
  Limits.setListedVms({"self"});
  Limits.setOrganisations(All);
  for (const OrganisationSettings &Each : All)
    Limits.refuse(Each, 0);
  PeerDigest Digest;
  const std::size_t EmptyDigest = encodeDigest(Digest).size();
  Digest.Uses = Limits.makeReport(1, ReportScope::Recent);
  const std::size_t Small = encodeDigest(Digest).size() - EmptyDigest;
  Digest.Uses.Uses.assign(RateLimits::MaxReportedUses, largestUse());
  const std::size_t Large = encodeDigest(Digest).size() - EmptyDigest;
  cr_log_info("Bytes of 64 organisations: %zu to %zu", Small, Large);
  cr_assert_leq(Large, 24 * RateLimits::MaxReportedUses);
  // A VM in a fleet of 409 sends at most 25 digests a second to two VMs.
  const double PerSecond = 2.0 * static_cast<double>(Large) *
                           (Duration(1s) / AggregatedDigestInterval);
  cr_assert_leq(PerSecond, 80'000);
  // More are malformed, so that a datagram cannot make a VM allocate.
  Digest.Uses.Uses.push_back(largestUse());
  cr_assert_not(decodeDigest(encodeDigest(Digest)));
}

// Guards against requests that count twice, or not at all, where zones are
// summed up: this VM's own ones, and those of VMs whose digests arrive as well.
Test(LimitExchange, EveryVmCountsTheRequestsOfAllZonesOnce) {
  SummedZones Fleet(60);
  Fleet.exchangeFor(4s);
  const double Full = Fleet.balances().first;
  cr_assert_float_eq(Full, 308, 4);
  Fleet.request(1);
  Fleet.request(1);
  Fleet.exchangeFor(100ms);
  // 240 requests, and 0.1 s of the rate.
  const auto [Lowest, Highest] = Fleet.balances();
  cr_assert_float_eq(Lowest, 308 - 240 + 30, 12);
  cr_assert_float_eq(Highest, 308 - 240 + 30, 12);
}

// Guards against requests that are counted again, or forgotten, when another VM
// sums up the zone.
Test(LimitExchange, NewAggregatorKeepsTheBalances) {
  SummedZones Fleet(60);
  Fleet.exchangeFor(4s);
  for (int I = 0; I < 20; ++I) {
    Fleet.request(1);
    Fleet.exchangeFor(200ms);
  }
  const std::pair<double, double> Before = Fleet.balances();
  // The first aggregator of a zone stops.
  for (const auto &Each : Fleet.Vms)
    if (!Each->Stopped && Each->Self.Zone == "a" &&
        Each->Peers.election().isActing(Each->Peers.ownZoneDigests() + 1)) {
      Each->Stopped = true;
      break;
    }
  // In 0.6 s, 180 requests are refilled, at most 3 fewer for the stopped VM.
  Fleet.exchangeFor(600ms);
  const std::pair<double, double> After = Fleet.balances();
  cr_log_info("before %.0f %.0f after %.0f %.0f", Before.first, Before.second,
              After.first, After.second);
  cr_assert_geq(After.first, std::min(308.0, Before.first + 180) - 40);
  cr_assert_leq(After.second, Before.second + 180 + 20);
}

// Guards against a series for each of thousands of organisations, and against
// names that break the format.
Test(OrganisationLimiter, ManyOrganisationsHaveFewSeries) {
  ManualClock Time;
  RateLimits Limits(Time, "self");

  NullLogger Log;
  Metrics Stats;
  OrganisationLimiter Limiter(Time, Limits, Log, Stats);
  std::vector<OrganisationSettings> All;
  All.reserve(300);
  for (int I = 0; I < 300; ++I)
    All.push_back({"o\"" + std::to_string(I), {}, {}, 1, 1});
  Limits.setListedVms({"self"});
  Limits.setOrganisations(All);
  for (const OrganisationSettings &Each : All)
    cr_assert_not(Limiter.apply(Each, 0));
  cr_assert_eq(Stats.value("limit_admitted_total{organisation=\"o\\\"0\"}"), 1);
  cr_assert_eq(Stats.value("limit_admitted_total{organisation=\"(other)\"}"),
               201);
  while (!Limiter.apply(All[0], 0))
    continue;
  cr_assert_eq(Stats.value("limit_refused_total{organisation=\"o\\\"0\"}"), 1);
}
