#include "Dispatcher/DispatcherProgram.h"

#include "Backends/HttpBackendPort.h"
#include "Control/DecisionLog.h"
#include "Control/FleetAgent.h"
#include "Daemon/DaemonContext.h"
#include "Dispatcher/DispatcherDaemon.h"
#include "Http/PercentEncoding.h"

namespace turmericpass {

namespace {

/// Bounds of the records kept for `turmericpass explain`.
constexpr std::size_t MaxRecords = 20000;
constexpr std::size_t MaxRecordBytes = std::size_t{4} << 20U;

} // namespace

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
  return Context.run([&Daemon] { Daemon.drain(); },
                     [&Daemon] { return Daemon.isIdle(); });
}

} // namespace turmericpass
