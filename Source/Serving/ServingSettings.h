#ifndef TURMERICPASS_SERVING_SERVINGSETTINGS_H
#define TURMERICPASS_SERVING_SERVINGSETTINGS_H

#include "Core/Clock.h"
#include "RawHttp/CallerServer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// How a request of a route may be executed.
enum class RequestKind {
  /// The request may run more than once.
  Idempotent,
  /// The request runs at most once for each request id.
  AtMostOnce,
  /// The request is answered by an event stream and may run again only if the
  /// route is resumable.
  Stream,
  /// The request submits a job whose items run later.
  Batch,
};

/// Returns the name of \p Kind in logs.
std::string_view toName(RequestKind Kind);

/// One of the services among which a route divides its requests.
struct ServiceShare {
  std::string Service;
  double Weight = 1;
};

/// The settings for the requests to one host and path prefix.
struct RouteSettings {
  std::string Name;
  /// The version of the settings that this route is a part of.
  std::uint64_t SettingsVersion = 0;
  std::string Host;
  /// The prefix begins and ends with a slash.
  std::string PathPrefix;
  RequestKind Kind = RequestKind::AtMostOnce;
  /// An interrupted stream may be resumed after the last event that arrived.
  bool Resumable = false;
  /// The longest time from the arrival of a request to its final answer.
  Duration Timeout = std::chrono::seconds(30);
  /// The time to the answer, or to the first event of a stream, that callers
  /// expect.
  Duration TargetLatency = std::chrono::seconds(1);
  /// The longest pause between two events of a stream with which callers still
  /// regard it as on time, or 0 if it is not known.
  Duration EventGapTarget{0};
  /// 0 is the highest priority.
  int Priority = 0;
  /// Callers need no key for this route.
  bool Public = false;
  /// The number of servers on which one request may run.
  int MaxAttempts = 1;
  std::vector<ServiceShare> Services;
  /// For batch routes: the time from the acceptance of a job to its target
  /// completion.
  Duration JobTargetLatency = std::chrono::seconds(60);
  /// For batch routes: the time from the acceptance of a job after which its
  /// pending items may be abandoned.
  Duration JobRetention = std::chrono::seconds(600);
  /// For batch routes: the number of tokens that may wait, or 0 for no limit.
  std::uint64_t MaxWaitingTokens = 0;

  /// Returns whether a request of this route may be sent to another server
  /// after a server that may have run it.
  bool mayRepeat() const {
    return this->Kind == RequestKind::Idempotent ||
           this->Kind == RequestKind::Batch ||
           (this->Kind == RequestKind::Stream && this->Resumable);
  }

  /// Returns whether two copies of a request of this route may run at the same
  /// time.
  bool mayHedge() const {
    return this->Kind != RequestKind::Batch && this->mayRepeat() &&
           this->MaxAttempts > 1;
  }
};

struct ServiceSettings {
  std::string Name;
  /// The path of the health check of the servers.
  std::string HealthPath;
  /// The number of connections that a server accepts from all its clients
  /// together, or 0 if no limit is known.
  std::size_t MaxConnections = 0;
};

/// An organisation whose callers identify themselves with a key.
struct OrganisationSettings {
  std::string Name;
  std::vector<std::string> Keys;
  /// Takes precedence over the priority of the route. 0 is the highest.
  std::optional<int> Priority;
  /// The requests per second that all VMs together accept, or 0 for no limit.
  double RatePerSecond = 0;
  /// The number of requests that may exceed the rate after a quiet time.
  double Burst = 0;
};

/// One version of the serving settings made by the operator.
struct ServingSettings {
  std::uint64_t Version = 0;
  std::vector<RouteSettings> Routes;
  std::map<std::string, ServiceSettings> Services;
  /// If there are organisations, requests need a key of one of them unless
  /// their route is public.
  std::vector<OrganisationSettings> Organisations;
  CallerLimits Limits;
};

/// Returns the route of \p Settings for \p Host whose path prefix is the
/// longest one that matches \p Target, or nullptr if none matches.
const RouteSettings *findRoute(const ServingSettings &Settings,
                               std::string_view Host, std::string_view Target);

/// Picks a service of \p Route according to the weights. The same \p Key picks
/// the same service as long as the weights do not change.
std::string_view pickService(const RouteSettings &Route, std::uint64_t Key);

} // namespace turmericpass

#endif
