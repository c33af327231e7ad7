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

Placement
PlacementPolicy::placeOnlineRequest(std::string_view Service,
                                    const std::set<std::string> &Tried) const {
  Placement Best;
  // Smaller ranks are better. The criteria are ordered by importance.
  std::tuple<bool, bool, int, bool, int, bool, int, std::uint64_t> BestRank;
  const Instant Now = this->Time.now();
  for (const KnownServer *Server : this->Servers.usable(Service)) {
    const ServerLoad Use = this->Loads.total(Server->Entry.Id);
    const int Slots = Server->Entry.Slots;
    // A request that exceeds the slots of its server has to wait, so the number
    // of waiting requests is compared first. If slots are free, all of them are
    // equally good, and a server in the own zone saves traffic between zones.
    const int Waiting = std::max(0, Use.Online + 1 - Slots);
    // A batch item that gives up its slot is resumed at another server, but the
    // slot becomes free only after the next digest and the next engine step.
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
    // The loads of VMs in other zones become known later than those of the own
    // zone, so a slot is kept free at servers of other zones.
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
