#include "ReplayNode.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

namespace {

constexpr const char *Service = "model";

} // namespace

const std::vector<PolicyFlags> &allPolicies() {
  static const std::vector<PolicyFlags> All = {
      {"turmericpass", true, true, true, true, true},
      {"hedged-2%", true, true, true, true, true, 0.02},
      {"hedged-5%", true, true, true, true, true, 0.05},
      {"no-refusals", false, true, true, true, true},
      {"items-by-age", true, true, true, false, true},
      {"items-keep-slots", true, false, true, true, true},
      {"own-counts", true, true, false, true, true},
      {"round-robin", false, false, false, false, false},
  };
  return All;
}

ReplayNode::ReplayNode(const Clock &Time, std::string Name, std::string Zone,
                       const std::vector<ServerEntry> &Listed,
                       PolicyFlags Flags)
    : Name(std::move(Name)), Zone(std::move(Zone)), Servers(Time),
      Loads(this->Name), Policy(Time, this->Servers, this->Loads,
                                this->Channels, this->Zone, this->Name),
      Hedges(Time), Time(Time), Flags(Flags) {
  HedgeSettings Hedging;
  Hedging.Share = Flags.HedgeShare;
  this->Hedges.setSettings(Hedging);
  for (const ServerEntry &Entry : Listed)
    this->Servers.update(Entry);
}

const KnownServer *ReplayNode::nextInTurn() {
  const std::vector<const KnownServer *> Usable =
      this->Servers.usableServers(Service);
  return Usable[this->Turn++ % Usable.size()];
}

Placement ReplayNode::placeCaller() {
  if (!this->Flags.ChoosesByLoad)
    return {this->nextInTurn(), 0};
  return this->Policy.placeOnlineRequest(Service, {});
}

const KnownServer *ReplayNode::placeItem() {
  if (this->Flags.ChoosesByLoad)
    return this->Policy.chooseBatchServer(Service, 0);
  const KnownServer *Next = this->nextInTurn();
  const ServerLoad Own = this->Loads.localLoad(Next->Entry.Id);
  return Own.Batch == 0 ? Next : nullptr;
}

std::vector<ItemKey> ReplayNode::itemsToStart(Duration JobTarget,
                                              std::int64_t NowMillis) {
  std::vector<ItemKey> Waiting = waitingItems(this->Jobs, this->Time.now());
  const auto Age = [&](const ItemKey &Key) {
    return NowMillis - this->Jobs.at(Key.JobId).Metadata.AcceptedAtMillis;
  };
  if (!this->Flags.OrdersItems) {
    std::stable_sort(
        Waiting.begin(), Waiting.end(),
        [&](const ItemKey &A, const ItemKey &B) { return Age(A) > Age(B); });
    return Waiting;
  }
  std::stable_partition(
      Waiting.begin(), Waiting.end(), [&](const ItemKey &Key) {
        const ItemRun &Run = this->Jobs.at(Key.JobId).Items[Key.Index];
        return this->Order.canBeOnTime(JobTarget -
                                           std::chrono::milliseconds(Age(Key)),
                                       Run.LastEventId.value_or(0));
      });
  return Waiting;
}

} // namespace turmericpass
