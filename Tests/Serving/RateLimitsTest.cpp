#include "Serving/RateLimitsFleet.h"

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <iostream>
#include <map>
#include <rapidcheck.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

/// The limit of an organisation is this multiple of its mean demand.
constexpr double RateOfMean = 1.6;

using Options = RateLimitsFleet::Options;

Options options(std::uint64_t Seed, double Rate, int Zones = 3,
                int VmsPerZone = 6) {
  Options Setup;
  Setup.Seed = Seed;
  Setup.Rate = Rate;
  Setup.Burst = Rate;
  Setup.Zones = Zones;
  Setup.VmsPerZone = VmsPerZone;
  return Setup;
}

/// The waves of the callers' traffic around \p Mean.
double wave(double Seconds, double Mean) {
  return Mean * (std::fmod(Seconds, 5.8) < 2.4 ? 1.87 : 0.38);
}

std::uint64_t seed() { return *rc::gen::arbitrary<std::uint64_t>(); }

/// Runs \p Property with fewer cases than usual, because each case simulates
/// half a minute of a fleet.
template <typename Property> bool holds(Property &&Checked, int Cases = 40) {
  rc::detail::TestParams Params = rc::detail::configuration().testParams;
  Params.maxSuccess = std::min(Params.maxSuccess, Cases);
  Params.disableShrinking = true;
  const auto Result = rc::detail::checkTestable(
      std::forward<Property>(Checked), rc::detail::TestMetadata(), Params);
  rc::detail::printResultMessage(Result, std::cerr);
  std::cerr << std::endl;
  return Result.template is<rc::detail::SuccessResult>();
}

double rate() { return *rc::gen::element(5.0, 40.0, 314.0); }

} // namespace

/// Adds up cases, because random requests of a small organisation exceed its
/// limit in some of them.
struct Refusals {
  std::size_t Refused = 0;
  std::size_t Requests = 0;

  void add(const RateLimitsFleet &Fleet) {
    this->Refused += Fleet.refusedCount();
    this->Requests += Fleet.requestCount();
  }
  double part() const {
    return static_cast<double>(this->Refused) /
           static_cast<double>(this->Requests);
  }
};

// Guards against refusals within the limit: of waves and of a steady demand, at
// all VMs or at one, and with lost reports.
Test(RateLimits, CalmDemandIsNotRefused) {
  std::map<double, Refusals> Sums;
  cr_assert(holds([&] {
    const double Rate = rate();
    Options Setup = options(seed(), Rate, *rc::gen::inRange(1, 4), 6);
    RateLimitsFleet Fleet(Setup);
    if (*rc::gen::arbitrary<bool>())
      Fleet.UsedVms = {0};
    const bool HasWaves = *rc::gen::arbitrary<bool>();
    Fleet.run(20, [&](double At) {
      const double Mean = Rate / RateOfMean;
      return At < 1 ? 0 : HasWaves ? wave(At, Mean) : Mean;
    });
    Sums[Rate].add(Fleet);
    RC_LOG() << Rate << " " << HasWaves << " " << Fleet.refusedWithinLimit();
    RC_ASSERT(Fleet.refusedWithinLimit() <= 0.02);
  }));
  for (const auto &[Rate, Sum] : Sums) {
    cr_log_info("Rate %.0f: %zu of %zu refused.", Rate, Sum.Refused,
                Sum.Requests);
    cr_assert_leq(Sum.part(), 0.02, "rate %.1f", Rate);
  }
}

// Guards against a share of the burst that is far below one request, so that
// organisations with few requests are refused on a large site.
Test(RateLimits, SmallOrganisationsAreNotRefused) {
  std::map<double, Refusals> Sums;
  cr_assert(holds(
      [&] {
        const double Rate = *rc::gen::element(0.2, 0.7, 2.0);
        RateLimitsFleet Fleet(options(seed(), Rate, 2, 40));
        Fleet.run(40, [&](double At) {
          return At < 1 ? 0 : wave(At, Rate / RateOfMean);
        });
        Sums[Rate].add(Fleet);
        RC_LOG() << Rate << " " << Fleet.refusedWithinLimit();
        RC_ASSERT(Fleet.refusedWithinLimit() <= 0.02);
      },
      12));
  for (const auto &[Rate, Sum] : Sums) {
    cr_log_info("Rate %.1f: %zu of %zu refused.", Rate, Sum.Refused,
                Sum.Requests);
    cr_assert_leq(Sum.part(), 0.02, "rate %.1f", Rate);
  }
}

