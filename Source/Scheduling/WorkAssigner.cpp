#include "Scheduling/WorkAssigner.h"

#include "Scheduling/FleetState.h"

#include <set>
#include <utility>

namespace turmericpass {

namespace {

// A request with a long prompt may need the room of several small streams.
constexpr int MaxPreemptions = 4;

} // namespace

void WorkAssigner::dispatch(const std::string &Service) {
  WorkQueue &Queue = this->Fleet.service(Service).Queue;
  bool HasProgress = true;
  while (HasProgress) {
    HasProgress = false;
    for (FairQueue *ClassQueue : Queue.nonEmptyQueues()) {
      const ServeResult Outcome = this->serveQueue(*ClassQueue);
      if (Outcome == ServeResult::Full)
        return;
      if (Outcome == ServeResult::Skip)
        continue;
      HasProgress = true;
      break;
    }
  }
}

WorkAssigner::ServeResult WorkAssigner::serveQueue(FairQueue &ClassQueue) {
  WorkItem &Item = this->Fleet.Items.at(ClassQueue.head());
  if (this->Placer.usesWholeLongShare(Item))
    return ServeResult::Skip;
  ServerState *Server = this->Placer.chooseServer(Item);
  if (Server == nullptr && !Item.IsBatch && this->preemptFor(Item, ""))
    Server = this->Placer.chooseServer(Item);
  if (Server != nullptr) {
    this->startItem(Item, *Server);
    return ServeResult::Progress;
  }
  if (this->Placer.isRestricted(Item)) {
    this->Fleet.hold(Item);
    return ServeResult::Progress;
  }
  return Item.isLong() && !Item.IsBatch ? ServeResult::Skip : ServeResult::Full;
}

void WorkAssigner::startItem(WorkItem &Item, ServerState &Server) {
  const double WaitMs = toMillis(this->Fleet.now() - Item.ArrivalTime);
  const bool IsProbe = Server.Health.isProbeDue(this->Fleet.now());
  const std::string Kind = IsProbe           ? "probed"
                           : Item.WasStarted ? "resumed"
                                             : "started";
  this->Fleet.recordDecision(Item.Work.RequestId, Server.Name, Kind,
                             std::to_string(static_cast<std::int64_t>(WaitMs)) +
                                 " ms after its arrival, beside " +
                                 std::to_string(Server.attemptCount()) +
                                 " others.");
  this->Fleet.startAttempt(Item, Server, false);
}

bool WorkAssigner::preemptFor(const WorkItem &Item,
                              const std::string &ExcludedServer) {
  for (int I = 0; I < MaxPreemptions; ++I) {
    const auto PreemptedId =
        this->Placer.chooseAttemptToPreempt(Item, ExcludedServer);
    if (!PreemptedId)
      return false;
    const RunningAttempt &Attempt = this->Fleet.Attempts.at(*PreemptedId);
    WorkItem &PreemptedItem = this->Fleet.Items.at(Attempt.Item);
    this->Fleet.recordDecision(
        PreemptedItem.Work.RequestId, Attempt.Server, "preempted",
        "Request " + Item.Work.RequestId +
            " needs the slot, and this work loses least.");
    this->Fleet.cancelAttempt(*PreemptedId);
    if (PreemptedItem.Attempts.empty())
      this->Fleet.enqueue(PreemptedItem);
    const ServerState *FreeServer =
        ExcludedServer.empty()
            ? this->Placer.chooseServer(Item)
            : this->Placer.chooseServerForCopy(Item, ExcludedServer);
    if (FreeServer != nullptr)
      return true;
  }
  return false;
}

bool WorkAssigner::takeRetryBudget(ServiceState &State, const WorkItem &Item) {
  const Instant Now = this->Fleet.now();
  RetryBudget &CustomerBudget = State.CustomerRetryBudgets[Item.Work.Customer];
  if (!CustomerBudget.isAvailable(Now) ||
      !State.ServiceRetryBudget.tryTake(Now))
    return false;
  return CustomerBudget.tryTake(Now);
}

void WorkAssigner::releaseHeldItems(const std::string &Service) {
  ServiceState &State = this->Fleet.service(Service);
  if (State.HeldItems.empty())
    return;
  const std::set<std::string> ServersWithSuspects =
      this->Fleet.Suspects.serversRunningSuspects();
  bool HasFreeServer = false;
  for (const ServerState *Server : this->Fleet.Pool.serversOf(Service))
    HasFreeServer =
        HasFreeServer || (Server->isUsable() && Server->isHealthy() &&
                          ServersWithSuspects.count(Server->Name) == 0);
  const std::vector<ItemId> WaitingIds = std::exchange(State.HeldItems, {});
  for (const ItemId Id : WaitingIds) {
    WorkItem &Item = this->Fleet.Items.at(Id);
    if (Item.NeedsRetryBudget && this->takeRetryBudget(State, Item))
      Item.NeedsRetryBudget = false;
    const bool IsIsolated = this->Fleet.Suspects.isSuspect(Item.SuspectKey);
    if (Item.NeedsRetryBudget || (IsIsolated && !HasFreeServer))
      State.HeldItems.push_back(Id);
    else
      this->Fleet.enqueue(Item);
  }
}

bool WorkAssigner::hasOtherServer(const WorkItem &Item,
                                  const std::string &UsedServer) {
  for (const ServerState *Server :
       this->Fleet.Pool.serversOf(Item.Work.Service))
    if (Server->Name != UsedServer && Server->isUsable() && Server->isHealthy())
      return true;
  return false;
}

bool WorkAssigner::startCopy(WorkItem &Item, const std::string &UsedServer) {
  ServerState *Server = this->Placer.chooseServerForCopy(Item, UsedServer);
  if (Server == nullptr && this->preemptFor(Item, UsedServer))
    Server = this->Placer.chooseServerForCopy(Item, UsedServer);
  if (Server == nullptr)
    return false;
  this->Fleet.startAttempt(Item, *Server, true);
  return true;
}

} // namespace turmericpass
