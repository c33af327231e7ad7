#include "Scheduling/FleetScheduler.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

namespace {

constexpr std::uint64_t DefaultRetryAfterMs = 1000;
constexpr std::uint64_t LeastRetryAfterMs = 100;
constexpr std::uint64_t LargestRetryAfterMs = 30000;
// A report of the server's state after its loss, not from just before it.
constexpr std::chrono::milliseconds ReportMargin{50};

Finish refusal(FinishCode Code, std::string Detail,
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
    : Fleet(TimeSource), Work(Fleet), Answers(Fleet), Failures(Fleet),
      Watch(Fleet, Work), Begun(TimeSource.now()) {}

void FleetScheduler::configure(const FleetSettings &Settings,
                               const std::set<std::string> &Owned) {
  this->Fleet.configure(Settings, Owned);
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
    this->Failures.endQuarantined(Fingerprint);
  }
}

FleetScheduler::Standing FleetScheduler::standingOf(const std::string &Peer,
                                                    const Submit &Work) {
  if (WorkItem *Item = this->Fleet.findRequest(Work.RequestId)) {
    if (Work.Attempt < Item->Work.Attempt)
      return Standing::Stale;
    if (Work.Attempt == Item->Work.Attempt)
      return Item->Peer == Peer ? Standing::Repeated : Standing::Stale;
    if (!Item->Repeatable && Item->verdict() != Execution::NotRun)
      return Standing::Forbidden;
    this->Fleet.fail(*Item, FinishCode::Cancelled,
                     "A newer submission of the request replaced this one.");
    return Standing::New;
  }
  const Tombstone *Ended = this->Fleet.Tombstones.find(Work.RequestId);
  if (Ended == nullptr)
    return Standing::New;
  if (Work.Attempt <= Ended->Attempt)
    return Standing::Stale;
  const bool Once =
      !Work.Repeatable || !this->Fleet.service(Work.Service).Repeatable;
  return Once && Ended->Ran != Execution::NotRun ? Standing::Forbidden
                                                 : Standing::New;
}

Finish FleetScheduler::refusalOf(const Submit &Work) {
  const auto Class = this->Fleet.Settings.Classes.find(Work.Class);
  if (Class == this->Fleet.Settings.Classes.end())
    return refusal(FinishCode::InvalidRequest,
                   "The settings have no class '" + Work.Class + "'.");
  if (!Work.Fingerprint.empty() &&
      this->Fleet.Suspects.isQuarantined(Work.Fingerprint))
    return refusal(FinishCode::Quarantined,
                   "Equal requests made backend servers fail, so this one is "
                   "not run.");
  if (!this->Fleet.Pool.serves(Work.Service))
    return refusal(FinishCode::NoServer,
                   "No server of '" + Work.Service + "' can be used here.",
                   DefaultRetryAfterMs);
  if (this->Draining)
    return refusal(FinishCode::Overloaded, "This dispatcher is shutting down.",
                   DefaultRetryAfterMs);
  if (Work.RemainingMs == 0)
    return refusal(FinishCode::DeadlineExceeded,
                   "The deadline passed before the request was queued.");
  const WorkQueue &Queue = this->Fleet.service(Work.Service).Queue;
  const bool IsBatch = Class->second.Kind == ClassKind::Batch;
  const std::uint64_t Wait = this->Fleet.expectedWaitMs(Work.Service);
  const std::uint64_t RetryAfter =
      std::clamp(Wait, LeastRetryAfterMs, LargestRetryAfterMs);
  if ((IsBatch ? Queue.batch() : Queue.online()) >=
      this->Fleet.Settings.Limits.QueuePerService)
    return refusal(FinishCode::Overloaded, "The queue of the service is full.",
                   RetryAfter);
  if (!IsBatch && Wait > Work.RemainingMs)
    return refusal(FinishCode::Overloaded,
                   "The request would wait beyond its deadline.", RetryAfter);
  return Finish{};
}

void FleetScheduler::refuse(const std::string &Peer, const Submit &Work,
                            Finish Outcome) {
  Outcome.RequestId = Work.RequestId;
  Outcome.Attempt = Work.Attempt;
  Outcome.Load = this->Fleet.hintFor(Work.Service);
  this->Fleet.record(Work.RequestId, "", "refused", Outcome.Detail);
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
  Item.MayHedge = State.Hedge;
  Item.Rank = Class.Rank;
  Item.LongShare = Class.LongShare;
  Item.SuspectKey = Quarantine::keyFor(Work.Fingerprint, Work.RequestId);
  Item.Arrived = this->Fleet.now();
  Item.Deadline = Item.Arrived + std::chrono::milliseconds(Work.RemainingMs);
  Item.AnswerTokens = State.IsModel ? State.Sizes.expect(Work) : 0;
  Item.Cost = State.Sizes.cost(Work);
  Item.Level = State.Sizes.levelOf(Item.IsBatch, State.Sizes.expect(Work));
  Item.LevelBound = State.Sizes.bound(Item.IsBatch, Item.Level);
  // Tokens from an earlier dispatcher show that the request ran.
  Item.Answered = !Work.ResumeTokenIds.empty();
  Item.Work = std::move(Work);
  return Item;
}

void FleetScheduler::accept(const WorkItem &Item) {
  this->Fleet.send(Item.Peer, Accepted{Item.Work.RequestId, Item.Work.Attempt,
                                       this->Fleet.hintFor(Item.Work.Service)});
}

void FleetScheduler::submit(const std::string &Peer, Submit Work) {
  switch (this->standingOf(Peer, Work)) {
  case Standing::Stale:
    return;
  case Standing::Repeated:
    this->accept(*this->Fleet.findRequest(Work.RequestId));
    return;
  case Standing::Forbidden: {
    Finish Outcome = refusal(FinishCode::ServerLost,
                             "The request may have run already and must not "
                             "run twice.");
    Outcome.Ran = Execution::Unknown;
    this->refuse(Peer, Work, std::move(Outcome));
    return;
  }
  case Standing::New:
    break;
  }
  Finish Refusal = this->refusalOf(Work);
  if (!Refusal.Detail.empty()) {
    this->refuse(Peer, Work, std::move(Refusal));
    return;
  }
  const std::string Service = Work.Service;
  WorkItem &Item = this->Fleet.add(this->makeItem(Peer, std::move(Work)));
  this->Fleet.enqueue(Item);
  this->accept(Item);
  this->Work.dispatch(Service);
}

void FleetScheduler::cancel(const std::string &Peer, const Cancel &Withdrawn) {
  WorkItem *Item = this->Fleet.findRequest(Withdrawn.RequestId);
  if (Item == nullptr || Item->Work.Attempt != Withdrawn.Attempt) {
    this->cancelUnknown(Peer, Withdrawn);
    return;
  }
  const std::string Service = Item->Work.Service;
  this->Fleet.fail(*Item, FinishCode::Cancelled, "The request was cancelled.");
  this->Work.dispatch(Service);
}

void FleetScheduler::cancelUnknown(const std::string &Peer,
                                   const Cancel &Withdrawn) {
  const Instant Now = this->Fleet.now();
  Finish Outcome;
  Outcome.RequestId = Withdrawn.RequestId;
  Outcome.Attempt = Withdrawn.Attempt;
  Outcome.Code = FinishCode::Cancelled;
  Outcome.Detail = "The request is not under way here.";
  const Tombstone *Ended = this->Fleet.Tombstones.find(Withdrawn.RequestId);
  const WorkItem *Newer = this->Fleet.findRequest(Withdrawn.RequestId);
  if (Ended != nullptr && Ended->Attempt >= Withdrawn.Attempt) {
    Outcome.Code = Ended->Code;
    Outcome.Ran = Ended->Ran;
  } else if (Newer == nullptr) {
    // A process that just started may have run it before its restart.
    Outcome.Ran = Now - this->Begun > TombstoneTable::Life ? Execution::NotRun
                                                           : Execution::Unknown;
    this->Fleet.Tombstones.add(
        Withdrawn.RequestId, {Withdrawn.Attempt, Outcome.Code, Outcome.Ran, {}},
        Now);
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
    Outcome.Ran = Item.verdict();
    this->Fleet.finish(Item, std::move(Outcome), false);
  }
  this->dispatchAll();
}

void FleetScheduler::handleAttemptTokens(SchedulerAttemptId Id,
                                         TokenBatch Tokens) {
  this->Answers.tokens(Id, std::move(Tokens));
}

void FleetScheduler::handleAttemptReply(SchedulerAttemptId Id,
                                        BackendReply Reply) {
  const RunningAttempt *Run = this->Fleet.findAttempt(Id);
  if (Run == nullptr)
    return;
  const std::string Service = this->Fleet.Items.at(Run->Item).Work.Service;
  this->Answers.done(Id, std::move(Reply));
  this->Work.dispatch(Service);
}

void FleetScheduler::handleAttemptFailure(SchedulerAttemptId Id,
                                          const Error &Reason,
                                          AttemptProgress Progress) {
  const RunningAttempt *Run = this->Fleet.findAttempt(Id);
  if (Run == nullptr)
    return;
  const std::string Service = this->Fleet.Items.at(Run->Item).Work.Service;
  this->Failures.handleAttemptFailure(Id, Reason, Progress);
  this->Work.releaseHeld(Service);
  this->Work.dispatch(Service);
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
  this->Failures.stillAnswers(*State);
  // What it says may be old, but that it answers is new.
  if (State->Health.state() == HealthState::Down &&
      Now - State->Health.since() > ReportMargin)
    State->Health.startReturn(Now);
}

void FleetScheduler::handleCacheEvents(const std::string &Server,
                                       const std::vector<CacheEvent> &Events) {
  if (this->Fleet.Pool.find(Server) != nullptr)
    this->Fleet.Prefixes.apply(Server, Events);
}

void FleetScheduler::endDeadlines() {
  const Instant Now = this->Fleet.now();
  auto &Deadlines = this->Fleet.Deadlines;
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now)
    this->Fleet.fail(this->Fleet.Items.at(Deadlines.begin()->second),
                     FinishCode::DeadlineExceeded,
                     "The deadline passed before the answer was complete.");
}

