#ifndef TURMERICPASS_DAEMON_DAEMONCONTEXT_H
#define TURMERICPASS_DAEMON_DAEMONCONTEXT_H

#include "Core/Clock.h"
#include "Core/IdSource.h"
#include "Daemon/DaemonOptions.h"
#include "Http/HttpServer.h"
#include "Loop/EventLoop.h"
#include "Peers/NngPeerPort.h"
#include "RawHttp/ChannelHttpClient.h"
#include "RawHttp/TcpBackendChannels.h"
#include "Telemetry/JsonLogger.h"
#include "Telemetry/Metrics.h"
#include "Telemetry/Tracer.h"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace turmericpass {

/// The four daemons of a node, in the order of their admin ports.
enum class DaemonRole { Gateway, Dispatcher, Batcher, Controller };

/// Returns "gateway", "dispatcher", "batcher" or "controller".
std::string_view toName(DaemonRole Role);

/// Returns the peer address ("ip:port") of the daemon \p Role of \p Node.
std::string peerAddress(const NodeSettings &Node, DaemonRole Role);

/// What every daemon has: the loop, the log, metrics, spans, the peer port,
/// an HTTP client, and the admin server with /metrics, /healthz and /readyz.
class DaemonContext {
public:
  using Callback = std::function<void()>;

  DaemonContext(DaemonRole Role, DaemonOptions Options);

  /// Opens the peer port and the admin server. Errors: Unavailable if a port
  /// is taken.
  Result<void> open();

  /// Runs the loop until shutdown. SIGTERM and SIGINT start a drain: /readyz
  /// fails, \p Drain is called once, and the daemon ends when \p IsIdle
  /// returns true or after drain_seconds. A second signal ends it at once.
  ExitStatus run(Callback Drain, std::function<bool()> IsIdle);

  /// Adds a path of the daemon's own to the admin server.
  void onAdmin(const std::string &Path,
               std::function<HttpReply(const HttpRequest &)> Action);

  /// Adds a callback that sets gauges before /metrics is rendered.
  void onCollect(Callback Action) {
    this->Collectors.push_back(std::move(Action));
  }

  /// Starts the drain as SIGTERM does.
  void beginDrain();

  bool isDraining() const { return this->Draining; }

  const DaemonOptions Options;
  const DaemonRole Role;
  BootClock Time;
  EventLoop Loop;
  IdSource Ids;
  JsonLogger Log;
  Metrics Stats;
  Tracer Spans;
  NngPeerPort Peers;
  TcpBackendChannels Channels;
  ChannelHttpClient Client;

private:
  void serveAdmin(ExchangeId Id, const HttpRequest &Request);
  void checkDrained();

  HttpServer Admin;
  std::map<std::string, std::function<HttpReply(const HttpRequest &)>> Paths;
  std::vector<Callback> Collectors;
  Callback DrainAction;
  std::function<bool()> IdleTest;
  bool Draining = false;
  Instant DrainEnd;
};

} // namespace turmericpass

#endif
