#include "Scheduling/FleetScheduler.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

namespace {

constexpr std::uint64_t DefaultRetryAfterMs = 1000;
constexpr std::uint64_t MinRetryAfterMs = 100;
constexpr std::uint64_t MaxRetryAfterMs = 30000;
// A report that arrives within this time after the loss of a server may have
// been sent before it.
constexpr std::chrono::milliseconds ReportDelayMargin{50};

Finish makeRefusal(FinishCode Code, std::string Detail,
                   std::uint64_t RetryAfterMs = 0) {
  Finish Outcome;
  Outcome.Code = Code;
  Outcome.Ran = Execution::NotRun;
  Outcome.Detail = std::move(Detail);
  Outcome.RetryAfterMs = RetryAfterMs;
  return Outcome;
}

} // namespace

FleetScheduler::FleetScheduler(const Clock &TimeSource,
                               [[maybe_unused]] IdSource &IdMaker)
    : Fleet(TimeSource), Assigner(Fleet), Forwarder(Fleet), Failures(Fleet),
      Monitor(Fleet, Assigner), StartTime(TimeSource.now()) {}

void FleetScheduler::configure(const FleetSettings &Settings,
                               const std::set<std::string> &OwnedServers) {
  this->Fleet.configure(Settings, OwnedServers);
  this->dispatchAll();
}

void FleetScheduler::setLeavingServers(const std::set<std::string> &Servers) {
  this->Fleet.Pool.setLeavingServers(Servers);
  this->dispatchAll();
}

void FleetScheduler::addQuarantinedFingerprints(
    const std::set<std::string> &Fingerprints) {
  for (const std::string &Fingerprint : Fingerprints) {
    if (this->Fleet.Suspects.isQuarantined(Fingerprint))
      continue;
    this->Fleet.Suspects.add(Fingerprint);
    this->Failures.endQuarantinedItems(Fingerprint);
  }
}

FleetScheduler::SubmissionKind
FleetScheduler::classifySubmission(const std::string &Peer,
                                   const Submit &Work) {
  if (WorkItem *Item = this->Fleet.findRequest(Work.RequestId)) {
    if (Work.Attempt < Item->Work.Attempt)
      return SubmissionKind::Stale;
    if (Work.Attempt == Item->Work.Attempt)
      return Item->Peer == Peer ? SubmissionKind::Duplicate
                                : SubmissionKind::Stale;
    if (!Item->Repeatable && Item->executionStatus() != Execution::NotRun)
      return SubmissionKind::NotRepeatable;
    this->Fleet.fail(*Item, FinishCode::Cancelled,
                     "A newer submission of the request replaced this one.");
    return SubmissionKind::New;
  }
  const Tombstone *EndedRequest = this->Fleet.Tombstones.find(Work.RequestId);
  if (EndedRequest == nullptr)
    return SubmissionKind::New;
  if (Work.Attempt <= EndedRequest->Attempt)
    return SubmissionKind::Stale;
  const bool MustRunOnce =
      !Work.Repeatable || !this->Fleet.service(Work.Service).Repeatable;
  return MustRunOnce && EndedRequest->Ran != Execution::NotRun
             ? SubmissionKind::NotRepeatable
             : SubmissionKind::New;
}

Finish FleetScheduler::findRefusal(const Submit &Work) {
  const auto Class = this->Fleet.Settings.Classes.find(Work.Class);
  if (Class == this->Fleet.Settings.Classes.end())
    return makeRefusal(FinishCode::InvalidRequest,
                       "The settings have no class '" + Work.Class + "'.");
  if (!Work.Fingerprint.empty() &&
      this->Fleet.Suspects.isQuarantined(Work.Fingerprint))
    return makeRefusal(
        FinishCode::Quarantined,
        "Equal requests made backend servers fail, so this one is "
        "not run.");
  if (!this->Fleet.Pool.hasUsableServer(Work.Service))
    return makeRefusal(FinishCode::NoServer,
                       "No server of '" + Work.Service + "' can be used here.",
                       DefaultRetryAfterMs);
  if (this->IsDraining)
    return makeRefusal(FinishCode::Overloaded,
                       "This dispatcher is shutting down.",
                       DefaultRetryAfterMs);
  if (Work.RemainingMs == 0)
    return makeRefusal(FinishCode::DeadlineExceeded,
                       "The deadline passed before the request was queued.");
  const WorkQueue &Queue = this->Fleet.service(Work.Service).Queue;
  const bool IsBatch = Class->second.Kind == ClassKind::Batch;
  const std::uint64_t WaitMs = this->Fleet.expectedWaitMs(Work.Service);
  const std::uint64_t RetryAfterMs =
      std::clamp(WaitMs, MinRetryAfterMs, MaxRetryAfterMs);
  if ((IsBatch ? Queue.batchCount() : Queue.onlineCount()) >=
      this->Fleet.Settings.Limits.QueuePerService)
    return makeRefusal(FinishCode::Overloaded,
                       "The queue of the service is full.", RetryAfterMs);
  if (!IsBatch && WaitMs > Work.RemainingMs)
    return makeRefusal(FinishCode::Overloaded,
                       "The request would wait beyond its deadline.",
                       RetryAfterMs);
  return Finish{};
}

