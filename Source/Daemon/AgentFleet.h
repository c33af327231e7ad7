#ifndef TURMERICPASS_DAEMON_AGENTFLEET_H
#define TURMERICPASS_DAEMON_AGENTFLEET_H

#include "Admission/FleetSource.h"
#include "Control/FleetAgent.h"

namespace turmericpass {

/// The fleet as the controller of this VM tells it.
class AgentFleet : public FleetSource {
public:
  explicit AgentFleet(const FleetAgent &Agent) : Agent(Agent) {}

  const FleetSettings &settings() const override {
    return this->Agent.settings();
  }
  const std::set<std::string> &liveNodes() const override {
    return this->Agent.liveNodes();
  }
  const std::set<std::string> &adoptedZones() const override {
    return this->Agent.adoptedZones();
  }
  const std::set<std::string> &quarantinedFingerprints() const override {
    return this->Agent.quarantinedFingerprints();
  }

private:
  const FleetAgent &Agent;
};

} // namespace turmericpass

#endif
