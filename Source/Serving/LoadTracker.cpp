#include "Serving/LoadTracker.h"

#include "Core/Hash.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

namespace {

/// The number of updates of zone loads between two decisions to withdraw items
/// from a server. Until then, the sums may not show the items that other VMs
/// have withdrawn.
constexpr std::uint64_t UpdatesPerYield = 4;

/// The number of slots that items leave free on each server while loads become
/// known late, because a caller's request would wait until the VM of an item
/// has seen it.
constexpr int SlotsKeptForCallers = 1;

template <typename Map> ServerLoad loadOf(const Map &Loads, ServerKey Key) {
  const auto Found = Loads.find(Key);
  return Found == Loads.end() ? ServerLoad() : Found->second;
}

} // namespace

ServerKey serverKey(const std::string &Id) {
  return static_cast<ServerKey>(hash64(Id));
}

LoadTracker::LoadTracker(std::string Self) : Self(std::move(Self)) {}

ServerLoad &LoadTracker::changeLocalLoad(const std::string &Server) {
  ++this->Revision;
  return this->LocalLoads[serverKey(Server)];
}

void LoadTracker::removeIfIdle(const std::string &Server) {
  const auto Found = this->LocalLoads.find(serverKey(Server));
  if (Found->second.Online <= 0 && Found->second.Batch <= 0)
    this->LocalLoads.erase(Found);
}

void LoadTracker::addOnlineRequest(const std::string &Server) {
  ++this->changeLocalLoad(Server).Online;
}

void LoadTracker::removeOnlineRequest(const std::string &Server) {
  --this->changeLocalLoad(Server).Online;
  this->removeIfIdle(Server);
}

void LoadTracker::addBatchItem(const std::string &Server) {
  ++this->changeLocalLoad(Server).Batch;
}

void LoadTracker::removeBatchItem(const std::string &Server) {
  --this->changeLocalLoad(Server).Batch;
  this->removeIfIdle(Server);
}

void LoadTracker::addToSums(const LoadsByServer &Loads, int Sign) {
  for (const auto &[Key, Load] : Loads) {
    ServerLoad &Sum = this->Sums[Key];
    Sum.Online += Sign * Load.Online;
    Sum.Batch += Sign * Load.Batch;
    if (Sum.Online == 0 && Sum.Batch == 0)
      this->Sums.erase(Key);
  }
}

void LoadTracker::replaceLoads(LoadsByName &All, const std::string &Name,
                               LoadsByServer Loads) {
  LoadsByServer &Known = All[Name];
  this->addToSums(Known, -1);
  Known = std::move(Loads);
  this->addToSums(Known, 1);
}

void LoadTracker::removeLoads(LoadsByName &All, const std::string &Name) {
  const auto Found = All.find(Name);
  if (Found == All.end())
    return;
  this->addToSums(Found->second, -1);
  All.erase(Found);
}

void LoadTracker::setPeerLoads(const std::string &Node, LoadsByServer Loads) {
  this->replaceLoads(this->PeerLoads, Node, std::move(Loads));
}

void LoadTracker::removePeer(const std::string &Node) {
  this->removeLoads(this->PeerLoads, Node);
}

void LoadTracker::setZoneLoads(const std::string &Zone, LoadsByServer Loads) {
  ++this->ZoneUpdates;
  this->replaceLoads(this->ZoneLoads, Zone, std::move(Loads));
}

void LoadTracker::removeZone(const std::string &Zone) {
  this->removeLoads(this->ZoneLoads, Zone);
}

ServerLoad LoadTracker::localLoad(const std::string &Server) const {
  return loadOf(this->LocalLoads, serverKey(Server));
}

ServerLoad LoadTracker::totalLoad(const std::string &Server) const {
  const ServerKey Key = serverKey(Server);
  const ServerLoad Local = loadOf(this->LocalLoads, Key);
  const ServerLoad Others = loadOf(this->Sums, Key);
  return {Local.Online + Others.Online, Local.Batch + Others.Batch};
}

int LoadTracker::batchItemsToYield(const std::string &Server, int Slots) {
  const int LocalItems = this->localLoad(Server).Batch;
  if (LocalItems == 0)
    return 0;
  const ServerLoad Total = this->totalLoad(Server);
  const bool LoadsDelayed = !this->ZoneLoads.empty();
  const int KeptFree =
      LoadsDelayed ? slotsKeptFree(Slots, SlotsKeptForCallers) : 0;
  int Excess =
      std::min(Total.Online + Total.Batch + KeptFree - Slots, Total.Batch);
  if (Excess <= 0)
    return 0;
  const ServerKey Key = serverKey(Server);
  if (LoadsDelayed)
    return this->itemsToYieldFromSums(Key, LocalItems, Excess, Total.Batch);
  // The VMs withdraw their items one after the other, in an order that differs
  // between servers.
  const auto Rank = [&](const std::string &Node) { return hash64(Node, Key); };
  const std::uint64_t LocalRank = Rank(this->Self);
  for (const auto &[Node, Loads] : this->PeerLoads)
    if (const auto Found = Loads.find(Key);
        Found != Loads.end() && Rank(Node) < LocalRank)
      Excess -= Found->second.Batch;
  return std::clamp(Excess, 0, LocalItems);
}

int LoadTracker::itemsToYieldFromSums(ServerKey Key, int LocalItems, int Excess,
                                      int TotalItems) {
  YieldDecision &Decision = this->YieldDecisions[Key];
  if (Decision.ZoneUpdate == 0 ||
      this->ZoneUpdates - Decision.ZoneUpdate >= UpdatesPerYield) {
    Decision.ZoneUpdate = std::max<std::uint64_t>(1, this->ZoneUpdates);
    Decision.RemainingItems = LocalItems;
    const std::uint64_t Seed = hash64(this->Self, Key + this->ZoneUpdates);
    for (int Item = 0; Item < LocalItems; ++Item)
      if (hash64(std::to_string(Item), Seed) %
              static_cast<std::uint64_t>(TotalItems) <
          static_cast<std::uint64_t>(Excess))
        --Decision.RemainingItems;
  }
  return std::max(0, LocalItems - Decision.RemainingItems);
}

} // namespace turmericpass
