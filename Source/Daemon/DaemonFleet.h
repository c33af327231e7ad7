#ifndef TURMERICPASS_DAEMON_DAEMONFLEET_H
#define TURMERICPASS_DAEMON_DAEMONFLEET_H

#include "Control/FleetAgent.h"

namespace turmericpass {

class DaemonContext;

/// A daemon's link to the controller of its VM. It shows the settings version
/// in force in the metrics.
class DaemonFleet {
public:
  explicit DaemonFleet(DaemonContext &Context);
  DaemonFleet(const DaemonFleet &) = delete;
  DaemonFleet &operator=(const DaemonFleet &) = delete;

  FleetAgent &agent() { return this->Agent; }

private:
  FleetAgent Agent;
};

} // namespace turmericpass

#endif
