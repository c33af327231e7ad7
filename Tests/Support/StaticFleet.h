#ifndef TURMERICPASS_TESTS_SUPPORT_STATICFLEET_H
#define TURMERICPASS_TESTS_SUPPORT_STATICFLEET_H

#include "Admission/FleetSource.h"
#include "Settings/FleetSettings.h"

#include <utility>

namespace turmericpass {

/// A fleet that a test sets up; all nodes of its settings are live.
class StaticFleet : public FleetSource {
public:
  explicit StaticFleet(FleetSettings Given) : Given(std::move(Given)) {
    for (const auto &[Name, Node] : this->Given.Nodes)
      this->Live.insert(Name);
  }

  const FleetSettings &settings() const override { return this->Given; }
  const std::set<std::string> &liveNodes() const override { return this->Live; }
  const std::set<std::string> &adoptedZones() const override {
    return this->Adopted;
  }
  const std::set<std::string> &quarantinedFingerprints() const override {
    return this->Quarantine;
  }

  FleetSettings Given;
  std::set<std::string> Live;
  std::set<std::string> Adopted;
  std::set<std::string> Quarantine;
};

} // namespace turmericpass

#endif
