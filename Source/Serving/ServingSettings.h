#ifndef TURMERICPASS_SERVING_SERVINGSETTINGS_H
#define TURMERICPASS_SERVING_SERVINGSETTINGS_H

#include "Core/Clock.h"
#include "RawHttp/CallerServer.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// What may be done with a request of a route.
enum class RequestKind {
  /// May run more than once.
  Idempotent,
  /// Runs at most once for each request id.
  AtMostOnce,
  /// Answered by a stream of events; may run again only if it is resumable.
  Stream,
  /// A job of many items that run later.
  Batch,
};

/// Returns the name of \p Kind as it stands in logs.
std::string_view toName(RequestKind Kind);

/// One of the services between which a route divides its requests.
struct ServiceShare {
  std::string Service;
  double Weight = 1;
};

/// How the requests under one host and path prefix are served.
struct RouteSettings {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  RequestKind Kind = RequestKind::AtMostOnce;
  /// A broken stream may be continued after the last event that arrived.
  bool Resumable = false;
  /// The longest time that a request may go without its final answer.
  Duration Timeout = std::chrono::seconds(30);
  /// The time to the answer, or to the first event, that callers expect.
  Duration TargetLatency = std::chrono::seconds(1);
  /// 0 is the most urgent.
  int Priority = 0;
  /// On how many servers one request may run.
  int MaxAttempts = 1;
  std::vector<ServiceShare> Services;
  /// Batch only: how long after its acceptance a job is due.
  Duration JobTarget = std::chrono::seconds(60);
  /// Batch only: how long after its acceptance an item may be given up.
  Duration JobRetention = std::chrono::seconds(600);
  /// Batch only: the tokens that may wait; 0 means no limit.
  std::uint64_t MaxWaitingTokens = 0;

  /// Whether a request of this route may be sent to another server after one
  /// that may have run it.
  bool mayRepeat() const {
    return this->Kind == RequestKind::Idempotent ||
           this->Kind == RequestKind::Batch ||
           (this->Kind == RequestKind::Stream && this->Resumable);
  }
};

struct ServiceSettings {
  std::string Name;
  /// The path of the servers' health check.
  std::string HealthPath;
  /// How many connections a server accepts from all its callers; 0 means no
  /// known limit.
  std::size_t MaxConnections = 0;
};

/// One version of what the operator wants served.
struct ServingSettings {
  std::uint64_t Version = 0;
  std::vector<RouteSettings> Routes;
  std::map<std::string, ServiceSettings> Services;
  CallerLimits Limits;
};

/// Returns the route of \p Settings with the longest prefix of \p Target under
/// \p Host, or nullptr.
const RouteSettings *findRoute(const ServingSettings &Settings,
                               std::string_view Host, std::string_view Target);

/// Picks a service of \p Route by weight. The same \p Key picks the same
/// service as long as the weights stay.
std::string_view pickService(const RouteSettings &Route, std::uint64_t Key);

} // namespace turmericpass

#endif
