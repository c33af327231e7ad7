#ifndef TURMERICPASS_GATEWAY_GATEWAYPORTS_H
#define TURMERICPASS_GATEWAY_GATEWAYPORTS_H

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

/// What the gateway needs of its process. All of it outlives the gateway.
struct GatewayPorts {
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
  /// Null if there is no table: `at most once` calls are then refused.
  IntentLedger *Intents = nullptr;
  /// Null if there is no store: batch jobs are then refused.
  JobService *Jobs = nullptr;
  /// The zone of this node.
  std::string Zone;
};

} // namespace turmericpass

#endif
