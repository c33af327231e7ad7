#include "Backends/HttpBackendPort.h"
#include "Control/DecisionLog.h"
#include "Control/FleetAgent.h"
#include "Daemon/DaemonContext.h"
#include "Dispatcher/DispatcherDaemon.h"
#include "Http/PercentEncoding.h"
#include "Scheduling/FleetScheduler.h"

#include <iostream>

using namespace turmericpass;

namespace {

/// Bounds of the records kept for `turmericpass explain`.
constexpr std::size_t MaxRecords = 20000;
constexpr std::size_t MaxRecordBytes = std::size_t{4} << 20U;

} // namespace

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
  DecisionLog Records(Context.Time, MaxRecords, MaxRecordBytes);
  DispatcherDaemon Daemon({Context.Loop, Context.Peers, Backends, Decisions,
                           Fleet, Records, Context.Log, Context.Stats,
                           Context.Spans},
                          Node.Name);
  Context.onAdmin("/explain", [&Records](const HttpRequest &Request) {
    const std::string Subject = findQueryValue(Request.Query, "id");
    return HttpReply{200,
                     {{"Content-Type", "application/json"}},
                     toJson(Records.about(Subject))};
  });
  Context.onCollect([&Context, &Fleet] {
    Context.Stats.set("settings_version",
                      static_cast<double>(Fleet.settings().Version));
  });
  Daemon.start();
  return static_cast<int>(Context.run([&Daemon] { Daemon.drain(); },
                                      [&Daemon] { return Daemon.isIdle(); }));
}
