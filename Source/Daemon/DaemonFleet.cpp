#include "Daemon/DaemonFleet.h"

#include "Daemon/DaemonContext.h"

namespace turmericpass {

DaemonFleet::DaemonFleet(DaemonContext &Context)
    : Agent(Context.Loop, Context.Peers, Context.Log,
            controllerAddress(Context.Options.Node),
            std::string(toName(Context.Role)), Context.Options.Settings) {
  Context.onCollect([this, &Context] {
    Context.Stats.set("settings_version",
                      static_cast<double>(this->Agent.settings().Version));
  });
}

} // namespace turmericpass
