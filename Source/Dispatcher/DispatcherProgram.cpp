#include "Dispatcher/DispatcherProgram.h"

#include "Backends/HttpBackendPort.h"
#include "Control/FleetAgent.h"
#include "Daemon/DaemonContext.h"
#include "Daemon/ExplainPage.h"
#include "Dispatcher/DispatcherDaemon.h"

namespace turmericpass {

ExitStatus runDispatcher(DaemonContext &Context, Scheduler &Decisions) {
  if (const Result<void> Opened = Context.open(); !Opened) {
    Context.Log.log(LogLevel::Error, Opened.error().Message);
    return ExitStatus::Refused;
  }
  const NodeSettings &Node = Context.Options.Node;
  FleetAgent Fleet(Context.Loop, Context.Peers, Context.Log,
                   controllerAddress(Node), "dispatcher",
                   Context.Options.Settings);
  HttpBackendPort Backends(Context.Loop, Context.Client);
  ExplainPage Records(Context);
  DispatcherDaemon Daemon({Context.Loop, Context.Peers, Backends, Decisions,
                           Fleet, Records.records(), Context.Log, Context.Stats,
                           Context.Spans},
                          Node.Name);
  Context.onCollect([&Context, &Fleet] {
    Context.Stats.set("settings_version",
                      static_cast<double>(Fleet.settings().Version));
  });
  Daemon.start();
  return Context.run([&Daemon] { Daemon.drain(); },
                     [&Daemon] { return Daemon.isIdle(); });
}

} // namespace turmericpass
