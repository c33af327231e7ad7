#include "Controller/ControllerDaemon.h"
#include "Controller/HttpOrderPort.h"
#include "Daemon/DaemonContext.h"
#include "Daemon/PlatformStores.h"
#include "Http/PercentEncoding.h"
#include "Platform/HttpVmList.h"

#include <iostream>

using namespace turmericpass;

int main(int ArgCount, char **Args) {
  DaemonStart Start = readDaemonOptions(
      "turmericpass-controller",
      "keeps the settings and the view of the fleet of this node", ArgCount,
      Args);
  if (!Start.Options)
    return static_cast<int>(Start.Status);
  DaemonContext Context(DaemonRole::Controller, std::move(*Start.Options));
  if (const Result<void> Opened = Context.open(); !Opened) {
    std::cerr << Opened.error().Message << '\n';
    return static_cast<int>(ExitStatus::Refused);
  }
  const FleetSettings &Settings = Context.Options.Settings;
  PlatformStores Stores(Context);
  HttpVmList Vms(Context.Client, Settings.Platform.Vms);
  HttpOrderPort Engines(Context.Client);
  ControllerDaemon Daemon({Context.Loop, Context.Peers, Stores.rows(), Vms,
                           Engines, Context.Ids, Context.Log, Context.Stats},
                          Context.Options.Node.Name, Settings,
                          Context.Options.Files);
  const HttpHeaders Json = {{"Content-Type", "application/json"}};
  Context.onAdmin("/fleet", [&](const HttpRequest &) {
    return HttpReply{200, Json, Daemon.describeFleet()};
  });
  Context.onAdmin("/explain", [&](const HttpRequest &Request) {
    return HttpReply{200, Json,
                     Daemon.explain(findQueryValue(Request.Query, "id"))};
  });
  Context.onCollect([&Daemon] { Daemon.collect(); });
  Daemon.start();
  return static_cast<int>(
      Context.run([&Daemon] { Daemon.drain(); }, [] { return true; }));
}
