#include "Scheduling/FleetState.h"

#include <algorithm>

namespace turmericpass {

namespace {

// Covers the loss of two servers with 32 requests each, which is the most that
// a single crashing request may cause.
constexpr double RetryBurst = 64;
// Allows occasional retries when no request succeeds and refills the budget.
constexpr double RetriesPerSecond = 0.2;

} // namespace

FleetState::FleetState(const Clock &TimeSource) : Time(TimeSource) {}

void FleetState::configure(const FleetSettings &NewSettings,
                           const std::set<std::string> &Owned) {
  this->Settings = NewSettings;
  this->Pool.configure(NewSettings, Owned);
  for (const auto &[Name, Entry] : this->Settings.Services) {
    ServiceState &State = this->service(Name);
    State.Repeatable = Entry.Repeatable;
    State.Hedge = Entry.Hedge;
    State.Hedges.setShare(this->Settings.Limits.HedgeBudget);
    State.Retries.setShare(this->Settings.Limits.RetryBudget);
    for (auto &[Customer, Budget] : State.CustomerRetries)
      Budget.setShare(this->Settings.Limits.RetryBudget);
  }
}

ServiceState &FleetState::service(const std::string &Name) {
  const auto [Place, IsNew] = this->Services.try_emplace(Name);
  ServiceState &State = Place->second;
  if (!IsNew)
    return State;
  State.Name = Name;
  const auto Entry = this->Settings.Services.find(Name);
  if (Entry != this->Settings.Services.end())
    State.IsModel = Entry->second.Kind == ServiceKind::Model;
  State.Sizes = SizeEstimator(State.IsModel);
  const LimitSettings &Limits = this->Settings.Limits;
  State.Hedges = HedgePolicy(Limits.HedgeBudget, this->now());
  State.Retries = RetryBudget(Limits.RetryBudget, RetryBurst, RetriesPerSecond,
                              this->now());
  return State;
}

WorkItem *FleetState::findRequest(const std::string &RequestId) {
  const auto Found = this->ByRequest.find(RequestId);
  return Found == this->ByRequest.end() ? nullptr
                                        : &this->Items.at(Found->second);
}

RunningAttempt *FleetState::findAttempt(SchedulerAttemptId Id) {
  const auto Found = this->Attempts.find(Id);
  return Found == this->Attempts.end() ? nullptr : &Found->second;
}

WorkItem &FleetState::add(WorkItem Item) {
  Item.Id = ++this->LastItem;
  this->ByRequest[Item.Work.RequestId] = Item.Id;
  this->Deadlines.emplace(Item.Deadline, Item.Id);
  ServiceState &State = this->service(Item.Work.Service);
  State.CustomerRetries.try_emplace(Item.Work.Customer,
                                    this->Settings.Limits.RetryBudget,
                                    RetryBurst, RetriesPerSecond, this->now());
  const ItemId Id = Item.Id;
  return this->Items.emplace(Id, std::move(Item)).first->second;
}

void FleetState::enqueue(WorkItem &Item) {
  this->service(Item.Work.Service).Queue.push(Item);
}

void FleetState::hold(WorkItem &Item) {
  ServiceState &State = this->service(Item.Work.Service);
  State.Queue.remove(Item, false);
  Item.Place = ItemPlace::Held;
  State.Held.push_back(Item.Id);
}

RunningAttempt &FleetState::start(WorkItem &Item, ServerState &Server,
                                  bool IsHedge) {
  const Instant Now = this->now();
  ServiceState &State = this->service(Item.Work.Service);
  State.Queue.remove(Item, true);
  RunningAttempt Run;
  Run.Id = ++this->LastAttempt;
  Run.Item = Item.Id;
  Run.Server = Server.Name;
  Run.Started = Now;
  Run.LastToken = Now;
  Run.PromptTokens = Item.Work.PromptTokens + Item.Work.ResumeTokenIds.size();
  Run.TokenLoad = Item.tokenLoad();
  Run.IsHedge = IsHedge;
  Run.IsProbe = Server.Health.probeDue(Now);
  if (Run.IsProbe)
    Server.Health.probed(Now);
  Item.WasStarted = true;
  Item.Attempts.push_back(Run.Id);
  Server.Attempts.push_back(Run.Id);
  Server.TokensInFlight += Run.TokenLoad;
  Server.LastStart = Now;
  if (!Item.IsBatch) {
    ++Server.RunningOnline;
    State.Reserve.onlineStarted(Now);
  }
  this->Suspects.started(Item.SuspectKey, Server.Name);
  if (!Item.Work.PrefixHashes.empty())
    this->Prefixes.expect(Server.Name, Item.Work.PrefixHashes);
  StartAttempt Order{Run.Id, Server.Name, Item.Work};
  Order.Work.RemainingMs = static_cast<std::uint64_t>(std::max<std::int64_t>(
      1, std::chrono::ceil<std::chrono::milliseconds>(Item.Deadline - Now)
             .count()));
  this->Actions.emplace_back(std::move(Order));
  RunningAttempt &Placed =
      this->Attempts.emplace(Run.Id, std::move(Run)).first->second;
  if (Item.isLong())
    this->countLong(Placed, Item);
  return Placed;
}

void FleetState::countLong(RunningAttempt &Run, const WorkItem &Item) {
  if (Run.IsLong)
    return;
  Run.IsLong = true;
  ++this->service(Item.Work.Service).LongByClass[Item.Work.Class];
  ++this->Pool.find(Run.Server)->LongByClass[Item.Work.Class];
}

void FleetState::release(SchedulerAttemptId Id) {
  const auto Found = this->Attempts.find(Id);
  const RunningAttempt &Run = Found->second;
  WorkItem &Item = this->Items.at(Run.Item);
  ServerState &Server = *this->Pool.find(Run.Server);
  std::erase(Server.Attempts, Id);
  std::erase(Item.Attempts, Id);
  Server.TokensInFlight -= Run.TokenLoad;
  if (!Item.IsBatch)
    --Server.RunningOnline;
  if (Run.IsLong) {
    --this->service(Item.Work.Service).LongByClass[Item.Work.Class];
    --Server.LongByClass[Item.Work.Class];
  }
  this->Suspects.ended(Item.SuspectKey, Server.Name);
  this->Attempts.erase(Found);
}

void FleetState::ended(SchedulerAttemptId Id) { this->release(Id); }

void FleetState::cancelAttempt(SchedulerAttemptId Id) {
  this->Items.at(this->Attempts.at(Id).Item).MaySent = true;
  this->Actions.emplace_back(CancelAttempt{Id});
  this->release(Id);
}

void FleetState::finish(WorkItem &Item, Finish Outcome, bool Tell) {
  const std::string RequestId = Item.Work.RequestId;
  const std::string Service = Item.Work.Service;
  const std::string Peer = Item.Peer;
  while (!Item.Attempts.empty())
    this->cancelAttempt(Item.Attempts.front());
  ServiceState &State = this->service(Service);
  State.Queue.remove(Item, false);
  if (Item.Place == ItemPlace::Held)
    std::erase(State.Held, Item.Id);
  this->Deadlines.erase({Item.Deadline, Item.Id});
  Outcome.RequestId = RequestId;
  Outcome.Attempt = Item.Work.Attempt;
  Outcome.TotalTokens = Item.Work.ResumeTokenIds.size();
  this->Tombstones.add(
      RequestId, {Outcome.Attempt, Outcome.Code, Outcome.Ran, {}}, this->now());
  this->ByRequest.erase(RequestId);
  this->Items.erase(Item.Id);
  if (!Tell)
    return;
  Outcome.Load = this->hintFor(Service);
  this->send(Peer, std::move(Outcome));
}

void FleetState::fail(WorkItem &Item, FinishCode Code, std::string Detail,
                      std::uint64_t RetryAfterMs) {
  Finish Outcome;
  Outcome.Code = Code;
  Outcome.Ran = Item.verdict();
  Outcome.Detail = std::move(Detail);
  Outcome.RetryAfterMs = RetryAfterMs;
  this->finish(Item, std::move(Outcome));
}

void FleetState::send(const std::string &Peer, Message Body) {
  this->Actions.emplace_back(SendToPeer{Peer, std::move(Body)});
}

void FleetState::record(const std::string &RequestId, const std::string &Server,
                        std::string What, std::string Why) {
  this->Actions.emplace_back(
      RecordDecision{RequestId, Server, std::move(What), std::move(Why)});
}

std::uint32_t FleetState::expectedWaitMs(const std::string &Service) {
  const Instant Now = this->now();
  const ServiceState &State = this->service(Service);
  if (State.Queue.online() == 0 && this->Pool.freeOfOnline(Service, Now) != 0)
    return 0;
  const std::uint32_t Capacity =
      std::max(1U, this->Pool.capacity(Service, Now));
  const double Wait =
      (State.Queue.online() + 1) * State.OnlineMillis / Capacity;
  return static_cast<std::uint32_t>(std::min(Wait, 3600000.0));
}

LoadHint FleetState::hintFor(const std::string &Service) {
  const WorkQueue &Queue = this->service(Service).Queue;
  LoadHint Hint;
  Hint.Service = Service;
  Hint.FreeSlots = this->Pool.freeOfOnline(Service, this->now());
  Hint.QueuedOnline = Queue.online();
  Hint.QueuedBatch = Queue.batch();
  Hint.ExpectedWaitMs = this->expectedWaitMs(Service);
  return Hint;
}

} // namespace turmericpass
