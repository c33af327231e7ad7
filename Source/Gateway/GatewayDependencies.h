#ifndef TURMERICPASS_GATEWAY_GATEWAYDEPENDENCIES_H
#define TURMERICPASS_GATEWAY_GATEWAYDEPENDENCIES_H

#include <string>

namespace turmericpass {

class Clock;
class DecisionLog;
class EventLoop;
class FleetSource;
class HttpServer;
class IdSource;
class IntentLedger;
class JobService;
class Logger;
class Metrics;
class PeerPort;
class Tracer;

/// The objects of the process that the gateway uses. All of them must outlive
/// the gateway.
struct GatewayDependencies {
  EventLoop &Loop;
  HttpServer &Http;
  PeerPort &Peers;
  const Clock &Time;
  IdSource &Ids;
  Logger &Log;
  Metrics &Stats;
  Tracer &Spans;
  const FleetSource &Fleet;
  DecisionLog &Records;
  /// Null if no table is configured. Calls that must run at most once are then
  /// refused.
  IntentLedger *Intents = nullptr;
  /// Null if no store is configured. Batch jobs are then refused.
  JobService *Jobs = nullptr;
  /// The availability zone of this node.
  std::string Zone;
};

} // namespace turmericpass

#endif
