#ifndef TURMERICPASS_NODE_ZONESUMMARY_H
#define TURMERICPASS_NODE_ZONESUMMARY_H

#include "Core/Error.h"
#include "Serving/CrashRecord.h"
#include "Serving/LoadTracker.h"
#include "Serving/RateLimits.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// Identifies a run of the process of a VM by a hash of its incarnation.
using NodeKey = std::uint64_t;

/// Returns the key of the VM with \p Incarnation.
NodeKey nodeKey(std::string_view Incarnation);

/// One live VM of a zone as the zone's aggregator knows it.
struct ZoneMember {
  NodeKey Key = 0;
  /// The "ip:port" of the VM for digests.
  std::string Address;
  /// The sequence number of the newest digest whose loads are in the sum.
  std::uint64_t Sequence = 0;
  /// The processor share of the VM in percent of a core.
  int Weight = 0;
  bool Stopping = false;
  bool HasStoreView = false;
  /// The VM has the settings version of the summary.
  bool HasNewestSettings = false;
};

/// The sum of the digests of the VMs of one zone. An aggregator of the zone
/// sends it to the zone's VMs and to the aggregators of the other zones, so
/// that the number of messages grows with the number of VMs and not with its
/// square.
struct ZoneSummary {
  std::string Zone;
  /// The VM that made the summary.
  NodeKey Aggregator = 0;
  /// Increases with each summary of this aggregator.
  std::uint64_t Sequence = 0;
  LoadsByServer Loads;
  std::vector<ZoneMember> Members;
  /// The newest settings version of the members.
  std::uint64_t SettingsVersion = 0;
  /// A VM of the zone has waiting items that can still meet their deadline.
  bool HasUrgentItems = false;
  /// The number of items of the zone's VMs that wait for a slot.
  int WaitingItems = 0;
  std::vector<ServerKey> AvoidedServers;
  std::vector<CrashRecord> Crashes;
  /// The requests of organisations that the zone's VMs admitted, counted since
  /// the aggregator gets their digests.
  UseReport Uses;
};

/// Returns whether \p Bytes start like a summary and not like a digest.
bool isZoneSummary(std::string_view Bytes);

std::string encodeSummary(const ZoneSummary &Summary);

/// Decodes a summary. Errors: Malformed, also for another protocol version.
Result<ZoneSummary> decodeSummary(std::string_view Bytes);

} // namespace turmericpass

#endif
