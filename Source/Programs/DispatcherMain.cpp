#include "Backends/HttpBackendPort.h"
#include "Control/FleetAgent.h"
#include "Daemon/DaemonContext.h"
#include "Daemon/ExplainPage.h"
#include "Dispatcher/DispatcherDaemon.h"
#include "Scheduling/FleetScheduler.h"

#include <iostream>

using namespace turmericpass;

int main(int ArgCount, char **Args) {
  DaemonStart Start = readDaemonOptions(
      "turmericpass-dispatcher",
      "decides what each backend server of this node runs", ArgCount, Args);
  if (!Start.Options)
    return static_cast<int>(Start.Status);
  DaemonContext Context(DaemonRole::Dispatcher, std::move(*Start.Options));
  if (const Result<void> Opened = Context.open(); !Opened) {
    std::cerr << Opened.error().Message << '\n';
    return static_cast<int>(ExitStatus::Refused);
  }
  const NodeSettings &Node = Context.Options.Node;
  FleetAgent Fleet(Context.Loop, Context.Peers, Context.Log,
                   peerAddress(Node, DaemonRole::Controller), "dispatcher",
                   Context.Options.Settings);
  FleetScheduler Decisions(Context.Time, Context.Ids);
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
  return static_cast<int>(Context.run([&Daemon] { Daemon.drain(); },
                                      [&Daemon] { return Daemon.isIdle(); }));
}
