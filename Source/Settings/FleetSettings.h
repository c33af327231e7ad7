#ifndef TURMERICPASS_SETTINGS_FLEETSETTINGS_H
#define TURMERICPASS_SETTINGS_FLEETSETTINGS_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

enum class ServiceKind { Model, Plain };
enum class ClassKind { Online, Batch };

/// Returns "model" or "plain".
std::string_view toName(ServiceKind Kind);
/// Returns "online" or "batch".
std::string_view toName(ClassKind Kind);

/// The addresses of the platform's services, each "ip:port", and the rate
/// limits that this system must observe when it calls them.
struct PlatformSettings {
  std::string Table;
  std::string Objects;
  std::string Vms;
  std::string Weights;
  std::uint32_t WritesPerSecond = 300;
  std::uint32_t ReadsPerSecond = 1500;
  std::uint32_t WeightLoadsPerMinute = 6;
};

struct ZoneSettings {
  std::string Name;
  std::string Region;
};

/// One entry VM with its four daemons.
struct NodeSettings {
  std::string Name;
  std::string Zone;
  /// The IPv4 address on which all ports of the node listen.
  std::string Address;
  /// The port on which the gateway accepts HTTP requests of callers.
  std::uint16_t HttpPort = 0;
  std::uint16_t GatewayPort = 0;
  std::uint16_t DispatcherPort = 0;
  std::uint16_t BatcherPort = 0;
  std::uint16_t ControllerPort = 0;
  /// The gateway's HTTP port for metrics and health checks. The dispatcher,
  /// the batcher and the controller use the next three ports.
  std::uint16_t AdminPort = 0;
};

struct ServiceSettings {
  std::string Name;
  ServiceKind Kind = ServiceKind::Model;
  /// The value of the "model" field in requests; empty for plain services.
  std::string Model;
  /// Whether a request may be executed more than once.
  bool Repeatable = true;
  /// Whether a slow request may be hedged, that is, sent to a second server.
  bool Hedge = true;
  /// The maximum number of tokens in one answer.
  std::uint32_t MaxTokens = 4096;
};

/// One backend server.
struct ServerSettings {
  std::string Name;
  std::string Service;
  std::string Zone;
  /// "ip:port"
  std::string Address;
  /// The maximum number of requests that the server runs concurrently.
  std::uint32_t Slots = 8;
  /// Whether the server rejects orders with an outdated fencing number.
  bool Fencing = false;
};

struct ClassSettings {
  std::string Name;
  ClassKind Kind = ClassKind::Online;
  /// The classes whose work is served before work of this class.
  std::vector<std::string> MayWaitFor;
  /// Derived from MayWaitFor: 0 for a class that waits for no other class,
  /// otherwise one more than the highest rank among the classes it waits for.
  std::uint32_t Rank = 0;
  /// The deadline of requests that do not specify one, in milliseconds.
  std::uint64_t DeadlineMs = 60000;
  /// The maximum share of a server's slots that long requests of this class
  /// may occupy, above 0 and at most 1.
  double LongShare = 0.5;
};

struct CustomerSettings {
  std::string Name;
  /// The SHA-256 hash of each API key as 64 lower-case hexadecimal digits.
  std::vector<std::string> KeyHashes;
  /// The first class is the default; batch jobs use the
  /// first class of kind batch.
  std::vector<std::string> Classes;
  double RequestsPerSecond = 50;
  double TokensPerSecond = 20000;
};

struct LimitSettings {
  std::size_t BodyBytes = std::size_t{8} << 20U;
  std::uint32_t QueuePerService = 2000;
  std::uint32_t DrainSeconds = 60;
  /// The maximum extra work caused by hedges and by retries, as shares of all
  /// work.
  double HedgeBudget = 0.03;
  double RetryBudget = 0.02;
};

/// The complete settings of the fleet, after validation.
struct FleetSettings {
  /// 0 for settings that were never applied.
  std::uint64_t Version = 0;
  PlatformSettings Platform;
  std::map<std::string, ZoneSettings> Zones;
  std::map<std::string, NodeSettings> Nodes;
  std::map<std::string, ServiceSettings> Services;
  std::map<std::string, ServerSettings> Servers;
  std::map<std::string, ClassSettings> Classes;
  std::map<std::string, CustomerSettings> Customers;
  LimitSettings Limits;
};

} // namespace turmericpass

#endif
