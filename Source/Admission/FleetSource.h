#ifndef TURMERICPASS_ADMISSION_FLEETSOURCE_H
#define TURMERICPASS_ADMISSION_FLEETSOURCE_H

#include <set>
#include <string>

namespace turmericpass {

struct FleetSettings;

/// Provides the state of the fleet as this process knows it. References stay
/// valid until the next iteration of the event loop.
class FleetSource {
public:
  virtual ~FleetSource() = default;

  virtual const FleetSettings &settings() const = 0;

  /// Returns the nodes whose dispatchers are believed to be live.
  virtual const std::set<std::string> &liveNodes() const = 0;

  /// Returns the zones that have no live node and are served by dispatchers in
  /// other zones.
  virtual const std::set<std::string> &adoptedZones() const = 0;

  /// Returns the fingerprints of requests that crashed servers.
  virtual const std::set<std::string> &quarantinedFingerprints() const = 0;
};

} // namespace turmericpass

#endif