// Guards against an excess over the window when a demand of several times the
// rate begins in all zones before they know of each other, once or repeatedly.
// Also guards against a limit that is not used in full then.
Test(RateLimits, HotDemandKeepsToTheWindow) {
  cr_assert(holds([] {
    const double Rate = rate();
    Options Setup = options(seed(), Rate, *rc::gen::inRange(1, 4));
    Setup.Loss = *rc::gen::element(0.0, 0.05, 0.2);
    Setup.OtherZoneDelay = *rc::gen::element<Duration>(20ms, 100ms, 400ms);
    RateLimitsFleet Fleet(Setup);
    const double Mean = Rate / RateOfMean;
    const double Factor = *rc::gen::element(3.0, 5.0, 8.0);
    const double On = *rc::gen::element(0.3, 0.6, 2.0, 6.0);
    const double Off = *rc::gen::element(0.5, 2.0, 4.0);
    Fleet.run(26, [&](double At) {
      if (At < 6)
        return Mean;
      return std::fmod(At - 6, On + Off) < On ? Factor * Mean : Mean * 0.2;
    });
    RC_LOG() << Rate << " zones " << Setup.Zones << " loss " << Setup.Loss
             << " factor " << Factor << " on " << On << " off " << Off
             << " delay " << Setup.OtherZoneDelay.count() << " window "
             << Fleet.worstWindow();
    RC_ASSERT(Fleet.worstWindow() <= 1);
    if (On == 6)
      RC_ASSERT(Fleet.admittedBetween(6, 12) >= 0.95 * 6 * Rate);
  }));
}

// Guards against two zones that both use the whole rate for as long as their
// reports take.
Test(RateLimits, TwoZonesWithLateReportsKeepToTheWindow) {
  cr_assert(holds([] {
    Options Setup = options(seed(), 314, 2, 10);
    Setup.OtherZoneDelay = 400ms;
    RateLimitsFleet Fleet(Setup);
    const double Mean = Setup.Rate / RateOfMean;
    Fleet.run(20, [&](double At) { return At < 8 ? Mean : 8 * Mean; });
    RC_LOG() << Fleet.worstWindow();
    RC_ASSERT(Fleet.worstWindow() <= 1);
    RC_ASSERT(Fleet.admittedBetween(8, 14) >= 6 * Setup.Rate);
  }));
}

// Guards against two sides of a partition that both use the whole limit.
Test(RateLimits, PartitionKeepsToTheWindow) {
  cr_assert(holds([] {
    const double Rate = rate();
    RateLimitsFleet Fleet(options(seed(), Rate));
    const double Mean = Rate / RateOfMean;
    const double CutAt = *rc::gen::element(6.0, 8.0, 8.5, 9.0, 11.0);
    const double CutTime = *rc::gen::element(5.0, 8.0, 12.0);
    const auto Wanted = [&](double At) { return At < 8 ? Mean : 8 * Mean; };
    Fleet.run(CutAt, Wanted);
    Fleet.CutZone = 0;
    Fleet.run(CutAt + CutTime, Wanted);
    Fleet.CutZone = -1;
    Fleet.run(CutAt + CutTime + 8, Wanted);
    RC_LOG() << Rate << " cut " << CutAt << " " << CutTime << " window "
             << Fleet.worstWindow();
    RC_ASSERT(Fleet.worstWindow() <= 1);
  }));
}

// Guards against restarted VMs that begin with a full balance, and against
// counts of their earlier incarnations.
Test(RateLimits, RestartsKeepToTheWindow) {
  cr_assert(holds([] {
    const double Rate = rate();
    RateLimitsFleet Fleet(options(seed(), Rate));
    const double Mean = Rate / RateOfMean;
    const auto Killed =
        Fleet.size() * *rc::gen::inRange<std::size_t>(1, 9) / 10;
    const auto Wanted = [&](double At) { return At < 7 ? Mean : 8 * Mean; };
    const double At = *rc::gen::element(7.2, 7.6, 8.0, 10.0);
    Fleet.run(At, Wanted);
    for (std::size_t I = 0; I < Killed; ++I)
      Fleet.kill(I);
    const double Back = At + *rc::gen::element(0.3, 2.0, 4.0);
    Fleet.run(Back, Wanted);
    for (std::size_t I = 0; I < Killed; ++I)
      Fleet.start(I);
    Fleet.run(20, Wanted);
    RC_LOG() << Rate << " killed " << Killed << " at " << At << " back " << Back
             << " window " << Fleet.worstWindow();
    RC_ASSERT(Fleet.worstWindow() <= 1);
  }));
}

// Guards against a loss of most VMs that costs more than the parts of the VMs
// that are away.
Test(RateLimits, UsualDemandIsServedWhileMostVmsRestart) {
  cr_assert(holds([] {
    const double Rate = *rc::gen::element(40.0, 314.0);
    RateLimitsFleet Fleet(options(seed(), Rate, 3, 13));
    const bool HasWaves = *rc::gen::arbitrary<bool>();
    const auto Wanted = [&](double At) {
      const double Mean = Rate / RateOfMean;
      return At < 1 ? 0 : HasWaves ? wave(At, Mean) : Mean;
    };
    const double At = *rc::gen::element(8.0, 9.0, 10.0, 11.0, 12.0, 13.0);
    const std::size_t Killed = Fleet.size() * 55 / 100;
    Fleet.run(At, Wanted);
    for (std::size_t I = 0; I < Killed; ++I)
      Fleet.kill(I);
    Fleet.run(At + 2, Wanted);
    for (std::size_t I = 0; I < Killed; ++I)
      Fleet.start(I);
    Fleet.run(At + 10, Wanted);
    RC_LOG() << Rate << " waves " << HasWaves << " at " << At << " refused "
             << Fleet.refusedPart(At);
    RC_ASSERT(Fleet.worstWindow() <= 1);
    RC_ASSERT(Fleet.refusedPart(At) <= (HasWaves ? 0.2 : 0.02));
  }));
}
