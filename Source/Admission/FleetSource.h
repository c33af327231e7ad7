#ifndef TURMERICPASS_ADMISSION_FLEETSOURCE_H
#define TURMERICPASS_ADMISSION_FLEETSOURCE_H

#include <set>
#include <string>

namespace turmericpass {

struct FleetSettings;

/// What the gateway knows of the fleet. References stay valid until the next
/// turn of the loop.
class FleetSource {
public:
  virtual ~FleetSource() = default;

  virtual const FleetSettings &settings() const = 0;

  /// The nodes whose dispatchers are believed to be live.
  virtual const std::set<std::string> &liveNodes() const = 0;

  /// The zones without a live node that dispatchers elsewhere serve.
  virtual const std::set<std::string> &adoptedZones() const = 0;

  /// The fingerprints of requests that crashed servers.
  virtual const std::set<std::string> &quarantinedFingerprints() const = 0;
};

} // namespace turmericpass

#endif
