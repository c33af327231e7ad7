#ifndef TURMERICPASS_SCHEDULING_SERVERSTATE_H
#define TURMERICPASS_SCHEDULING_SERVERSTATE_H

#include "Scheduling/ConcurrencyWindow.h"
#include "Scheduling/SchedulingTypes.h"
#include "Scheduling/ServerHealth.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmericpass {

/// The scheduler's state of a backend server.
struct ServerState {
  std::string Name;
  std::string Service;
  bool Owned = false;
  bool Leaving = false;
  ConcurrencyWindow Window;
  ServerHealth Health;
  std::vector<SchedulerAttemptId> Attempts;
  std::uint32_t RunningOnline = 0;
  std::uint64_t TokensInFlight = 0;
  /// The number of long attempts of each class.
  std::map<std::string, std::uint32_t> LongByClass;
  Instant LastStart;
  /// The time at which the server was last considered lost.
  Instant LostAt;
  /// The time of the last token of any stream of this server.
  Instant LastToken;

  bool isUsable() const { return this->Owned && !this->Leaving; }

  std::uint32_t running() const {
    return static_cast<std::uint32_t>(this->Attempts.size());
  }

  /// Returns whether the server gets normal work and counts in comparisons
  /// between servers.
  bool isFit() const {
    return this->Health.state() == HealthState::Normal ||
           this->Health.state() == HealthState::Returning;
  }

  /// Returns how many requests the server may run at once at the time \p Now.
  std::uint32_t limit(Instant Now) {
    return this->Health.allowance(this->Window.requests(), Now);
  }
};

} // namespace turmericpass

#endif