void FleetScheduler::endUnservable() {
  std::vector<ItemId> Ended;
  for (const auto &[Id, Item] : this->Fleet.Items)
    if (Item.Attempts.empty() && !this->Fleet.Pool.serves(Item.Work.Service))
      Ended.push_back(Id);
  for (const ItemId Id : Ended)
    this->Fleet.fail(this->Fleet.Items.at(Id), FinishCode::NoServer,
                     "No server of the service can be used here any more.",
                     DefaultRetryAfterMs);
}

void FleetScheduler::dispatchAll() {
  for (const auto &[Name, Entry] : this->Fleet.Settings.Services) {
    const ServiceState &State = this->Fleet.service(Name);
    const bool Waits =
        State.Queue.online() + State.Queue.batch() != 0 || !State.Held.empty();
    if (Waits && !this->Fleet.Pool.serves(Name))
      this->endUnservable();
    this->Work.releaseHeld(Name);
    this->Work.dispatch(Name);
  }
}

void FleetScheduler::tick() {
  const Instant Now = this->Fleet.now();
  this->endDeadlines();
  this->Fleet.Tombstones.expire(Now);
  this->Fleet.Suspects.expire(Now);
  if (!this->Watch.run())
    return;
  this->dispatchAll();
}

void FleetScheduler::drain() { this->Draining = true; }

bool FleetScheduler::isIdle() const { return this->Fleet.Items.empty(); }

std::vector<SchedulerAction> FleetScheduler::takeActions() {
  return std::exchange(this->Fleet.Actions, {});
}

} // namespace turmericpass
