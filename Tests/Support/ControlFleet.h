#ifndef TURMERICPASS_TESTS_SUPPORT_CONTROLFLEET_H
#define TURMERICPASS_TESTS_SUPPORT_CONTROLFLEET_H

#include "Settings/FleetSettings.h"
#include "Settings/SettingsFolder.h"

#include <cstddef>
#include <string>
#include <vector>

namespace turmericpass {

/// Returns a fleet of zones z0, z1, ... with nodes z0n0, z0n1, ... each.
inline FleetSettings makeFleet(std::size_t Zones, std::size_t NodesPerZone) {
  FleetSettings Settings;
  for (std::size_t Z = 0; Z < Zones; ++Z) {
    const std::string Zone = "z" + std::to_string(Z);
    Settings.Zones[Zone] = {Zone, "r"};
    for (std::size_t N = 0; N < NodesPerZone; ++N) {
      NodeSettings Node;
      Node.Name = Zone + "n" + std::to_string(N);
      Node.Zone = Zone;
      Node.Address = "127.0." + std::to_string(Z) + "." + std::to_string(N + 1);
      Node.ControllerPort = 7104;
      Settings.Nodes[Node.Name] = Node;
    }
  }
  return Settings;
}

/// Returns the files of a valid folder in which only \p Mark differs.
inline std::vector<SettingsFile> makeFolder(const std::string &Mark) {
  return {{"10-base.toml", "[platform]\n"
                           "table = \"127.0.9.250:7001\"\n"
                           "objects = \"127.0.9.250:7001\"\n"
                           "vms = \"127.0.9.250:7001\"\n"
                           "weights = \"127.0.9.250:7001\"\n"
                           "[zones.z1]\nregion = \"r\"\n"
                           "[nodes.n1]\nzone = \"z1\"\n"
                           "address = \"127.0.9.1\"\n"
                           "[services.s]\nkind = \"plain\"\n"},
          {"20-classes.toml", "[classes.c" + Mark + "]\nkind = \"online\"\n"}};
}

} // namespace turmericpass

#endif
