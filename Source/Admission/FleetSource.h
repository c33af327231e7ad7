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
};

} // namespace turmericpass

#endif
