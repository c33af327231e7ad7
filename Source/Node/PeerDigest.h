#ifndef TURMERICPASS_NODE_PEERDIGEST_H
#define TURMERICPASS_NODE_PEERDIGEST_H

#include "Core/Error.h"
#include "Serving/CrashRecord.h"
#include "Serving/LoadTracker.h"
#include "Serving/RateLimits.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// The state that a VM sends to the other VMs several times a second.
struct PeerDigest {
  /// Identifies this run of the process of the VM.
  std::string Incarnation;
  std::string Zone;
  /// Increases with each digest, so that receivers drop reordered ones.
  std::uint64_t Sequence = 0;
  std::uint64_t SettingsVersion = 0;
  /// The VM is stopping and accepts no new work.
  bool Stopping = false;
  /// The VM has a current view of the store, so others may request it.
  bool HasStoreView = false;
  LoadsByServer ServerLoads;
  std::vector<CrashRecord> Crashes;
  /// The VM has waiting items that can still meet their deadline.
  bool HasUrgentItems = false;
  /// The servers that recently failed requests of this VM.
  std::vector<ServerKey> AvoidedServers;
  /// The number of items of this VM that wait for a slot.
  int WaitingItems = 0;
  /// The requests of organisations that this VM admitted.
  UseReport Uses;
};

std::string encodeDigest(const PeerDigest &Digest);

/// Decodes a digest. Errors: Malformed, also for another protocol version.
Result<PeerDigest> decodeDigest(std::string_view Bytes);

} // namespace turmericpass

#endif
