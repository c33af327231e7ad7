#include "Backends/HttpBackendPort.h"
#include "BaselineScheduler.h"
#include "Control/DecisionLog.h"
#include "Control/FleetAgent.h"
#include "Daemon/DaemonContext.h"
#include "Dispatcher/DispatcherDaemon.h"

#include <cstdlib>
#include <iostream>

using namespace turmericpass;

/// The dispatcher with a baseline policy, named by the environment variable
/// BASELINE_POLICY so that its command line stays that of the real one.
int main(int ArgCount, char **Args) {
  const char *Name = std::getenv("BASELINE_POLICY");
  BaselinePolicy Policy = BaselinePolicy::LeastOutstanding;
  if (!Name || !fromName(Name, Policy)) {
    std::cerr << "BASELINE_POLICY must be round_robin, least_outstanding, "
                 "fcfs or static_partition\n";
    return static_cast<int>(ExitStatus::Usage);
  }
  DaemonStart Start = readDaemonOptions(
      "BaselineDispatcher", "dispatches by a simple policy", ArgCount, Args);
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
  BaselineScheduler Decisions(Policy);
  HttpBackendPort Backends(Context.Loop, Context.Client);
  DecisionLog Records(Context.Time, 1, 1);
  DispatcherDaemon Daemon({Context.Loop, Context.Peers, Backends, Decisions,
                           Fleet, Records, Context.Log, Context.Stats,
                           Context.Spans},
                          Node.Name);
  Daemon.start();
  return static_cast<int>(Context.run([&Daemon] { Daemon.drain(); },
                                      [&Daemon] { return Daemon.isIdle(); }));
}
