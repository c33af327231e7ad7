#ifndef TURMERICPASS_GATEWAY_GATEWAYDAEMON_H
#define TURMERICPASS_GATEWAY_GATEWAYDAEMON_H

#include "Admission/CustomerIndex.h"
#include "Gateway/BatchApi.h"
#include "Gateway/GatewayPorts.h"
#include "Gateway/OnlineCalls.h"
#include "Gateway/RequestReader.h"

#include <cstdint>
#include <optional>
#include <string>

namespace turmericpass {

/// The gateway: routes callers' HTTP requests to the online calls and to the
/// files-and-batches API, and dispatchers' messages to the calls.
class GatewayDaemon {
public:
  explicit GatewayDaemon(GatewayPorts Ports, LifeCycleLimits Limits = {});
  ~GatewayDaemon();
  GatewayDaemon(const GatewayDaemon &) = delete;
  GatewayDaemon &operator=(const GatewayDaemon &) = delete;

  /// Handles a message of a dispatcher. The owner of the peer port calls it,
  /// because the port serves other users as well.
  void received(const std::string &From, const Message &Body) {
    this->Online.received(From, Body);
  }

  void handlePeerLoss(const std::string &Peer) {
    this->Online.handlePeerLoss(Peer);
  }

  /// Takes the fleet as it is now; called by itself a few times a second.
  void configure();

  /// Stops accepting callers; what runs goes on.
  void drain();

  /// Returns whether every caller has its whole answer.
  bool isIdle() const;

private:
  void handle(ExchangeId Exchange, HttpRequest Request);
  void handleCompletion(ExchangeId Exchange, const HttpRequest &Request);
  void handleService(ExchangeId Exchange, const HttpRequest &Request);
  void handleModels(ExchangeId Exchange, const HttpRequest &Request);
  void open(ExchangeId Exchange, Result<OnlineRequest> Request);

  GatewayPorts Ports;
  CustomerIndex Index;
  RequestReader Reader;
  OnlineCalls Online;
  BatchApi Batches;
  const FleetSettings *Configured = nullptr;
  std::uint64_t Version = 0;
  bool Draining = false;
  std::uint64_t TickTimer = 0;
  std::uint64_t ConfigureTimer = 0;
};

} // namespace turmericpass

#endif
