#include "Serving/RateLimits.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

const OrganisationSettings Org = {"o", {}, {}, 100, 100};

/// A VM that hears others whose requests the test counts.
struct LimitsBench {
  explicit LimitsBench(int Others) : Others(Others) {
    std::vector<std::string> Listed = {"self"};
    for (int I = 0; I < Others; ++I)
      Listed.push_back(address(I));
    this->Limits.setListedVms(Listed);
    this->Limits.setOrganisations({Org});
    this->Sent.resize(static_cast<std::size_t>(Others));
    this->Incarnations.resize(this->Sent.size(), 1);
  }

  static std::string address(int Vm) { return "vm" + std::to_string(Vm); }

  void report(int Vm, std::uint64_t Requests = 0) {
    const auto Index = static_cast<std::size_t>(Vm);
    this->Sent[Index] += Requests;
    UseReport Report;
    if (this->Sent[Index] > 0)
      Report.Uses = {
          {organisationKey("o"), this->Sent[Index], this->Sent[Index], 0, 0}};
    this->Limits.addVmReport(address(Vm), this->Incarnations[Index], Report,
                             true, true);
  }
  /// Lets the first \p Heard other VMs report every 100 ms.
  void runFor(Duration Span, int Heard) {
    for (Duration Passed(0); Passed < Span; Passed += 100ms) {
      this->Time.advance(100ms);
      for (int I = 0; I < Heard; ++I)
        this->report(I);
    }
  }
  int admitUntilRefused() {
    int Admitted = 0;
    while (!this->Limits.refuse(Org, 0))
      ++Admitted;
    return Admitted;
  }

  int Others;
  ManualClock Time;
  RateLimits Limits{this->Time, "self"};
  std::vector<std::uint64_t> Sent;
  std::vector<std::uint64_t> Incarnations;
};

} // namespace

// Guards against a VM that uses the parts of VMs behind a partition, and
// against parts that never return.
Test(FleetShares, PartsOfUnheardVmsReturnAfterTwentySeconds) {
  LimitsBench Bench(3);
  Bench.runFor(3s, 3);
  cr_assert_float_eq(Bench.Limits.balance("o"), 108, 1);
  Bench.runFor(1200ms, 1);
  cr_assert_eq(Bench.Limits.shares().heard(), 2);
  cr_assert_float_eq(Bench.Limits.balance("o"), 54, 1);
  Bench.runFor(18500ms, 1);
  cr_assert_float_eq(Bench.Limits.balance("o"), 54, 1);
  Bench.runFor(1500ms, 1);
  cr_assert_eq(Bench.Limits.shares().count(), 2);
  cr_assert_float_eq(Bench.Limits.balance("o"), 108, 1);
}

// Guards against a limit that is refilled in full until a partition is noticed.
Test(FleetShares, UnheardPartsAreNotRefilledAtOnce) {
  LimitsBench Bench(3);
  Bench.runFor(3s, 3);
  Bench.report(0, 108);
  const double Before = Bench.Limits.balance("o");
  Bench.runFor(800ms, 1);
  // Two of four VMs are heard for 0.8 s.
  const double Refilled = Bench.Limits.balance("o") - Before;
  cr_assert_float_eq(Refilled, 40, 3, "%.1f %.1f", Before, Refilled);
}

// Guards against two parts for one address after a restart.
Test(FleetShares, NewIncarnationReplacesTheOldOneAtOnce) {
  LimitsBench Bench(3);
  Bench.runFor(3s, 3);
  Bench.runFor(2s, 1);
  cr_assert_eq(Bench.Limits.shares().heard(), 2);
  Bench.Incarnations[1] = 2;
  Bench.Incarnations[2] = 2;
  Bench.report(1);
  Bench.report(2);
  cr_assert_eq(Bench.Limits.shares().heard(), 4);
  cr_assert_eq(Bench.Limits.shares().count(), 4);
  // What the old ones did not use is refilled.
  cr_assert_geq(Bench.Limits.balance("o"), 100);
  Bench.runFor(500ms, 3);
  cr_assert_float_eq(Bench.Limits.balance("o"), 108, 1);
}

// Guards against a VM that starts with the whole burst before it knows of the
// other VMs, also when it does not know yet how many there are.
Test(RateLimits, StartedVmHasItsShareOnly) {
  LimitsBench Bench(9);
  Bench.runFor(100ms, 0);
  int Admitted = Bench.admitUntilRefused();
  cr_assert_leq(Admitted, 12);
  // It does not use the parts of the VMs that it begins to hear.
  for (int I = 0; I < 3; ++I) {
    Bench.runFor(100ms, 9);
    Admitted += Bench.admitUntilRefused();
  }
  cr_assert_leq(Admitted, 18);
  ManualClock Time;
  RateLimits Unlisted(Time, "self");
  Unlisted.setOrganisations({Org});
  cr_assert_leq(Unlisted.balance("o"), 2);
}

// Guards against requests that are counted twice or not at all when reports are
// lost, repeated or overtake each other.
Test(RateLimits, LostAndReorderedReportsCountOnce) {
  LimitsBench Bench(1);
  Bench.runFor(3s, 1);
  const double Before = Bench.Limits.balance("o");
  const auto Report = [&](std::uint64_t Admitted) {
    const UseReport Sent = {{{organisationKey("o"), Admitted, Admitted, 0, 0}},
                            true};
    Bench.Limits.addVmReport("vm0", 1, Sent, true, true);
  };
  for (const std::uint64_t Admitted : {10, 30, 20, 30, 40})
    Report(Admitted);
  cr_assert_float_eq(Before - Bench.Limits.balance("o"), 40, 0.5);
}

