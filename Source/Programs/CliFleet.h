#ifndef TURMERICPASS_PROGRAMS_CLIFLEET_H
#define TURMERICPASS_PROGRAMS_CLIFLEET_H

#include "Settings/FleetSettings.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace turmericpass {

class CliContext;

/// What a zone's own controllers say of it.
struct CliZone {
  std::string Zone;
  /// False if no controller of the zone answered: it is cut off from here.
  bool Answers = false;
  std::string Node;
  std::uint64_t SettingsVersion = 0;
  std::vector<std::string> LiveNodes;
  std::vector<std::string> Leaving;
  std::size_t Quarantined = 0;
};

/// Asks the nodes of each zone in turn until one answers.
std::vector<CliZone> askZones(CliContext &Context,
                              const FleetSettings &Settings);

} // namespace turmericpass

#endif
