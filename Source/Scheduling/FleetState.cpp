#include "Scheduling/FleetState.h"

#include <algorithm>

namespace turmericpass {

namespace {

// Covers the loss of two servers with 32 requests each, which is the most that
// a single crashing request may cause.
constexpr double MaxRetryBurst = 64;
// Allows occasional retries when no request succeeds and refills the budget.
constexpr double RetryRefillPerSecond = 0.2;

} // namespace

FleetState::FleetState(const Clock &TimeSource) : Time(TimeSource) {}

void FleetState::configure(const FleetSettings &NewSettings,
                           const std::set<std::string> &OwnedServers) {
  this->Settings = NewSettings;
  this->Pool.configure(NewSettings, OwnedServers);
  for (const auto &[Name, Entry] : this->Settings.Services) {
    ServiceState &State = this->service(Name);
    State.Repeatable = Entry.Repeatable;
    State.MayHedge = Entry.Hedge;
    State.Hedges.setShare(this->Settings.Limits.HedgeBudget);
    State.ServiceRetryBudget.setShare(this->Settings.Limits.RetryBudget);
    for (auto &[Customer, Budget] : State.CustomerRetryBudgets)
      Budget.setShare(this->Settings.Limits.RetryBudget);
  }
}

ServiceState &FleetState::service(const std::string &Name) {
  const auto [Position, IsNew] = this->Services.try_emplace(Name);
  ServiceState &State = Position->second;
  if (!IsNew)
    return State;
  State.Name = Name;
  const auto Entry = this->Settings.Services.find(Name);
  if (Entry != this->Settings.Services.end())
    State.IsModel = Entry->second.Kind == ServiceKind::Model;
  State.Sizes = SizeEstimator(State.IsModel);
  const LimitSettings &Limits = this->Settings.Limits;
  State.Hedges = HedgePolicy(Limits.HedgeBudget, this->now());
  State.ServiceRetryBudget = RetryBudget(Limits.RetryBudget, MaxRetryBurst,
                                         RetryRefillPerSecond, this->now());
  return State;
}

WorkItem *FleetState::findRequest(const std::string &RequestId) {
  const auto Found = this->ItemsByRequest.find(RequestId);
  return Found == this->ItemsByRequest.end() ? nullptr
                                             : &this->Items.at(Found->second);
}

RunningAttempt *FleetState::findAttempt(SchedulerAttemptId Id) {
  const auto Found = this->Attempts.find(Id);
  return Found == this->Attempts.end() ? nullptr : &Found->second;
}

WorkItem &FleetState::addItem(WorkItem Item) {
  Item.Id = ++this->LastItemId;
  this->ItemsByRequest[Item.Work.RequestId] = Item.Id;
  this->Deadlines.emplace(Item.Deadline, Item.Id);
  ServiceState &State = this->service(Item.Work.Service);
  State.CustomerRetryBudgets.try_emplace(
      Item.Work.Customer, this->Settings.Limits.RetryBudget, MaxRetryBurst,
      RetryRefillPerSecond, this->now());
  const ItemId Id = Item.Id;
  return this->Items.emplace(Id, std::move(Item)).first->second;
}

void FleetState::enqueue(WorkItem &Item) {
  this->service(Item.Work.Service).Queue.push(Item);
}

void FleetState::hold(WorkItem &Item) {
  ServiceState &State = this->service(Item.Work.Service);
  State.Queue.remove(Item, false);
  Item.State = SchedulingState::Held;
  State.HeldItems.push_back(Item.Id);
}

RunningAttempt &FleetState::startAttempt(WorkItem &Item, ServerState &Server,
                                         bool IsHedge) {
  const Instant Now = this->now();
  ServiceState &State = this->service(Item.Work.Service);
  State.Queue.remove(Item, true);
  RunningAttempt Attempt;
  Attempt.Id = ++this->LastAttemptId;
  Attempt.Item = Item.Id;
  Attempt.Server = Server.Name;
  Attempt.StartTime = Now;
  Attempt.LastTokenTime = Now;
  Attempt.PromptTokens =
      Item.Work.PromptTokens + Item.Work.ResumeTokenIds.size();
  Attempt.TokenLoad = Item.tokenLoad();
  Attempt.IsHedge = IsHedge;
  Attempt.IsProbe = Server.Health.isProbeDue(Now);
  if (Attempt.IsProbe)
    Server.Health.recordProbe(Now);
  Item.WasStarted = true;
  Item.Attempts.push_back(Attempt.Id);
  Server.Attempts.push_back(Attempt.Id);
  Server.TokensInFlight += Attempt.TokenLoad;
  Server.LastStartTime = Now;
  if (!Item.IsBatch) {
    ++Server.OnlineAttemptCount;
    State.Reserve.recordOnlineStart(Now);
  }
  this->Suspects.recordStart(Item.SuspectKey, Server.Name);
  if (!Item.Work.PrefixHashes.empty())
    this->Prefixes.expectBlocks(Server.Name, Item.Work.PrefixHashes);
  StartAttempt Action{Attempt.Id, Server.Name, Item.Work};
  Action.Work.RemainingMs = static_cast<std::uint64_t>(std::max<std::int64_t>(
      1, std::chrono::ceil<std::chrono::milliseconds>(Item.Deadline - Now)
             .count()));
  this->Actions.emplace_back(std::move(Action));
  RunningAttempt &Registered =
      this->Attempts.emplace(Attempt.Id, std::move(Attempt)).first->second;
  if (Item.isLong())
    this->countAsLong(Registered, Item);
  return Registered;
}

void FleetState::countAsLong(RunningAttempt &Attempt, const WorkItem &Item) {
  if (Attempt.IsLong)
    return;
  Attempt.IsLong = true;
  ++this->service(Item.Work.Service).LongAttemptsByClass[Item.Work.Class];
  ++this->Pool.find(Attempt.Server)->LongAttemptsByClass[Item.Work.Class];
}

void FleetState::removeAttempt(SchedulerAttemptId Id) {
  const auto Found = this->Attempts.find(Id);
  const RunningAttempt &Attempt = Found->second;
  WorkItem &Item = this->Items.at(Attempt.Item);
  ServerState &Server = *this->Pool.find(Attempt.Server);
  std::erase(Server.Attempts, Id);
  std::erase(Item.Attempts, Id);
  Server.TokensInFlight -= Attempt.TokenLoad;
  if (!Item.IsBatch)
    --Server.OnlineAttemptCount;
  if (Attempt.IsLong) {
    --this->service(Item.Work.Service).LongAttemptsByClass[Item.Work.Class];
    --Server.LongAttemptsByClass[Item.Work.Class];
  }
  this->Suspects.recordEnd(Item.SuspectKey, Server.Name);
  this->Attempts.erase(Found);
}

void FleetState::endAttempt(SchedulerAttemptId Id) { this->removeAttempt(Id); }

void FleetState::cancelAttempt(SchedulerAttemptId Id) {
  this->Items.at(this->Attempts.at(Id).Item).MayHaveRun = true;
  this->Actions.emplace_back(CancelAttempt{Id});
  this->removeAttempt(Id);
}

void FleetState::finish(WorkItem &Item, Finish Outcome, bool NotifyPeer) {
  const std::string RequestId = Item.Work.RequestId;
  const std::string Service = Item.Work.Service;
  const std::string Peer = Item.Peer;
  while (!Item.Attempts.empty())
    this->cancelAttempt(Item.Attempts.front());
  ServiceState &State = this->service(Service);
  State.Queue.remove(Item, false);
  if (Item.State == SchedulingState::Held)
    std::erase(State.HeldItems, Item.Id);
  this->Deadlines.erase({Item.Deadline, Item.Id});
  Outcome.RequestId = RequestId;
  Outcome.Attempt = Item.Work.Attempt;
  Outcome.TotalTokens = Item.Work.ResumeTokenIds.size();
  this->Tombstones.add(
      RequestId, {Outcome.Attempt, Outcome.Code, Outcome.Ran, {}}, this->now());
  this->ItemsByRequest.erase(RequestId);
  this->Items.erase(Item.Id);
  if (!NotifyPeer)
    return;
  Outcome.Load = this->makeLoadHint(Service);
  this->send(Peer, std::move(Outcome));
}

void FleetState::fail(WorkItem &Item, FinishCode Code, std::string Detail,
                      std::uint64_t RetryAfterMs) {
  Finish Outcome;
  Outcome.Code = Code;
  Outcome.Ran = Item.executionStatus();
  Outcome.Detail = std::move(Detail);
  Outcome.RetryAfterMs = RetryAfterMs;
  this->finish(Item, std::move(Outcome));
}

void FleetState::send(const std::string &Peer, Message Body) {
  this->Actions.emplace_back(SendToPeer{Peer, std::move(Body)});
}

void FleetState::recordDecision(const std::string &RequestId,
                                const std::string &Server, std::string Kind,
                                std::string Reason) {
  this->Actions.emplace_back(
      RecordDecision{RequestId, Server, std::move(Kind), std::move(Reason)});
}

std::uint32_t FleetState::expectedWaitMs(const std::string &Service) {
  const Instant Now = this->now();
  const ServiceState &State = this->service(Service);
  if (State.Queue.onlineCount() == 0 &&
      this->Pool.slotsWithoutOnlineWork(Service, Now) != 0)
    return 0;
  const std::uint32_t Capacity =
      std::max(1U, this->Pool.requestCapacity(Service, Now));
  const double WaitMs =
      (State.Queue.onlineCount() + 1) * State.MeanOnlineMs / Capacity;
  return static_cast<std::uint32_t>(std::min(WaitMs, 3600000.0));
}

LoadHint FleetState::makeLoadHint(const std::string &Service) {
  const WorkQueue &Queue = this->service(Service).Queue;
  LoadHint Hint;
  Hint.Service = Service;
  Hint.FreeSlots = this->Pool.slotsWithoutOnlineWork(Service, this->now());
  Hint.QueuedOnline = Queue.onlineCount();
  Hint.QueuedBatch = Queue.batchCount();
  Hint.ExpectedWaitMs = this->expectedWaitMs(Service);
  return Hint;
}

} // namespace turmericpass
