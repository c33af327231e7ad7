#include "Dispatcher/DispatcherProgram.h"

#include "Backends/HttpBackendPort.h"
#include "Daemon/DaemonContext.h"
#include "Daemon/DaemonFleet.h"
#include "Daemon/ExplainPage.h"
#include "Dispatcher/DispatcherDaemon.h"

namespace turmericpass {

ExitStatus runDispatcher(DaemonContext &Context, Scheduler &Decisions) {
  if (const Result<void> Opened = Context.open(); !Opened) {
    Context.Log.log(LogLevel::Error, Opened.error().Message);
    return ExitStatus::Refused;
  }
  DaemonFleet Link(Context);
  HttpBackendPort Backends(Context.Loop, Context.Client);
  ExplainPage Records(Context);
  DispatcherDaemon Daemon({Context.Loop, Context.Peers, Backends, Decisions,
                           Link.agent(), Records.records(), Context.Log,
                           Context.Stats, Context.Spans},
                          Context.Options.Node.Name);
  Daemon.start();
  return Context.run([&Daemon] { Daemon.drain(); },
                     [&Daemon] { return Daemon.isIdle(); });
}

} // namespace turmericpass
