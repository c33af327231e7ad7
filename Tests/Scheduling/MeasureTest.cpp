// Checks the bounds of section 11 of docs/design.md on fake engines in virtual
// time, and that a baseline policy exceeds them under the same load.
#include "Support/BaselineScheduler.h"
#include "Support/FakeWorkload.h"
#include "Support/SchedulerRig.h"

#include <criterion/criterion.h>

using namespace turmericpass;

namespace {

constexpr int Engines = 12;
constexpr std::uint32_t Slots = 8;
constexpr int DurationMs = 30000;

struct BaselineRig {
  BaselineRig() : Fleet(Sut, Now) {
    const FleetSettings Settings = fakeSettings(Engines, Slots);
    this->Sut.configure(Settings, allServers(Settings));
  }
  void warmUp() {}

  ManualClock Now;
  BaselineScheduler Sut;
  FakeFleet Fleet;
};

struct Measurement {
  double P50 = 0;
  double P99 = 0;
  /// The batch tokens as a share of those that the slots without online work
  /// could generate.
  double BatchShare = 0;
  /// The mean number of hedges and retries per request.
  double ExtraAttempts = 0;
};

using Setup = std::function<void(FakeWorkload &)>;

template <typename Rig>
Measurement measure(Rig &&TestRig, const Setup &Configure,
                    bool MovesSlowness = false) {
  TestRig.warmUp();
  FakeFleet &Fleet = TestRig.Fleet;
  FakeWorkload Load(Fleet);
  Configure(Load);
  double OnlineSlotMillis = 0;
  int ElapsedMs = 0;
  Fleet.EachMilli = [&] {
    for (auto &[Name, Engine] : Fleet.Engines)
      for (auto &[Id, Each] : Engine.Streams)
        OnlineSlotMillis += Each.Work.Class == "batch" ? 0 : 1;
    if (MovesSlowness && ElapsedMs++ % 3000 == 0) {
      const int First = ElapsedMs / 3000 * 5 % Engines;
      int Index = 0;
      for (auto &[Name, Engine] : Fleet.Engines) {
        Engine.Slowness =
            Index == First || Index == (First + 1) % Engines ? 10 : 1;
        ++Index;
      }
    }
  };
  Load.run(DurationMs);
  Measurement Result;
  Result.P50 = Fleet.quantile("short", 0.5);
  Result.P99 = Fleet.quantile("short", 0.99);
  double BatchTokens = 0;
  for (const auto &[Id, Answer] : Fleet.Answers)
    if (Id.starts_with("batch"))
      BatchTokens += static_cast<double>(Answer.Tokens.size());
  const double IdleSlotMillis =
      double{Engines} * Slots * DurationMs - OnlineSlotMillis;
  Result.BatchShare = BatchTokens * Fleet.StepMillis / IdleSlotMillis;
  Result.ExtraAttempts = (Fleet.count("hedged") + Fleet.count("retried")) /
                         static_cast<double>(Fleet.Answers.size());
  return Result;
}

} // namespace

// Guards against online work that waits behind batch work, and against idle
// slots while batch work is waiting.
Test(Measures, BatchFillsWhatOnlineLeavesIdle) {
  const auto Online = [](FakeWorkload &Load) { Load.OnlinePerMilli = 0.1; };
  const auto OnlineAndBatch = [](FakeWorkload &Load) {
    Load.OnlinePerMilli = 0.1;
    Load.BatchBacklog = 200;
  };
  const Measurement Reference = measure(SchedulerRig(Engines, Slots), Online);
  const Measurement Combined =
      measure(SchedulerRig(Engines, Slots), OnlineAndBatch);
  const Measurement Baseline = measure(BaselineRig(), OnlineAndBatch);
  cr_assert(Combined.P99 <= 1.10 * Reference.P99);
  cr_assert(Combined.BatchShare >= 0.90);
  cr_assert(Baseline.P99 > 1.10 * Reference.P99);
}

// Guards against short requests that wait behind long ones.
Test(Measures, ShortWorkBesideLongWork) {
  const auto Short = [](FakeWorkload &Load) { Load.OnlinePerMilli = 0.1; };
  const auto Mixed = [](FakeWorkload &Load) {
    Load.OnlinePerMilli = 0.1;
    Load.LongShare = 0.1;
    Load.LongLength = 1000;
  };
  const Measurement Reference = measure(SchedulerRig(Engines, Slots), Short);
  const Measurement Combined = measure(SchedulerRig(Engines, Slots), Mixed);
  const Measurement Baseline = measure(BaselineRig(), Mixed);
  cr_assert(Combined.P99 <= 1.25 * Reference.P99);
  cr_assert(Baseline.P99 > 1.25 * Reference.P99);
}

// As above, with answer sizes that cannot be estimated in advance.
Test(Measures, ShortWorkBesideStragglers) {
  const auto Short = [](FakeWorkload &Load) {
    Load.OnlinePerMilli = 0.07;
    Load.MaxTokens = 2000;
  };
  const auto Mixed = [](FakeWorkload &Load) {
    Load.OnlinePerMilli = 0.07;
    Load.MaxTokens = 2000;
    Load.LongShare = 0.1;
    Load.LongLength = 1000;
  };
  const Measurement Reference = measure(SchedulerRig(Engines, Slots), Short);
  const Measurement Combined = measure(SchedulerRig(Engines, Slots), Mixed);
  const Measurement Baseline = measure(BaselineRig(), Mixed);
  cr_assert(Combined.P99 <= 1.25 * Reference.P99);
  cr_assert(Baseline.P99 > 1.25 * Reference.P99);
}

// Guards against a tail latency that is determined by the slowest servers, also
// if other servers become slow every 3 seconds, and against hedges and retries
// beyond the budget.
Test(Measures, SlowServers) {
  const auto Online = [](FakeWorkload &Load) { Load.OnlinePerMilli = 0.1; };
  const Measurement Reference = measure(SchedulerRig(Engines, Slots), Online);
  const Measurement Slowed =
      measure(SchedulerRig(Engines, Slots), Online, true);
  const Measurement Baseline = measure(BaselineRig(), Online, true);
  cr_assert(Slowed.P99 <= 1.5 * Reference.P99);
  cr_assert(Slowed.ExtraAttempts <= 0.05);
  cr_assert(Baseline.P99 > 1.5 * Reference.P99);
}
