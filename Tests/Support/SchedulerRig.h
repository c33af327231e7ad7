#ifndef TURMERICPASS_TESTS_SUPPORT_SCHEDULERRIG_H
#define TURMERICPASS_TESTS_SUPPORT_SCHEDULERRIG_H

#include "Core/IdSource.h"
#include "Scheduling/FleetScheduler.h"
#include "Support/FakeFleet.h"

#include <memory>

namespace turmericpass {

/// A FleetScheduler with fake engines and the windows grown to all slots.
struct SchedulerRig {
  explicit SchedulerRig(const FleetSettings &Wanted)
      : Settings(Wanted), Sut(Now, Ids), Fleet(Sut, Now) {
    this->Sut.configure(this->Settings, allServers(this->Settings));
  }
  SchedulerRig(int Engines, std::uint32_t Slots)
      : SchedulerRig(fakeSettings(Engines, Slots)) {}

  /// Runs enough small requests for every window to reach its slots.
  void warmUp() {
    const auto Slots = this->Settings.Servers.begin()->second.Slots;
    const auto Each = static_cast<int>(Slots * this->Settings.Servers.size());
    for (int Round = 0; Round < 12; ++Round) {
      for (int I = 0; I < Each; ++I)
        this->Fleet.submit(this->Fleet.request("w" + std::to_string(Round) +
                                                   "-" + std::to_string(I),
                                               "check", 20));
      this->Fleet.advance(400);
    }
    // Slow enough for the reserve of this burst to pass.
    this->Fleet.advance(100);
  }

  ManualClock Now;
  IdSource Ids{1};
  FleetSettings Settings;
  FleetScheduler Sut;
  FakeFleet Fleet;
};

} // namespace turmericpass

#endif
