#ifndef TURMERICPASS_NODE_NODECONFIG_H
#define TURMERICPASS_NODE_NODECONFIG_H

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Serving/HedgePlanner.h"

#include <cstdint>
#include <string>
#include <vector>

namespace turmericpass {

/// The process settings of one VM.
struct NodeConfig {
  std::string Name;
  std::string Zone;
  std::string Ip;
  /// The address that accepts callers, "ip:port".
  std::string FrontAddress;
  /// The address of the readiness check of the load balancer.
  std::string ReadyAddress;
  /// The address where other VMs request the store view while they cannot read
  /// the store. It may be empty.
  std::string ControlAddress;
  /// The UDP port for digests between VMs. It is the same on every VM.
  std::uint16_t PeerPort = 0;
  /// The processor share of this VM in cores. VMs with a larger share are
  /// preferred for summing up the loads of their zone.
  double CpuShare = 1;
  /// The port of the metrics endpoint.
  std::uint16_t MetricsPort = 0;
  /// The control addresses of some VMs. They may be out of date.
  std::vector<std::string> Seeds;
  std::string StoreAddress;
  /// The calls per second that all VMs together may make to the store.
  double StoreWritesPerSecond = 0;
  double StoreReadsPerSecond = 0;
  /// The maximum size of an encoded row value in the store.
  std::size_t StoreRowBytes = 65536;
  /// The time after its acceptance for which a finished job stays readable.
  Duration JobRetention = std::chrono::minutes(10);
  /// The time between SIGTERM and SIGKILL.
  Duration StopTimeout = std::chrono::seconds(8);
  /// Whether keys are refused StaleKeysTime after the last contact with the
  /// store or another VM.
  bool RefuseStaleKeys = false;
  Duration StaleKeysTime = std::chrono::seconds(5);
  HedgeSettings Hedging;
};

/// Reads the process settings from the TOML file \p Path. The error message
/// lists every invalid key with its line and the allowed values. Errors:
/// NotFound, InvalidArgument.
Result<NodeConfig> readNodeConfig(const std::string &Path);

/// The keys of the settings file that differ, separated by spaces.
struct ChangedKeys {
  std::string InEffect;
  /// The keys whose new values take effect when the process starts again.
  std::string AfterRestart;
};

ChangedKeys changedKeys(const NodeConfig &Before, const NodeConfig &After);

} // namespace turmericpass

#endif
