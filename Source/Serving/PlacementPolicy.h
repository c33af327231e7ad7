#ifndef TURMERICPASS_SERVING_PLACEMENTPOLICY_H
#define TURMERICPASS_SERVING_PLACEMENTPOLICY_H

#include "Core/Clock.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace turmericpass {

class BackendChannels;
class LoadTracker;
class ServerDirectory;
struct KnownServer;

/// The server to which a request is to be sent.
struct Placement {
  /// nullptr if no server is available.
  const KnownServer *Server = nullptr;
  /// The number of requests of waiting callers that exceed the slots of the
  /// server, including this one.
  int WaitingRequests = 0;
};

/// The server to which a copy of a late request may be sent.
struct CopyPlacement {
  /// nullptr if no server has a free slot.
  const KnownServer *Server = nullptr;
  /// The fraction of the slots of the service that no request uses. The slots
  /// of servers that are avoided count as used.
  double FreeSlots = 0;
};

/// What the servers of a service offer to batch items.
struct BatchCapacity {
  /// The number of usable servers, and how many of them are avoided.
  int Servers = 0;
  int AvoidedServers = 0;
  /// The slots that no request uses at the servers that are not avoided.
  int FreeSlots = 0;
};

/// Chooses the server for a request, based on the load that all VMs put on each
/// server. This class performs no I/O.
class PlacementPolicy {
public:
  PlacementPolicy(const Clock &Time, const ServerDirectory &Servers,
                  const LoadTracker &Loads, const BackendChannels &Channels,
                  std::string Zone, std::string Self);

  /// Chooses a server of \p Service for a request whose caller waits. Servers
  /// in \p TriedServers are chosen only if there is no other one. Batch items
  /// do not count as waiting requests, because they give up their slots to
  /// requests of waiting callers.
  /// \p Random spreads the choices while the loads are delayed.
  Placement placeOnlineRequest(std::string_view Service,
                               const std::set<std::string> &TriedServers,
                               std::uint64_t Random = 0) const;

  /// Chooses a server of \p Service for a copy of a late request. It is not in
  /// \p TriedServers, is not avoided, and has a slot that neither a request nor
  /// a batch item uses.
  CopyPlacement placeCopy(std::string_view Service,
                          const std::set<std::string> &TriedServers,
                          std::uint64_t Random = 0) const;

  /// Returns a server of \p Service that has a free slot for a batch item and
  /// \p ReservedSlots more, or nullptr if there is none. A server with too few
  /// slots for that is chosen if it runs no request. A server that only other
  /// VMs avoid is chosen if they avoid all servers of the service. Servers in
  /// \p Excluded are not chosen.
  const KnownServer *
  chooseBatchServer(std::string_view Service, int ReservedSlots,
                    std::uint64_t Random = 0,
                    const std::set<std::string> &Excluded = {}) const;

  /// Returns what the servers of \p Service offer to items, for logs.
  BatchCapacity batchCapacity(std::string_view Service) const;

  /// Returns the number of slots of \p Service that are free for items.
  int freeBatchSlots(std::string_view Service) const;

  /// Sets whether the loads of other VMs become known late, because they are
  /// summed up. Many VMs then choose from the same counts, so that choosing the
  /// best server would send all of their requests to the same one. Each choice
  /// is made at random among the servers that are about equally good instead.
  void setLoadsDelayed(bool Delayed) { this->LoadsDelayed = Delayed; }
  bool areLoadsDelayed() const { return this->LoadsDelayed; }

private:
  /// Returns the server with the lowest cost plus a random part.
  Placement placeSpread(std::string_view Service,
                        const std::set<std::string> &TriedServers,
                        std::uint64_t Random) const;

  const Clock &Time;
  const ServerDirectory &Servers;
  const LoadTracker &Loads;
  const BackendChannels &Channels;
  std::string Zone;
  std::string Self;
  bool LoadsDelayed = false;
};

} // namespace turmericpass

#endif
