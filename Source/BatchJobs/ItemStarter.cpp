#include "BatchJobs/ItemStarter.h"

#include "Core/EnumTable.h"
#include "Core/Hash.h"
#include "Serving/PlacementPolicy.h"
#include "Serving/ServerDirectory.h"
#include "Telemetry/Logger.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

namespace {

/// The number of free slots that late items leave on each server while other
/// VMs have waiting items that can meet their deadline.
constexpr int SlotsReservedForUrgent = 2;

/// How long items wait without a start before the reason is logged, and how
/// often the line is repeated while they wait.
constexpr Duration LoggedWait = std::chrono::seconds(1);
constexpr Duration WaitLogPeriod = std::chrono::seconds(10);

enum class WaitReason { NoServer, ServersAvoided, NoFreeSlot, SlotsReserved };

constexpr auto WaitReasonNames = makeEnumTable<WaitReason>({
    {WaitReason::NoServer, "the service has no usable server"},
    {WaitReason::ServersAvoided, "requests to all servers failed recently"},
    {WaitReason::NoFreeSlot, "all slots are in use"},
    {WaitReason::SlotsReserved, "the free slots are reserved"},
});

WaitReason waitReason(const BatchCapacity &Capacity) {
  if (Capacity.Servers == 0)
    return WaitReason::NoServer;
  if (Capacity.Servers == Capacity.AvoidedServers)
    return WaitReason::ServersAvoided;
  return Capacity.FreeSlots == 0 ? WaitReason::NoFreeSlot
                                 : WaitReason::SlotsReserved;
}

} // namespace

ItemStarter::ItemStarter(const Clock &Time, const PlacementPolicy &Placement,
                         const ServerDirectory &Servers, Logger &Log,
                         ItemStarterCallbacks Callbacks)
    : Time(Time), Placement(Placement), Servers(Servers), Log(Log),
      Callbacks(std::move(Callbacks)) {}

void ItemStarter::startItems(const std::vector<ItemCandidate> &Waiting) {
  this->WaitingItemCount = static_cast<int>(Waiting.size());
  this->HasUrgentItems = false;
  this->SuspectServers.clear();
  if (this->Callbacks.SuspectServers &&
      std::any_of(Waiting.begin(), Waiting.end(),
                  [](const ItemCandidate &Item) { return Item.IsSuspect; }))
    this->SuspectServers = this->Callbacks.SuspectServers();
  std::map<std::string_view, ServiceItems> ItemsByService;
  for (const ItemCandidate &Item : Waiting)
    ItemsByService[Item.Service].push_back(&Item);
  for (auto &[Service, State] : this->Services)
    if (!ItemsByService.contains(Service))
      State.NextWaitLog.reset();
  for (const auto &[Service, Items] : ItemsByService)
    this->startItemsOf(Service, Items);
}

void ItemStarter::startItemsOf(std::string_view Service,
                               const ServiceItems &Items) {
  ServiceState &State =
      this->Services.try_emplace(std::string(Service)).first->second;
  ServiceItems OnTime;
  ServiceItems Late;
  for (const ItemCandidate *Item : Items)
    (State.Policy.canBeOnTime(Item->TimeLeft, Item->Events) ? OnTime : Late)
        .push_back(Item);
  if (this->Placement.areLoadsDelayed())
    State.Budget.update(this->Time.now(), static_cast<int>(Items.size()),
                        this->Callbacks.OtherVmsWaitingItems(),
                        this->Placement.freeBatchSlots(Service));
  if (State.Policy.isNextStartForLateItem() && !Late.empty() &&
      this->startItem(State, *Late.front(), 0)) {
    State.Policy.recordStart(false);
    Late.erase(Late.begin());
  }
  if (this->startInOrder(State, OnTime, true, 0)) {
    // Without a server, the item competes for no slot with other VMs' items.
    if (this->Servers.hasUsableServer(Service))
      this->HasUrgentItems = true;
    this->logWait(State, Service, Items.size());
    return;
  }
  // Urgent items may wait for other reasons than a lack of slots, so late items
  // are held back only on servers with few free slots.
  const int ReservedSlots =
      this->Callbacks.OtherVmsHaveUrgentItems() ? SlotsReservedForUrgent : 0;
  if (this->startInOrder(State, Late, false, ReservedSlots))
    this->logWait(State, Service, Items.size());
}

const ItemCandidate *ItemStarter::startInOrder(ServiceState &State,
                                               const ServiceItems &Items,
                                               bool AreOnTime,
                                               int ReservedSlots) {
  for (const ItemCandidate *Item : Items) {
    if (this->startItem(State, *Item, ReservedSlots)) {
      State.Policy.recordStart(AreOnTime);
      continue;
    }
    if (!Item->IsSuspect || this->SuspectServers.empty())
      return Item;
  }
  return nullptr;
}

void ItemStarter::logWait(ServiceState &State, std::string_view Service,
                          std::size_t Items) {
  const Instant Now = this->Time.now();
  if (!State.NextWaitLog)
    State.NextWaitLog = Now + LoggedWait;
  if (Now < *State.NextWaitLog)
    return;
  State.NextWaitLog = Now + WaitLogPeriod;
  const BatchCapacity Capacity = this->Placement.batchCapacity(Service);
  this->Log.log(LogLevel::Info, "Items wait and none of them starts.",
                {{"service", Service},
                 {"items", Items},
                 {"servers", Capacity.Servers},
                 {"avoided_servers", Capacity.AvoidedServers},
                 {"free_slots", Capacity.FreeSlots},
                 {"reason", WaitReasonNames.nameOf(waitReason(Capacity))}});
}

bool ItemStarter::startItem(ServiceState &State, const ItemCandidate &Item,
                            int ReservedSlots) {
  const auto Now =
      static_cast<std::uint64_t>(this->Time.now().time_since_epoch().count());
  const KnownServer *Server = this->Placement.chooseBatchServer(
      Item.Service, ReservedSlots, hash64(Item.ItemId, Now),
      Item.IsSuspect ? this->SuspectServers : std::set<std::string>());
  if (!Server || (this->Placement.areLoadsDelayed() && !State.Budget.take()))
    return false;
  State.NextWaitLog.reset();
  if (Item.IsSuspect)
    this->SuspectServers.insert(Server->Entry.Id);
  this->Callbacks.Start(Item.Key, *Server);
  return true;
}

} // namespace turmericpass
