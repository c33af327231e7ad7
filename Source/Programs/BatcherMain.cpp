#include "Batcher/BatcherDaemon.h"
#include "Daemon/AgentFleet.h"
#include "Daemon/DaemonContext.h"
#include "Daemon/DaemonFleet.h"
#include "Daemon/ExplainPage.h"
#include "Daemon/PlatformStores.h"
#include "Jobs/TableIntentLedger.h"

#include <utility>

using namespace turmericpass;

namespace {

constexpr Duration StoreRetryPeriod = std::chrono::milliseconds(100);

ExitStatus runBatcher(DaemonContext &Context) {
  if (const Result<void> Opened = Context.open(); !Opened) {
    Context.Log.log(LogLevel::Error, Opened.error().Message);
    return ExitStatus::Refused;
  }
  const NodeSettings &Node = Context.Options.Node;
  PlatformStores Stores(Context);
  TableIntentLedger Intents(Stores.rows(), Context.Time, Context.Ids);
  BatchWorker Worker(Stores.rows(), Stores.objects(), Context.Time,
                     Context.Ids);
  DaemonFleet Link(Context);
  FleetAgent &Agent = Link.agent();
  const AgentFleet Fleet(Agent);
  ExplainPage Decisions(Context);
  BatcherDaemon Batcher({Context.Loop, Context.Peers, Context.Time, Context.Ids,
                         Context.Log, Context.Stats, Context.Spans, Fleet,
                         Decisions.records(), Worker, Intents, Node.Zone});
  Agent.onChange([&] { Batcher.configure(); });
  Context.Loop.every(StoreRetryPeriod, [&] { Intents.tick(); });
  Context.Peers.onReceive([&](const std::string &From, const Message &Body) {
    if (const auto *View = std::get_if<FleetView>(&Body))
      Agent.handle(*View);
    else
      Batcher.received(From, Body);
  });
  Context.Peers.onLost(
      [&](const std::string &Peer) { Batcher.handlePeerLoss(Peer); });
  Batcher.start();
  return Context.run(
      [&] {
        Agent.setDraining();
        Batcher.drain();
      },
      [&] { return Batcher.isIdle() && Intents.pendingOutcomes() == 0; });
}

} // namespace

int main(int ArgCount, char **Args) {
  DaemonStart Start = readDaemonOptions(
      "turmericpass-batcher",
      "Claims chunks of batch jobs and commits their results.", ArgCount, Args);
  if (!Start.Options)
    return static_cast<int>(Start.Status);
  DaemonContext Context(DaemonRole::Batcher, std::move(*Start.Options));
  return static_cast<int>(runBatcher(Context));
}
