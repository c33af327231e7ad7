#ifndef TURMERICPASS_GATEWAY_STATICFLEET_H
#define TURMERICPASS_GATEWAY_STATICFLEET_H

#include "Admission/FleetSource.h"
#include "Settings/FleetSettings.h"

#include <utility>

namespace turmericpass {

/// A fleet whose settings do not change and whose nodes are all live.
class StaticFleet : public FleetSource {
public:
  explicit StaticFleet(FleetSettings Given) : Given(std::move(Given)) {
    for (const auto &[Name, Node] : this->Given.Nodes)
      this->Live.insert(Name);
  }

  const FleetSettings &settings() const override { return this->Given; }
  const std::set<std::string> &liveNodes() const override { return this->Live; }

private:
  FleetSettings Given;
  std::set<std::string> Live;
};

} // namespace turmericpass

#endif