void FleetScheduler::refuse(const std::string &Peer, const Submit &Work,
                            Finish Outcome) {
  Outcome.RequestId = Work.RequestId;
  Outcome.Attempt = Work.Attempt;
  Outcome.Load = this->Fleet.makeLoadHint(Work.Service);
  this->Fleet.recordDecision(Work.RequestId, "", "refused", Outcome.Detail);
  this->Fleet.send(Peer, std::move(Outcome));
}

WorkItem FleetScheduler::makeItem(const std::string &Peer, Submit Work) {
  const ClassSettings &Class = this->Fleet.Settings.Classes.at(Work.Class);
  const ServiceState &State = this->Fleet.service(Work.Service);
  WorkItem Item;
  Item.Peer = Peer;
  Item.IsModel = State.IsModel;
  Item.IsBatch = Class.Kind == ClassKind::Batch;
  Item.Repeatable = Work.Repeatable && State.Repeatable;
  Item.MayHedge = State.MayHedge;
  Item.Rank = Class.Rank;
  Item.LongShare = Class.LongShare;
  Item.SuspectKey = Quarantine::keyFor(Work.Fingerprint, Work.RequestId);
  Item.ArrivalTime = this->Fleet.now();
  Item.Deadline =
      Item.ArrivalTime + std::chrono::milliseconds(Work.RemainingMs);
  Item.ExpectedAnswerTokens =
      State.IsModel ? State.Sizes.expectedSize(Work) : 0;
  Item.Cost = State.Sizes.estimateCost(Work);
  Item.Level =
      State.Sizes.levelFor(Item.IsBatch, State.Sizes.expectedSize(Work));
  Item.LevelBound = State.Sizes.levelBound(Item.IsBatch, Item.Level);
  // Tokens from an earlier dispatcher show that the request ran.
  Item.HasAnswerStarted = !Work.ResumeTokenIds.empty();
  Item.Work = std::move(Work);
  return Item;
}

void FleetScheduler::accept(const WorkItem &Item) {
  this->Fleet.send(Item.Peer,
                   Accepted{Item.Work.RequestId, Item.Work.Attempt,
                            this->Fleet.makeLoadHint(Item.Work.Service)});
}

void FleetScheduler::submit(const std::string &Peer, Submit Work) {
  switch (this->classifySubmission(Peer, Work)) {
  case SubmissionKind::Stale:
    return;
  case SubmissionKind::Duplicate:
    this->accept(*this->Fleet.findRequest(Work.RequestId));
    return;
  case SubmissionKind::NotRepeatable: {
    Finish Outcome = makeRefusal(
        FinishCode::ServerLost, "The request may have run already and must not "
                                "run twice.");
    Outcome.Ran = Execution::Unknown;
    this->refuse(Peer, Work, std::move(Outcome));
    return;
  }
  case SubmissionKind::New:
    break;
  }
  Finish Refusal = this->findRefusal(Work);
  if (!Refusal.Detail.empty()) {
    this->refuse(Peer, Work, std::move(Refusal));
    return;
  }
  const std::string Service = Work.Service;
  WorkItem &Item = this->Fleet.addItem(this->makeItem(Peer, std::move(Work)));
  this->Fleet.enqueue(Item);
  this->accept(Item);
  this->Assigner.dispatch(Service);
}

void FleetScheduler::cancel(const std::string &Peer,
                            const Cancel &Cancellation) {
  WorkItem *Item = this->Fleet.findRequest(Cancellation.RequestId);
  if (Item == nullptr || Item->Work.Attempt != Cancellation.Attempt) {
    this->cancelUnknownRequest(Peer, Cancellation);
    return;
  }
  const std::string Service = Item->Work.Service;
  this->Fleet.fail(*Item, FinishCode::Cancelled, "The request was cancelled.");
  this->Assigner.dispatch(Service);
}

void FleetScheduler::cancelUnknownRequest(const std::string &Peer,
                                          const Cancel &Cancellation) {
  const Instant Now = this->Fleet.now();
  Finish Outcome;
  Outcome.RequestId = Cancellation.RequestId;
  Outcome.Attempt = Cancellation.Attempt;
  Outcome.Code = FinishCode::Cancelled;
  Outcome.Detail = "The request is not under way here.";
  const Tombstone *EndedRequest =
      this->Fleet.Tombstones.find(Cancellation.RequestId);
  const WorkItem *NewerItem = this->Fleet.findRequest(Cancellation.RequestId);
  if (EndedRequest != nullptr &&
      EndedRequest->Attempt >= Cancellation.Attempt) {
    Outcome.Code = EndedRequest->Code;
    Outcome.Ran = EndedRequest->Ran;
  } else if (NewerItem == nullptr) {
    // This process may have run the request before a recent restart.
    Outcome.Ran = Now - this->StartTime > TombstoneTable::Lifetime
                      ? Execution::NotRun
                      : Execution::Unknown;
    this->Fleet.Tombstones.add(
        Cancellation.RequestId,
        {Cancellation.Attempt, Outcome.Code, Outcome.Ran, {}}, Now);
  }
  this->Fleet.send(Peer, std::move(Outcome));
}

