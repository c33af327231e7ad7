#ifndef TURMERICPASS_NODE_NODECONFIG_H
#define TURMERICPASS_NODE_NODECONFIG_H

#include "Core/Clock.h"
#include "Core/Error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace turmericpass {

/// The settings of the process of one VM.
struct NodeConfig {
  std::string Name;
  std::string Zone;
  std::string Ip;
  /// Where callers connect, "ip:port".
  std::string FrontAddress;
  /// Where the balancer asks whether this VM takes callers.
  std::string ReadyAddress;
  /// Where other VMs ask for what they cannot read from the store; may be
  /// empty.
  std::string ControlAddress;
  /// The port of digests between VMs, the same on every VM.
  std::uint16_t PeerPort = 0;
  /// Where metrics are served.
  std::uint16_t MetricsPort = 0;
  /// Control addresses of some VMs, which may be out of date.
  std::vector<std::string> Seeds;
  std::string StoreAddress;
  /// Calls per second that all VMs together may make.
  double StoreWritesPerSecond = 0;
  double StoreReadsPerSecond = 0;
  /// The longest value of a row in the store, as it is sent.
  std::size_t StoreRowBytes = 65536;
  /// How long after its acceptance a finished job stays readable.
  Duration JobKeepTime = std::chrono::minutes(10);
  /// The time between SIGTERM and SIGKILL.
  Duration StopTime = std::chrono::seconds(8);
};

/// Reads the settings from TOML. The error names every wrong key, what stands
/// there and what is allowed. Errors: NotFound, InvalidArgument.
Result<NodeConfig> readNodeConfig(const std::string &Path);

} // namespace turmericpass

#endif
