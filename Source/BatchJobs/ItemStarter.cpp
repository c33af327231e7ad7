#include "BatchJobs/ItemStarter.h"

#include "Core/EnumTable.h"
#include "Core/Hash.h"
#include "Serving/PlacementPolicy.h"
#include "Telemetry/Logger.h"

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
                         Logger &Log, ItemStarterCallbacks Callbacks)
    : Time(Time), Placement(Placement), Log(Log),
      Callbacks(std::move(Callbacks)) {}

void ItemStarter::startItems(const std::vector<ItemCandidate> &Waiting) {
  this->WaitingItemCount = static_cast<int>(Waiting.size());
  this->HasUrgentItems = false;
  if (Waiting.empty()) {
    this->NextWaitLog.reset();
    return;
  }
  std::vector<const ItemCandidate *> OnTime;
  std::vector<const ItemCandidate *> Late;
  for (const ItemCandidate &Item : Waiting)
    (this->Policy.canBeOnTime(Item.TimeLeft, Item.Events) ? OnTime : Late)
        .push_back(&Item);
  this->updateBudget(Waiting.front().Service);
  if (this->Policy.isNextStartForLateItem() && !Late.empty() &&
      this->startItem(*Late.front(), 0)) {
    this->Policy.recordStart(false);
    Late.erase(Late.begin());
  }
  for (const ItemCandidate *Item : OnTime) {
    this->HasUrgentItems = !this->startItem(*Item, 0);
    if (this->HasUrgentItems)
      return;
    this->Policy.recordStart(true);
  }
  // Urgent items may wait for other reasons than a lack of slots, so late items
  // are held back only on servers with few free slots.
  const int ReservedSlots =
      this->Callbacks.OtherVmsHaveUrgentItems() ? SlotsReservedForUrgent : 0;
  for (const ItemCandidate *Item : Late) {
    if (!this->startItem(*Item, ReservedSlots))
      return;
    this->Policy.recordStart(false);
  }
}

void ItemStarter::updateBudget(std::string_view Service) {
  if (this->Placement.areLoadsDelayed())
    this->Budget.update(this->Time.now(), this->WaitingItemCount,
                        this->Callbacks.OtherVmsWaitingItems(),
                        this->Placement.freeBatchSlots(Service));
}

void ItemStarter::logWait(std::string_view Service, int Items) {
  const Instant Now = this->Time.now();
  if (!this->NextWaitLog)
    this->NextWaitLog = Now + LoggedWait;
  if (Now < *this->NextWaitLog)
    return;
  this->NextWaitLog = Now + WaitLogPeriod;
  const BatchCapacity Capacity = this->Placement.batchCapacity(Service);
  this->Log.log(LogLevel::Info, "Items wait and none of them starts.",
                {{"service", Service},
                 {"items", Items},
                 {"servers", Capacity.Servers},
                 {"avoided_servers", Capacity.AvoidedServers},
                 {"free_slots", Capacity.FreeSlots},
                 {"reason", WaitReasonNames.nameOf(waitReason(Capacity))}});
}

bool ItemStarter::startItem(const ItemCandidate &Item, int ReservedSlots) {
  const auto Now =
      static_cast<std::uint64_t>(this->Time.now().time_since_epoch().count());
  const KnownServer *Server = this->Placement.chooseBatchServer(
      Item.Service, ReservedSlots, hash64(Item.ItemId, Now));
  if (!Server || (this->Placement.areLoadsDelayed() && !this->Budget.take())) {
    this->logWait(Item.Service, this->WaitingItemCount);
    return false;
  }
  this->NextWaitLog.reset();
  this->Callbacks.Start(Item.Key, *Server);
  return true;
}

} // namespace turmericpass
