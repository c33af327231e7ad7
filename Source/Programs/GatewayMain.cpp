#include "Daemon/AgentFleet.h"
#include "Daemon/DaemonContext.h"
#include "Daemon/DaemonFleet.h"
#include "Daemon/ExplainPage.h"
#include "Daemon/PlatformStores.h"
#include "Gateway/GatewayDaemon.h"
#include "Jobs/TableIntentLedger.h"
#include "Jobs/TableJobService.h"

#include <utility>

using namespace turmericpass;

namespace {

constexpr Duration StoreRetryPeriod = std::chrono::milliseconds(100);

ExitStatus runGateway(DaemonContext &Context) {
  if (const Result<void> Opened = Context.open(); !Opened) {
    Context.Log.log(LogLevel::Error, Opened.error().Message);
    return ExitStatus::Refused;
  }
  const NodeSettings &Node = Context.Options.Node;
  HttpServer Callers(Context.Loop, HttpLimits{});
  PlatformStores Stores(Context);
  TableIntentLedger Intents(Stores.rows(), Context.Time, Context.Ids);
  TableJobService Jobs(Stores.rows(), Stores.objects(), Context.Time,
                       Context.Ids);
  DaemonFleet Link(Context);
  FleetAgent &Agent = Link.agent();
  const AgentFleet Fleet(Agent);
  ExplainPage Decisions(Context);
  GatewayDaemon Gateway({Context.Loop, Callers, Context.Peers, Context.Time,
                         Context.Ids, Context.Log, Context.Stats, Context.Spans,
                         Fleet, Decisions.records(), &Intents, &Jobs,
                         Node.Zone});
  Agent.onChange([&] { Gateway.configure(); });
  Context.Loop.every(StoreRetryPeriod, [&] { Intents.tick(); });
  Context.Peers.onReceive([&](const std::string &From, const Message &Body) {
    if (const auto *View = std::get_if<FleetView>(&Body))
      Agent.handle(*View);
    else
      Gateway.received(From, Body);
  });
  Context.Peers.onLost(
      [&](const std::string &Peer) { Gateway.handlePeerLoss(Peer); });
  if (const auto Bound = Callers.listen(Node.Address, Node.HttpPort); !Bound) {
    Context.Log.log(LogLevel::Error, Bound.error().Message);
    return ExitStatus::Refused;
  }
  return Context.run(
      [&] {
        Agent.setDraining();
        Gateway.drain();
      },
      [&] { return Gateway.isIdle() && Intents.pendingOutcomes() == 0; });
}

} // namespace

int main(int ArgCount, char **Args) {
  DaemonStart Start = readDaemonOptions(
      "turmericpass-gateway",
      "Takes callers' HTTP requests and passes them to dispatchers.", ArgCount,
      Args);
  if (!Start.Options)
    return static_cast<int>(Start.Status);
  DaemonContext Context(DaemonRole::Gateway, std::move(*Start.Options));
  return static_cast<int>(runGateway(Context));
}
