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
  bool IsOwned = false;
  bool IsLeaving = false;
  ConcurrencyWindow Window;
  ServerHealth Health;
  std::vector<SchedulerAttemptId> Attempts;
  std::uint32_t OnlineAttemptCount = 0;
  std::uint64_t TokensInFlight = 0;
  /// The number of long attempts of each class.
  std::map<std::string, std::uint32_t> LongAttemptsByClass;
  Instant LastStartTime;
  /// The time at which the server was last considered lost.
  Instant LossTime;
  /// The time of the last token of any stream of this server.
  Instant LastTokenTime;

  bool isUsable() const { return this->IsOwned && !this->IsLeaving; }

  std::uint32_t attemptCount() const {
    return static_cast<std::uint32_t>(this->Attempts.size());
  }

  /// Returns whether the server gets normal work and counts in comparisons
  /// between servers.
  bool isHealthy() const {
    return this->Health.state() == HealthState::Normal ||
           this->Health.state() == HealthState::Recovering;
  }

  /// Returns how many requests the server may run at once at the time \p Now.
  std::uint32_t currentRequestLimit(Instant Now) {
    return this->Health.allowedRequests(this->Window.requestLimit(), Now);
  }
};

} // namespace turmericpass

#endif
