#include "Serving/PlacementPolicy.h"

#include "Core/Hash.h"
#include "RawHttp/BackendChannels.h"
#include "Serving/LoadTracker.h"
#include "Serving/ServerDirectory.h"

#include <tuple>
#include <utility>

namespace turmericpass {

namespace {

/// The number of slots to keep free at a server, because other VMs may choose
/// the same server concurrently.
constexpr int SpareSlots = 1;

} // namespace

PlacementPolicy::PlacementPolicy(const Clock &Time,
                                 const ServerDirectory &Servers,
                                 const LoadTracker &Loads,
                                 const BackendChannels &Channels,
                                 std::string Zone, std::string Self)
    : Time(Time), Servers(Servers), Loads(Loads), Channels(Channels),
      Zone(std::move(Zone)), Self(std::move(Self)) {}

Placement PlacementPolicy::placeOnlineRequest(
    std::string_view Service, const std::set<std::string> &TriedServers) const {
  Placement Best;
  // Smaller ranks are better. The criteria are ordered by importance.
  std::tuple<bool, bool, int, bool, int, bool, int, std::uint64_t> BestRank;
  const Instant Now = this->Time.now();
  for (const KnownServer *Server : this->Servers.usableServers(Service)) {
    const ServerLoad Load = this->Loads.totalLoad(Server->Entry.Id);
    const int Slots = Server->Entry.Slots;
    // A request that exceeds the slots of its server has to wait, so the number
    // of waiting requests is compared first. If slots are free, all of them are
    // equally good, and a server in the own zone saves traffic between zones.
    const int WaitingRequests = std::max(0, Load.Online + 1 - Slots);
    // A batch item that gives up its slot is resumed at another server, but the
    // slot becomes free only after the next digest and the next engine step.
    const int DisplacedItems =
        std::max(0, Load.Online + Load.Batch + 1 + SpareSlots - Slots);
    const std::tuple Rank(
        TriedServers.contains(Server->Entry.Id), Server->AvoidedUntil > Now,
        WaitingRequests, Server->Entry.Zone != this->Zone, DisplacedItems,
        !this->Channels.hasIdleConnection(Server->Entry.Address), Load.Online,
        hash64(Server->Entry.Id + this->Self));
    if (!Best.Server || Rank < BestRank) {
      Best = {Server, WaitingRequests};
      BestRank = Rank;
    }
  }
  return Best;
}

const KnownServer *PlacementPolicy::chooseBatchServer(std::string_view Service,
                                                      int ReservedSlots) const {
  const KnownServer *Best = nullptr;
  std::tuple<bool, int, std::uint64_t> BestRank;
  const Instant Now = this->Time.now();
  for (const KnownServer *Server : this->Servers.usableServers(Service)) {
    const ServerLoad Load = this->Loads.totalLoad(Server->Entry.Id);
    const int UsedSlots = Load.Online + Load.Batch;
    // The loads of VMs in other zones become known later than those of the own
    // zone, so a slot is kept free at servers of other zones.
    const int KeptFree = std::max(
        ReservedSlots, Server->Entry.Zone == this->Zone ? 0 : SpareSlots);
    if (UsedSlots + KeptFree >= Server->Entry.Slots ||
        Server->AvoidedUntil > Now)
      continue;
    const std::tuple Rank(Server->Entry.Zone != this->Zone, UsedSlots,
                          hash64(Server->Entry.Id + this->Self));
    if (!Best || Rank < BestRank) {
      Best = Server;
      BestRank = Rank;
    }
  }
  return Best;
}

} // namespace turmericpass
