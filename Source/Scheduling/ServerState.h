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

/// What the scheduler knows of one backend server.
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
  /// Long attempts by class.
  std::map<std::string, std::uint32_t> LongByClass;
  Instant LastStart;
  /// When it was last taken for lost.
  Instant LostAt;
  /// When any of its streams last gave a token.
  Instant LastToken;

  bool isUsable() const { return this->Owned && !this->Leaving; }

  std::uint32_t running() const {
    return static_cast<std::uint32_t>(this->Attempts.size());
  }

  /// Returns whether it is in a state in which peers are compared and work is
  /// placed without restraint.
  bool isFit() const {
    return this->Health.state() == HealthState::Normal ||
           this->Health.state() == HealthState::Returning;
  }

  /// Returns the most requests it may run now.
  std::uint32_t limit(Instant Now) {
    return this->Health.allowance(this->Window.requests(), Now);
  }
};

} // namespace turmericpass

#endif
