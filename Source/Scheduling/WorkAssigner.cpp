#include "Scheduling/WorkAssigner.h"

#include "Scheduling/FleetState.h"

#include <set>
#include <utility>

namespace turmericpass {

namespace {

// A request with a long prompt may need the room of several small streams.
constexpr int MostVictims = 4;

} // namespace

void WorkAssigner::dispatch(const std::string &Service) {
  WorkQueue &Queue = this->Fleet.service(Service).Queue;
  bool Progress = true;
  while (Progress) {
    Progress = false;
    for (FairLane *Lane : Queue.lanes()) {
      const Step Outcome = this->serve(*Lane);
      if (Outcome == Step::Full)
        return;
      if (Outcome == Step::Skip)
        continue;
      Progress = true;
      break;
    }
  }
}

WorkAssigner::Step WorkAssigner::serve(FairLane &Lane) {
  WorkItem &Item = this->Fleet.Items.at(Lane.head());
  if (this->Places.holdsItsShare(Item))
    return Step::Skip;
  ServerState *Server = this->Places.choose(Item);
  if (Server == nullptr && !Item.IsBatch && this->makeRoom(Item, ""))
    Server = this->Places.choose(Item);
  if (Server != nullptr) {
    this->startAt(Item, *Server);
    return Step::Progress;
  }
  if (this->Places.isRestricted(Item)) {
    this->Fleet.hold(Item);
    return Step::Progress;
  }
  return Item.isLong() && !Item.IsBatch ? Step::Skip : Step::Full;
}

void WorkAssigner::startAt(WorkItem &Item, ServerState &Server) {
  const double Waited = toMillis(this->Fleet.now() - Item.Arrived);
  const bool IsProbe = Server.Health.probeDue(this->Fleet.now());
  const std::string What = IsProbe           ? "probed"
                           : Item.WasStarted ? "resumed"
                                             : "started";
  this->Fleet.record(Item.Work.RequestId, Server.Name, What,
                     std::to_string(static_cast<std::int64_t>(Waited)) +
                         " ms after its arrival, beside " +
                         std::to_string(Server.running()) + " others.");
  this->Fleet.start(Item, Server, false);
}

bool WorkAssigner::makeRoom(const WorkItem &Item, const std::string &Except) {
  for (int I = 0; I < MostVictims; ++I) {
    const auto Victim = this->Places.victimFor(Item, Except);
    if (!Victim)
      return false;
    const RunningAttempt &Run = this->Fleet.Attempts.at(*Victim);
    WorkItem &Yielding = this->Fleet.Items.at(Run.Item);
    this->Fleet.record(Yielding.Work.RequestId, Run.Server, "preempted",
                       "Request " + Item.Work.RequestId +
                           " needs the slot, and this work loses least.");
    this->Fleet.cancelAttempt(*Victim);
    if (Yielding.Attempts.empty())
      this->Fleet.enqueue(Yielding);
    const ServerState *Room = Except.empty()
                                  ? this->Places.choose(Item)
                                  : this->Places.chooseOther(Item, Except);
    if (Room != nullptr)
      return true;
  }
  return false;
}

bool WorkAssigner::payRetry(ServiceState &State, const WorkItem &Item) {
  const Instant Now = this->Fleet.now();
  RetryBudget &Customer = State.CustomerRetries[Item.Work.Customer];
  if (!Customer.available(Now) || !State.Retries.take(Now))
    return false;
  return Customer.take(Now);
}

void WorkAssigner::releaseHeld(const std::string &Service) {
  ServiceState &State = this->Fleet.service(Service);
  if (State.Held.empty())
    return;
  const std::set<std::string> Isolating = this->Fleet.Suspects.serversInUse();
  bool HasFree = false;
  for (const ServerState *Server : this->Fleet.Pool.of(Service))
    HasFree = HasFree || (Server->isUsable() && Server->isFit() &&
                          Isolating.count(Server->Name) == 0);
  const std::vector<ItemId> Waiting = std::exchange(State.Held, {});
  for (const ItemId Id : Waiting) {
    WorkItem &Item = this->Fleet.Items.at(Id);
    if (Item.OwesRetry && this->payRetry(State, Item))
      Item.OwesRetry = false;
    const bool Isolated = this->Fleet.Suspects.isSuspect(Item.SuspectKey);
    if (Item.OwesRetry || (Isolated && !HasFree))
      State.Held.push_back(Id);
    else
      this->Fleet.enqueue(Item);
  }
}

bool WorkAssigner::hasOther(const WorkItem &Item, const std::string &Used) {
  for (const ServerState *Server : this->Fleet.Pool.of(Item.Work.Service))
    if (Server->Name != Used && Server->isUsable() && Server->isFit())
      return true;
  return false;
}

bool WorkAssigner::startCopy(WorkItem &Item, const std::string &Used) {
  ServerState *Server = this->Places.chooseOther(Item, Used);
  if (Server == nullptr && this->makeRoom(Item, Used))
    Server = this->Places.chooseOther(Item, Used);
  if (Server == nullptr)
    return false;
  this->Fleet.start(Item, *Server, true);
  return true;
}

} // namespace turmericpass
