#include "Serving/PlacementPolicy.h"

#include "Core/Hash.h"
#include "RawHttp/BackendChannels.h"
#include "Serving/LoadTracker.h"
#include "Serving/ServerDirectory.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace turmericpass {

namespace {

/// The number of slots to keep free at a server, because other VMs may choose
/// the same server concurrently.
constexpr int SpareSlots = 1;

/// The costs of a placement while loads are delayed, in requests that wait in
/// front. A displaced item delays a request until its VM has seen the request.
constexpr double DisplacedItemCost = 0.5;
constexpr double OtherZoneCost = 4;
constexpr double NewConnectionCost = 0.4;
constexpr double AvoidedServerCost = 100;
constexpr double TriedServerCost = 10'000;
/// The random part of the cost covers the number of requests that reach one
/// server before their load is known.
constexpr double RandomCost = 1.5;

/// Returns a random number from 0 to 1 for one server and one choice.
double randomFraction(const std::string &Server, std::uint64_t Random) {
  constexpr double Steps = 1U << 20U;
  return static_cast<double>(hash64(Server, Random) % (1U << 20U)) / Steps;
}

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
                                    const std::set<std::string> &TriedServers,
                                    std::uint64_t Random) const {
  if (this->LoadsDelayed)
    return this->placeSpread(Service, TriedServers, Random);
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

Placement
PlacementPolicy::placeSpread(std::string_view Service,
                             const std::set<std::string> &TriedServers,
                             std::uint64_t Random) const {
  Placement Best;
  double BestCost = 0;
  const Instant Now = this->Time.now();
  for (const KnownServer *Server : this->Servers.usableServers(Service)) {
    const ServerLoad Load = this->Loads.totalLoad(Server->Entry.Id);
    const int Slots = Server->Entry.Slots;
    const int WaitingRequests = std::max(0, Load.Online + 1 - Slots);
    const int DisplacedItems = std::max(
        0, Load.Online + Load.Batch + 1 + SpareSlots - Slots - WaitingRequests);
    double Cost = WaitingRequests + DisplacedItemCost * DisplacedItems +
                  RandomCost * randomFraction(Server->Entry.Id, Random);
    if (Server->Entry.Zone != this->Zone)
      Cost += OtherZoneCost;
    if (!this->Channels.hasIdleConnection(Server->Entry.Address))
      Cost += NewConnectionCost;
    if (Server->AvoidedUntil > Now)
      Cost += AvoidedServerCost;
    if (TriedServers.contains(Server->Entry.Id))
      Cost += TriedServerCost;
    if (Best.Server && Cost >= BestCost)
      continue;
    Best = {Server, WaitingRequests};
    BestCost = Cost;
  }
  return Best;
}

CopyPlacement
PlacementPolicy::placeCopy(std::string_view Service,
                           const std::set<std::string> &TriedServers,
                           std::uint64_t Random) const {
  CopyPlacement Best;
  std::tuple<bool, int, std::uint64_t> BestRank;
  int AllSlots = 0;
  int AllFree = 0;
  const Instant Now = this->Time.now();
  for (const KnownServer *Server : this->Servers.usableServers(Service)) {
    const ServerLoad Load = this->Loads.totalLoad(Server->Entry.Id);
    const int UsedSlots = Load.Online + Load.Batch;
    const int Free = std::max(0, Server->Entry.Slots - UsedSlots);
    AllSlots += Server->Entry.Slots;
    if (Server->AvoidedUntil > Now)
      continue;
    AllFree += Free;
    // The loads of VMs in other zones become known later than those of the own
    // zone, so the last slots are left to them.
    const bool IsOtherZone = Server->Entry.Zone != this->Zone;
    const int KeptFree = IsOtherZone || this->LoadsDelayed
                             ? slotsKeptFree(Server->Entry.Slots, SpareSlots)
                             : 0;
    if (TriedServers.contains(Server->Entry.Id) || Free <= KeptFree)
      continue;
    // Random choices keep VMs from sending their copies to the same server.
    const std::tuple Rank(IsOtherZone, this->LoadsDelayed ? 0 : UsedSlots,
                          hash64(Server->Entry.Id, Random));
    if (!Best.Server || Rank < BestRank) {
      Best.Server = Server;
      BestRank = Rank;
    }
  }
  if (AllSlots > 0)
    Best.FreeSlots = static_cast<double>(AllFree) / AllSlots;
  return Best;
}

BatchCapacity PlacementPolicy::batchCapacity(std::string_view Service) const {
  BatchCapacity Capacity;
  const Instant Now = this->Time.now();
  for (const KnownServer *Server : this->Servers.usableServers(Service)) {
    ++Capacity.Servers;
    if (Server->AvoidedUntil > Now) {
      ++Capacity.AvoidedServers;
      continue;
    }
    const ServerLoad Load = this->Loads.totalLoad(Server->Entry.Id);
    Capacity.FreeSlots +=
        std::max(0, Server->Entry.Slots - Load.Online - Load.Batch);
  }
  return Capacity;
}

int PlacementPolicy::freeBatchSlots(std::string_view Service) const {
  int Free = 0;
  for (const KnownServer *Server : this->Servers.usableServers(Service)) {
    const ServerLoad Load = this->Loads.totalLoad(Server->Entry.Id);
    const int Slots = Server->Entry.Slots;
    Free += std::max(0, Slots - slotsKeptFree(Slots, SpareSlots) - Load.Online -
                            Load.Batch);
  }
  return Free;
}

const KnownServer *PlacementPolicy::chooseBatchServer(
    std::string_view Service, int ReservedSlots, std::uint64_t Random,
    const std::set<std::string> &Excluded) const {
  const KnownServer *Best = nullptr;
  std::tuple<bool, bool, int, std::uint64_t> BestRank;
  bool HasReliableServer = false;
  const Instant Now = this->Time.now();
  for (const KnownServer *Server : this->Servers.usableServers(Service)) {
    const bool IsAvoided = Server->AvoidedUntil > Now;
    HasReliableServer = HasReliableServer || !IsAvoided;
    const ServerLoad Load = this->Loads.totalLoad(Server->Entry.Id);
    const int UsedSlots = Load.Online + Load.Batch;
    // The loads of VMs in other zones become known later than those of the own
    // zone, so a slot is kept free at servers of other zones.
    const int SlotsForOthers =
        Server->Entry.Zone == this->Zone && !this->LoadsDelayed ? 0
                                                                : SpareSlots;
    const int KeptFree = slotsKeptFree(Server->Entry.Slots,
                                       std::max(ReservedSlots, SlotsForOthers));
    if (UsedSlots + KeptFree >= Server->Entry.Slots ||
        Server->AvoidedForOwnFailuresUntil > Now ||
        Excluded.contains(Server->Entry.Id))
      continue;
    const std::tuple Rank(IsAvoided, Server->Entry.Zone != this->Zone,
                          this->LoadsDelayed ? 0 : UsedSlots,
                          this->LoadsDelayed
                              ? hash64(Server->Entry.Id, Random)
                              : hash64(Server->Entry.Id + this->Self));
    if (!Best || Rank < BestRank) {
      Best = Server;
      BestRank = Rank;
    }
  }
  // The reports of other VMs alone must not keep all items waiting: the cause
  // may be on their side, and then they repeat the reports without end.
  const bool IsReportedByOthers = Best && Best->AvoidedUntil > Now;
  return IsReportedByOthers && HasReliableServer ? nullptr : Best;
}

} // namespace turmericpass
