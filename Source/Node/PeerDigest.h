#ifndef TURMERICPASS_NODE_PEERDIGEST_H
#define TURMERICPASS_NODE_PEERDIGEST_H

#include "Core/Error.h"
#include "Serving/CrashCounter.h"
#include "Serving/LoadTracker.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// What a VM tells the others about itself, several times a second.
struct PeerDigest {
  /// Names this start of the VM's process.
  std::string Incarnation;
  std::string Zone;
  /// Grows with each digest, so that one that was overtaken is dropped.
  std::uint64_t Sequence = 0;
  std::uint64_t SettingsVersion = 0;
  /// It stops and takes no new work.
  bool Stopping = false;
  /// Its view of the store is as of now, so it can tell others.
  bool StoreInReach = false;
  std::map<ServerKey, ServerLoad> Use;
  std::vector<CrashCounter::Entry> Crashes;
  /// Items of its jobs wait that can still be on time.
  bool Urgent = false;
  /// Servers that failed requests of this VM lately.
  std::vector<ServerKey> Avoided;
};

std::string encodeDigest(const PeerDigest &Digest);

/// Errors: Malformed, also for a digest of another protocol version.
Result<PeerDigest> decodeDigest(std::string_view Bytes);

} // namespace turmericpass

#endif
