#ifndef TURMERICPASS_DISPATCHER_DISPATCHERDAEMON_H
#define TURMERICPASS_DISPATCHER_DISPATCHERDAEMON_H

#include "Loop/EventLoop.h"
#include "Scheduling/SchedulingTypes.h"
#include "Settings/FleetSettings.h"
#include "Telemetry/Tracer.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace turmericpass {

class BackendPort;
class DecisionLog;
class FleetAgent;
class Logger;
class Metrics;
class PeerPort;
class Scheduler;

/// What a dispatcher works with; all of it outlives the daemon.
struct DispatcherDependencies {
  EventLoop &Loop;
  PeerPort &Peers;
  BackendPort &Backends;
  Scheduler &Decisions;
  FleetAgent &Fleet;
  DecisionLog &Records;
  Logger &Log;
  Metrics &Stats;
  Tracer &Spans;
};

/// Connects the scheduler's decisions with gateways, batchers and backend
/// servers.
class DispatcherDaemon {
public:
  /// \p Node is the name of this node in the settings.
  DispatcherDaemon(DispatcherDependencies Parts, std::string Node);
  ~DispatcherDaemon();
  DispatcherDaemon(const DispatcherDaemon &) = delete;
  DispatcherDaemon &operator=(const DispatcherDaemon &) = delete;

  /// Takes the peer port's messages and starts the timers.
  void start();

  /// Refuses new work; what is accepted goes on.
  void drain();

  bool isIdle() const;

private:
  struct RunningAttempt {
    AttemptId Backend = 0;
    std::string Server;
    std::string RequestId;
    Tracer::SpanKey Span = 0;
  };

  struct RequestSpan {
    Tracer::SpanKey Key = 0;
    std::string Peer;
  };

  void receive(const std::string &From, Message Body);
  void handlePeerLoss(const std::string &Peer);
  void submit(const std::string &From, Submit Work);
  void applyFleet();
  void pump();
  void perform(StartAttempt Start);
  void perform(const CancelAttempt &Cancelled);
  void perform(SendToPeer Sent);
  void perform(const AnnounceQuarantine &Found);
  void perform(const RecordDecision &Decision);
  AttemptHandlers handlersFor(SchedulerAttemptId Id);
  void endAttempt(SchedulerAttemptId Id, bool Ok);
  void endRequestSpan(const Finish &Ended);
  SpanContext requestContext(const std::string &RequestId) const;
  void armTick();
  void pollServers();
  void pollLoad(const std::string &Server);

  DispatcherDependencies Parts;
  std::string Node;
  std::set<std::string> Owned;
  std::map<SchedulerAttemptId, RunningAttempt> Attempts;
  std::map<std::string, RequestSpan> RequestSpans;
  std::map<std::string, std::uint64_t> CacheEventsSeen;
  bool Pumping = false;
  WatchId TickTimer = 0;
  WatchId PollTimer = 0;
};

} // namespace turmericpass

#endif
