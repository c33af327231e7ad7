#include "Serving/PlacementPolicy.h"

#include "Core/Hash.h"
#include "RawHttp/BackendChannels.h"
#include "Serving/LoadTracker.h"
#include "Serving/ServerDirectory.h"

#include <tuple>
#include <utility>

namespace turmericpass {

namespace {

/// So many free slots are left at a server before another one is preferred,
/// because other VMs choose at the same moment.
constexpr int SpareSlots = 1;

} // namespace

PlacementPolicy::PlacementPolicy(const Clock &Time,
                                 const ServerDirectory &Servers,
                                 const LoadTracker &Loads,
                                 const BackendChannels &Channels,
                                 std::string Zone, std::string Self)
    : Time(Time), Servers(Servers), Loads(Loads), Channels(Channels),
      Zone(std::move(Zone)), Self(std::move(Self)) {}

Placement
PlacementPolicy::placeOnlineRequest(std::string_view Service,
                                    const std::set<std::string> &Tried) const {
  Placement Best;
  // Smaller is better, from the most to the least important reason.
  std::tuple<bool, bool, int, bool, int, bool, int, std::uint64_t> BestRank;
  const Instant Now = this->Time.now();
  for (const KnownServer *Server : this->Servers.usable(Service)) {
    const ServerLoad Use = this->Loads.total(Server->Entry.Id);
    const int Slots = Server->Entry.Slots;
    // Beyond its slots a request waits, so the number that wait decides; below
    // them any free slot is as good, and traffic between zones is saved.
    const int Waiting = std::max(0, Use.Online + 1 - Slots);
    // An item that gives way is resumed elsewhere, but its slot comes free only
    // after a digest and a step of the engine.
    const int Displaced =
        std::max(0, Use.Online + Use.Batch + 1 + SpareSlots - Slots);
    const std::tuple Rank(Tried.contains(Server->Entry.Id),
                          Server->AvoidedUntil > Now, Waiting,
                          Server->Entry.Zone != this->Zone, Displaced,
                          !this->Channels.hasIdle(Server->Entry.Address),
                          Use.Online, hash64(Server->Entry.Id + this->Self));
    if (!Best.Server || Rank < BestRank) {
      Best = {Server, Waiting};
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
  for (const KnownServer *Server : this->Servers.usable(Service)) {
    const ServerLoad Use = this->Loads.total(Server->Entry.Id);
    const int Busy = Use.Online + Use.Batch;
    // What VMs in other zones run is known later, so a slot is left over there.
    const int Spare = std::max(
        ReservedSlots, Server->Entry.Zone == this->Zone ? 0 : SpareSlots);
    if (Busy + Spare >= Server->Entry.Slots || Server->AvoidedUntil > Now)
      continue;
    const std::tuple Rank(Server->Entry.Zone != this->Zone, Busy,
                          hash64(Server->Entry.Id + this->Self));
    if (!Best || Rank < BestRank) {
      Best = Server;
      BestRank = Rank;
    }
  }
  return Best;
}

} // namespace turmericpass
