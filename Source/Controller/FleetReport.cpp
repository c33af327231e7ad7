#include "Controller/ControllerDaemon.h"

#include <nlohmann/json.hpp>

namespace turmericpass {

std::string ControllerDaemon::describeFleet() const {
  nlohmann::json Zones = nlohmann::json::array();
  for (const ZoneStatus &Zone : this->Members.zones()) {
    nlohmann::json Entry = {{"zone", Zone.Zone},
                            {"reachable", Zone.Reachable},
                            {"live_nodes", Zone.LiveNodes}};
    if (Zone.Zone == this->Members.zone())
      Entry["settings_version"] = Zone.SettingsVersion;
    Zones.push_back(std::move(Entry));
  }
  nlohmann::json Daemons = nlohmann::json::array();
  for (const auto &[Address, State] : this->Daemons)
    Daemons.push_back({{"role", State.Role},
                       {"address", Address},
                       {"settings_version", State.SettingsVersion},
                       {"draining", State.Draining},
                       {"heard", this->isHeard(State)}});
  const nlohmann::json Root = {
      {"node", this->Node},
      {"settings_version", this->Replica.version()},
      {"in_force", this->versionInForce()},
      {"relay", this->Members.isRelay()},
      {"holds_orders_lease", this->Lease.holds()},
      {"zones", std::move(Zones)},
      {"daemons", std::move(Daemons)},
      {"leaving", this->Members.leavingServers()},
      {"quarantined", this->Members.quarantinedFingerprints()}};
  return Root.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

} // namespace turmericpass
