#ifndef TURMERICPASS_GATEWAY_GATEWAYDAEMON_H
#define TURMERICPASS_GATEWAY_GATEWAYDAEMON_H

#include "Admission/CustomerIndex.h"
#include "Gateway/BatchApi.h"
#include "Gateway/GatewayDependencies.h"
#include "Gateway/OnlineCalls.h"
#include "Gateway/RequestReader.h"

#include <cstdint>
#include <optional>
#include <string>

namespace turmericpass {

/// The gateway daemon. Routes callers' HTTP requests to OnlineCalls or to
/// BatchApi, and messages from dispatchers to OnlineCalls.
class GatewayDaemon {
public:
  explicit GatewayDaemon(GatewayDependencies Dependencies,
                         LifeCycleLimits Limits = {});
  ~GatewayDaemon();
  GatewayDaemon(const GatewayDaemon &) = delete;
  GatewayDaemon &operator=(const GatewayDaemon &) = delete;

  /// Handles a message from a dispatcher. It is called by the owner of the peer
  /// port, because the port has other users as well.
  void received(const std::string &From, const Message &Body) {
    this->Online.received(From, Body);
  }

  void handlePeerLoss(const std::string &Peer) {
    this->Online.handlePeerLoss(Peer);
  }

  /// Applies the current settings and the current set of live nodes. A timer of
  /// this class calls it several times a second.
  void configure();

  /// Stops accepting new callers. Requests in progress continue.
  void drain();

  /// Returns whether every request has been answered completely.
  bool isIdle() const;

private:
  void handle(ExchangeId Exchange, HttpRequest Request);
  void handleCompletion(ExchangeId Exchange, const HttpRequest &Request);
  void handleService(ExchangeId Exchange, const HttpRequest &Request);
  void handleModels(ExchangeId Exchange, const HttpRequest &Request);
  void open(ExchangeId Exchange, Result<OnlineRequest> Request);

  GatewayDependencies Dependencies;
  CustomerIndex Index;
  RequestReader Reader;
  OnlineCalls Online;
  BatchApi Batches;
  const FleetSettings *ConfiguredSettings = nullptr;
  std::uint64_t ConfiguredVersion = 0;
  bool Draining = false;
  std::uint64_t TickTimer = 0;
  std::uint64_t ConfigureTimer = 0;
};

} // namespace turmericpass

#endif