void FleetScheduler::handlePeerLoss(const std::string &Peer) {
  std::vector<ItemId> Lost;
  for (const auto &[Id, Item] : this->Fleet.Items)
    if (Item.Peer == Peer)
      Lost.push_back(Id);
  for (const ItemId Id : Lost) {
    WorkItem &Item = this->Fleet.Items.at(Id);
    Finish Outcome;
    Outcome.Code = FinishCode::Cancelled;
    Outcome.Ran = Item.executionStatus();
    this->Fleet.finish(Item, std::move(Outcome), false);
  }
  this->dispatchAll();
}

void FleetScheduler::handleAttemptTokens(SchedulerAttemptId Id,
                                         TokenBatch Tokens) {
  this->Forwarder.forwardTokens(Id, std::move(Tokens));
}

void FleetScheduler::handleAttemptReply(SchedulerAttemptId Id,
                                        BackendReply Reply) {
  const RunningAttempt *Attempt = this->Fleet.findAttempt(Id);
  if (Attempt == nullptr)
    return;
  const std::string Service = this->Fleet.Items.at(Attempt->Item).Work.Service;
  this->Forwarder.forwardReply(Id, std::move(Reply));
  this->Assigner.dispatch(Service);
}

void FleetScheduler::handleAttemptFailure(SchedulerAttemptId Id,
                                          const Error &Reason,
                                          AttemptProgress Progress) {
  const RunningAttempt *Attempt = this->Fleet.findAttempt(Id);
  if (Attempt == nullptr)
    return;
  const std::string Service = this->Fleet.Items.at(Attempt->Item).Work.Service;
  this->Failures.handleAttemptFailure(Id, Reason, Progress);
  this->Assigner.releaseHeldItems(Service);
  this->Assigner.dispatch(Service);
}

void FleetScheduler::handleLoadReport(const std::string &Server,
                                      const LoadReport &Report) {
  ServerState *State = this->Fleet.Pool.find(Server);
  if (State == nullptr)
    return;
  const Instant Now = this->Fleet.now();
  State->Window.handleLoadReport(Report.KvCacheUsage,
                                 std::chrono::milliseconds(Report.AgeMs),
                                 State->TokensInFlight, Now);
  this->Failures.retractRecentLoss(*State);
  // The contents of a report may be old, but its arrival shows that the server
  // answers now.
  if (State->Health.state() == HealthState::Down &&
      Now - State->Health.stateSince() > ReportDelayMargin)
    State->Health.startRecovery(Now);
}

void FleetScheduler::handleCacheEvents(const std::string &Server,
                                       const std::vector<CacheEvent> &Events) {
  if (this->Fleet.Pool.find(Server) != nullptr)
    this->Fleet.Prefixes.applyEvents(Server, Events);
}

void FleetScheduler::endExpiredItems() {
  const Instant Now = this->Fleet.now();
  auto &Deadlines = this->Fleet.Deadlines;
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now)
    this->Fleet.fail(this->Fleet.Items.at(Deadlines.begin()->second),
                     FinishCode::DeadlineExceeded,
                     "The deadline passed before the answer was complete.");
}

void FleetScheduler::endUnservableItems() {
  std::vector<ItemId> EndedIds;
  for (const auto &[Id, Item] : this->Fleet.Items)
    if (Item.Attempts.empty() &&
        !this->Fleet.Pool.hasUsableServer(Item.Work.Service))
      EndedIds.push_back(Id);
  for (const ItemId Id : EndedIds)
    this->Fleet.fail(this->Fleet.Items.at(Id), FinishCode::NoServer,
                     "No server of the service can be used here any more.",
                     DefaultRetryAfterMs);
}

void FleetScheduler::dispatchAll() {
  for (const auto &[Name, Entry] : this->Fleet.Settings.Services) {
    const ServiceState &State = this->Fleet.service(Name);
    const bool HasWaitingItems =
        State.Queue.onlineCount() + State.Queue.batchCount() != 0 ||
        !State.HeldItems.empty();
    if (HasWaitingItems && !this->Fleet.Pool.hasUsableServer(Name))
      this->endUnservableItems();
    this->Assigner.releaseHeldItems(Name);
    this->Assigner.dispatch(Name);
  }
}

void FleetScheduler::tick() {
  const Instant Now = this->Fleet.now();
  this->endExpiredItems();
  this->Fleet.Tombstones.expire(Now);
  this->Fleet.Suspects.expireSuspects(Now);
  if (!this->Monitor.checkIfDue())
    return;
  this->dispatchAll();
}

void FleetScheduler::drain() { this->IsDraining = true; }

bool FleetScheduler::isIdle() const { return this->Fleet.Items.empty(); }

std::vector<SchedulerAction> FleetScheduler::takeActions() {
  return std::exchange(this->Fleet.Actions, {});
}

} // namespace turmericpass
