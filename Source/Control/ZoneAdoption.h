#ifndef TURMERICPASS_CONTROL_ZONEADOPTION_H
#define TURMERICPASS_CONTROL_ZONEADOPTION_H

#include "Core/Clock.h"

#include <map>
#include <set>
#include <string>

namespace turmericpass {

struct FleetSettings;

/// Decides when other zones take over the backend servers of a zone that has no
/// live node.
class ZoneAdoption {
public:
  /// The time without a live node after which a zone is adopted. A restart of
  /// the last node of a zone takes less time.
  static constexpr Duration Delay = std::chrono::seconds(5);

  /// Returns the zones that have had no node in \p LiveNodes for Delay.
  std::set<std::string> update(const FleetSettings &Settings,
                               const std::set<std::string> &LiveNodes,
                               Instant Now);

private:
  std::map<std::string, Instant> EmptySince;
};

} // namespace turmericpass

#endif
