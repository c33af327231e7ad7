#ifndef TURMERICPASS_SERVING_PLACEMENTPOLICY_H
#define TURMERICPASS_SERVING_PLACEMENTPOLICY_H

#include "Core/Clock.h"

#include <set>
#include <string>
#include <string_view>

namespace turmericpass {

class BackendChannels;
class LoadTracker;
class ServerDirectory;
struct KnownServer;

/// Where a request is to be sent.
struct Placement {
  /// nullptr if there is no server.
  const KnownServer *Server = nullptr;
  /// How many requests of waiting callers are beyond the server's slots, this
  /// one counted.
  int Waiting = 0;
};

/// Chooses the server of a request from the load that all VMs put on each one.
/// It has no I/O.
class PlacementPolicy {
public:
  PlacementPolicy(const Clock &Time, const ServerDirectory &Servers,
                  const LoadTracker &Loads, const BackendChannels &Channels,
                  std::string Zone, std::string Self);

  /// Chooses a server of \p Service for a request whose caller waits. \p Tried
  /// servers are chosen only if there is no other one. Batch items do not count
  /// as waiting, because they give way.
  Placement placeOnlineRequest(std::string_view Service,
                               const std::set<std::string> &Tried) const;

  /// Chooses a server of \p Service for a batch item that has a free slot and
  /// leaves \p ReservedSlots more, or nullptr if there is none.
  const KnownServer *chooseBatchServer(std::string_view Service,
                                       int ReservedSlots) const;

private:
  const Clock &Time;
  const ServerDirectory &Servers;
  const LoadTracker &Loads;
  const BackendChannels &Channels;
  std::string Zone;
  std::string Self;
};

} // namespace turmericpass

#endif