// Guards against the requests of a zone that count twice: this VM's own ones,
// and those of a new aggregator whose counts began at another time.
Test(RateLimits, SumOfAZoneCountsTheOtherVmsOnce) {
  LimitsBench Bench(1);
  Bench.runFor(3s, 1);
  const auto Sum = [&](std::uint64_t Aggregator, std::uint64_t Sequence,
                       std::uint64_t Admitted) {
    Bench.Limits.addZoneReport(
        "a", Aggregator, Sequence,
        {{{organisationKey("o"), Admitted, Admitted, 60, 0}}, true}, true);
  };
  Bench.Limits.makeReport(1, ReportScope::Recent);
  Sum(7, 1, 1000);
  cr_assert_float_eq(Bench.Limits.balance("o"), 60, 0.5);
  for (int I = 0; I < 5; ++I)
    Bench.Limits.refuse(Org, 0);
  Bench.Limits.makeReport(2, ReportScope::Recent);
  Sum(7, 2, 1015);
  // Five of the 15 are its own.
  cr_assert_float_eq(Bench.Limits.balance("o"), 45, 0.5);
  Sum(8, 2, 4000);
  cr_assert_float_eq(Bench.Limits.balance("o"), 45, 0.5);
}

// Guards against a limit that is refilled by a change of the settings.
Test(RateLimits, ChangedLimitKeepsTheBalance) {
  LimitsBench Bench(0);
  Bench.runFor(3s, 0);
  Bench.admitUntilRefused();
  OrganisationSettings Changed = Org;
  Changed.RatePerSecond = 50;
  Changed.Burst = 500;
  Bench.Limits.setOrganisations({Changed});
  cr_assert_leq(Bench.Limits.balance("o"), 0);
  Bench.Time.advance(8s);
  cr_assert_float_eq(Bench.Limits.balance("o"), 400, 2);
  Changed.Burst = 20;
  Bench.Limits.setOrganisations({Changed});
  cr_assert_float_eq(Bench.Limits.balance("o"), 28, 1);
}

// Guards against callers that come back before a token is expected, or all at
// once.
Test(RateLimits, RetryDelayFollowsTheBalance) {
  LimitsBench Bench(0);
  OrganisationSettings Slow = Org;
  Slow.RatePerSecond = 0.5;
  Slow.Burst = 0.5;
  Bench.Limits.setOrganisations({Slow});
  Bench.Time.advance(1s);
  while (!Bench.Limits.refuse(Slow, 0))
    continue;
  const Duration First = *Bench.Limits.refuse(Slow, 0);
  cr_assert_geq(First.count(), Duration(2s).count());
  cr_assert_eq(Bench.Limits.refuse(Slow, 700'000)->count(),
               (First + 700ms).count());
  Slow.RatePerSecond = 1000;
  Bench.Limits.setOrganisations({Slow});
  cr_assert_eq(Bench.Limits.refuse(Slow, 0)->count(), Duration(300ms).count());
}

// Guards against reports that grow with the number of organisations, and
// against organisations that are never reported.
Test(RateLimits, ReportHasTheLargestChanges) {
  ManualClock Time;
  RateLimits Limits(Time, "self");
  std::vector<OrganisationSettings> All;
  All.reserve(300);
  for (int I = 0; I < 300; ++I)
    All.push_back({"o" + std::to_string(I), {}, {}, 100, 100});
  Limits.setListedVms({"self"});
  Limits.setOrganisations(All);
  Limits.refuse(All[299], 0);
  for (int Repeat = 0; Repeat < 2; ++Repeat)
    for (const OrganisationSettings &Each : All)
      Limits.refuse(Each, 0);
  const UseReport First = Limits.makeReport(1, ReportScope::Recent);
  cr_assert_eq(First.Uses.size(), RateLimits::MaxReportedUses);
  cr_assert_eq(First.Uses.at(0).Organisation, organisationKey("o299"));
  cr_assert_eq(First.Uses.at(0).Admitted, 3);
  std::size_t Reported = First.Uses.size();
  for (std::uint64_t Sequence = 2; Sequence <= 4; ++Sequence)
    Reported += Limits.makeReport(Sequence, ReportScope::Recent).Uses.size();
  Limits.makeReport(5, ReportScope::Recent);
  Time.advance(6s);
  cr_assert(Limits.makeReport(6, ReportScope::Recent).Uses.empty());
  cr_assert_eq(Reported, 4 * RateLimits::MaxReportedUses);
}

// Guards against frequent messages that repeat all recent organisations, and
// against other zones that miss requests which the own zone was told of.
Test(RateLimits, FrequentReportsHaveTheChangesOnly) {
  LimitsBench Bench(0);
  OrganisationSettings Second = Org;
  Second.Name = "p";
  Bench.Limits.setOrganisations({Org, Second});
  Bench.Limits.refuse(Org, 0);
  cr_assert_eq(Bench.Limits.makeReport(1, ReportScope::Changed).Uses.size(), 1);
  Bench.Limits.refuse(Second, 0);
  const UseReport Changed = Bench.Limits.makeReport(2, ReportScope::Changed);
  cr_assert_eq(Changed.Uses.size(), 1);
  cr_assert_eq(Changed.Uses[0].Organisation, organisationKey("p"));
  cr_assert_eq(Bench.Limits.makeReport(3, ReportScope::Recent).Uses.size(), 2);
}
