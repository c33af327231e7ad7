#include "Daemon/DaemonContext.h"
#include "Gateway/GatewayDaemon.h"
#include "Gateway/StaticFleet.h"

#include <utility>

using namespace turmericpass;

namespace {

/// The server reads a little more than the limit, so that a body above it
/// gets a problem document and not evhttp's own page.
constexpr std::size_t BodySlack = std::size_t{1} << 20U;

HttpLimits callerLimits(const FleetSettings &Settings) {
  HttpLimits Limits;
  Limits.BodyBytes = Settings.Limits.BodyBytes + BodySlack;
  return Limits;
}

ExitStatus runGateway(DaemonContext &Context) {
  if (const Result<void> Opened = Context.open(); !Opened) {
    Context.Log.log(LogLevel::Error, Opened.error().Message);
    return ExitStatus::Refused;
  }
  const NodeSettings &Node = Context.Options.Node;
  HttpServer Callers(Context.Loop, callerLimits(Context.Options.Settings));
  const StaticFleet Fleet(Context.Options.Settings);
  GatewayDaemon Gateway({Context.Loop, Callers, Context.Peers, Context.Time,
                         Context.Ids, Context.Log, Context.Stats, Context.Spans,
                         Fleet, nullptr, nullptr, Node.Zone});
  Context.Peers.onReceive([&](const std::string &From, const Message &Body) {
    Gateway.received(From, Body);
  });
  Context.Peers.onLost(
      [&](const std::string &Peer) { Gateway.peerLost(Peer); });
  if (const auto Bound = Callers.listen(Node.Address, Node.HttpPort); !Bound) {
    Context.Log.log(LogLevel::Error, Bound.error().Message);
    return ExitStatus::Refused;
  }
  return Context.run([&] { Gateway.drain(); },
                     [&] { return Gateway.isIdle(); });
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
