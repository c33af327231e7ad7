#ifndef TURMERICPASS_CONTROL_ZONEADOPTION_H
#define TURMERICPASS_CONTROL_ZONEADOPTION_H

#include "Core/Clock.h"

#include <map>
#include <set>
#include <string>

namespace turmericpass {

struct FleetSettings;

/// Decides when other zones serve the backend servers of a zone whose nodes
/// are all gone.
class ZoneAdoption {
public:
  /// A restart of a zone's last node is over sooner than this.
  static constexpr Duration Delay = std::chrono::seconds(5);

  /// Returns the zones that have had no node among \p LiveNodes for Delay.
  std::set<std::string> update(const FleetSettings &Settings,
                               const std::set<std::string> &LiveNodes,
                               Instant Now);

private:
  std::map<std::string, Instant> EmptySince;
};

} // namespace turmericpass

#endif
