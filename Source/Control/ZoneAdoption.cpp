#include "Control/ZoneAdoption.h"

#include "Settings/FleetSettings.h"

namespace turmericpass {

std::set<std::string>
ZoneAdoption::update(const FleetSettings &Settings,
                     const std::set<std::string> &LiveNodes, Instant Now) {
  std::set<std::string> Served;
  for (const std::string &Name : LiveNodes)
    if (const auto Node = Settings.Nodes.find(Name);
        Node != Settings.Nodes.end())
      Served.insert(Node->second.Zone);
  std::map<std::string, Instant> Empty;
  std::set<std::string> Adopted;
  for (const auto &[Name, Zone] : Settings.Zones) {
    if (Served.count(Name) > 0)
      continue;
    const auto Known = this->EmptySince.find(Name);
    const Instant Since = Known == this->EmptySince.end() ? Now : Known->second;
    Empty.emplace(Name, Since);
    if (Now - Since >= Delay)
      Adopted.insert(Name);
  }
  this->EmptySince = std::move(Empty);
  return Adopted;
}

} // namespace turmericpass
