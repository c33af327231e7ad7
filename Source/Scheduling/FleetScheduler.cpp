#include "Scheduling/FleetScheduler.h"

#include "Core/IdSource.h"

#include <algorithm>

namespace turmericpass {

namespace {

// Longer than any message can be under way between two processes.
constexpr std::chrono::seconds TombstoneLife{120};
constexpr std::uint64_t DefaultRetryAfterMs = 1000;

} // namespace

FleetScheduler::FleetScheduler(const Clock &TimeSource, IdSource &IdMaker)
    : Time(TimeSource), Ids(IdMaker) {}

void FleetScheduler::configure(const FleetSettings &NewSettings,
                               const std::set<std::string> &Owned) {
  this->Settings = NewSettings;
  this->Pool.configure(NewSettings, Owned);
  for (const auto &[Name, Service] : this->Settings.Services)
    this->dispatch(Name);
}

void FleetScheduler::setLeaving(const std::set<std::string> &Servers) {
  this->Pool.setLeaving(Servers);
}

void FleetScheduler::setQuarantined(const std::set<std::string> &Fingerprints) {
  this->Quarantined.insert(Fingerprints.begin(), Fingerprints.end());
}

bool FleetScheduler::admit(const std::string &Peer, const Submit &Work) {
  const auto Class = this->Settings.Classes.find(Work.Class);
  if (Class == this->Settings.Classes.end()) {
    this->refuse(Peer, Work, FinishCode::InvalidRequest,
                 "The settings have no class '" + Work.Class + "'.");
    return false;
  }
  if (this->Quarantined.count(Work.Fingerprint) != 0) {
    this->refuse(Peer, Work, FinishCode::Quarantined,
                 "Equal requests made backend servers fail.");
    return false;
  }
  if (!this->Pool.serves(Work.Service)) {
    this->refuse(Peer, Work, FinishCode::NoServer,
                 "No server of '" + Work.Service + "' can be used here.");
    return false;
  }
  const WorkQueue &Queue = this->Queues[Work.Service];
  const bool IsBatch = Class->second.Kind == ClassKind::Batch;
  const std::uint32_t Queued = IsBatch ? Queue.batch() : Queue.online();
  if (this->Draining || Queued >= this->Settings.Limits.QueuePerService) {
    this->refuse(Peer, Work, FinishCode::Overloaded,
                 this->Draining ? "This dispatcher is shutting down."
                                : "The queue of the service is full.");
    return false;
  }
  if (Work.RemainingMs == 0) {
    this->refuse(Peer, Work, FinishCode::DeadlineExceeded,
                 "The deadline passed before the request was queued.");
    return false;
  }
  return true;
}

void FleetScheduler::submit(const std::string &Peer, Submit Work) {
  if (this->Items.count(Work.RequestId) != 0 ||
      this->Ended.count(Work.RequestId) != 0)
    return;
  if (!this->admit(Peer, Work))
    return;
  const ClassSettings &Class = this->Settings.Classes.at(Work.Class);
  const auto Service = this->Settings.Services.find(Work.Service);
  WorkItem Item;
  Item.Peer = Peer;
  Item.Sequence = ++this->LastSequence;
  Item.IsModel = Service == this->Settings.Services.end() ||
                 Service->second.Kind == ServiceKind::Model;
  Item.IsBatch = Class.Kind == ClassKind::Batch;
  Item.Rank = Class.Rank;
  Item.Arrived = this->Time.now();
  Item.Deadline = Item.Arrived + std::chrono::milliseconds(Work.RemainingMs);
  Item.Work = std::move(Work);
  const std::string Id = Item.Work.RequestId;
  const std::string ServiceName = Item.Work.Service;
  const std::uint32_t Attempt = Item.Work.Attempt;
  this->Deadlines.emplace(Item.Deadline, Id);
  this->Queues[ServiceName].push(Item);
  this->Items.emplace(Id, std::move(Item));
  this->Actions.emplace_back(
      SendToPeer{Peer, Accepted{Id, Attempt, this->hintFor(ServiceName)}});
  this->dispatch(ServiceName);
}

void FleetScheduler::cancel(const std::string &Peer, const Cancel &Withdrawn) {
  const auto Found = this->Items.find(Withdrawn.RequestId);
  if (Found != this->Items.end()) {
    Finish Outcome;
    Outcome.Code = FinishCode::Cancelled;
    Outcome.Ran = Found->second.Ran;
    Outcome.Detail = "The request was cancelled.";
    this->finish(Found->second, std::move(Outcome));
    return;
  }
  const bool Ended = this->Ended.count(Withdrawn.RequestId) != 0;
  this->Ended[Withdrawn.RequestId] = this->Time.now() + TombstoneLife;
  Finish Outcome;
  Outcome.RequestId = Withdrawn.RequestId;
  Outcome.Attempt = Withdrawn.Attempt;
  Outcome.Code = FinishCode::Cancelled;
  Outcome.Ran = Ended ? Execution::Unknown : Execution::NotRun;
  this->Actions.emplace_back(SendToPeer{Peer, std::move(Outcome)});
}

void FleetScheduler::peerLost(const std::string &Peer) {
  std::vector<std::string> Lost;
  for (const auto &[Id, Item] : this->Items)
    if (Item.Peer == Peer)
      Lost.push_back(Id);
  for (const std::string &Id : Lost)
    this->finish(this->Items.at(Id), Finish{}, false);
}

void FleetScheduler::attemptTokens(SchedulerAttemptId Id, TokenBatch Tokens) {
  const auto Found = this->Attempts.find(Id);
  if (Found == this->Attempts.end() || Tokens.Ids.empty())
    return;
  WorkItem &Item = this->Items.at(Found->second.RequestId);
  Item.Ran = Execution::Ran;
  std::vector<std::uint32_t> &Known = Item.Work.ResumeTokenIds;
  Chunk Piece{Item.Work.RequestId, Item.Work.Attempt, Known.size(), Tokens.Ids,
              std::move(Tokens.Texts)};
  Known.insert(Known.end(), Tokens.Ids.begin(), Tokens.Ids.end());
  this->Actions.emplace_back(SendToPeer{Item.Peer, std::move(Piece)});
}

void FleetScheduler::attemptDone(SchedulerAttemptId Id, BackendReply Reply) {
  const auto Found = this->Attempts.find(Id);
  if (Found == this->Attempts.end())
    return;
  WorkItem &Item = this->Items.at(Found->second.RequestId);
  this->endAttempt(Id);
  Finish Outcome;
  Outcome.Code = Reply.Status >= 500 ? FinishCode::ServerError : FinishCode::Ok;
  Outcome.Ran = Execution::Ran;
  Outcome.Status = static_cast<std::uint32_t>(Reply.Status);
  Outcome.ContentType = std::move(Reply.ContentType);
  Outcome.Body = std::move(Reply.Body);
  Outcome.Reason = std::move(Reply.Reason);
  this->finish(Item, std::move(Outcome));
}

void FleetScheduler::attemptFailed(SchedulerAttemptId Id, const Error &Reason,
                                   AttemptProgress Progress) {
  const auto Found = this->Attempts.find(Id);
  if (Found == this->Attempts.end())
    return;
  WorkItem &Item = this->Items.at(Found->second.RequestId);
  this->endAttempt(Id);
  if (Progress == AttemptProgress::Admitted)
    Item.Ran = Execution::Ran;
  if (Progress == AttemptProgress::NotSent && Item.Attempts.empty() &&
      Item.Work.ResumeTokenIds.empty())
    Item.Ran = Execution::NotRun;
  Finish Outcome;
  Outcome.Code = Progress == AttemptProgress::NotSent ? FinishCode::Overloaded
                                                      : FinishCode::ServerLost;
  Outcome.Ran = Item.Ran;
  Outcome.Detail = Reason.Message;
  this->finish(Item, std::move(Outcome));
}

void FleetScheduler::loadReported(const std::string &, const LoadReport &) {}

void FleetScheduler::cacheChanged(const std::string &,
                                  const std::vector<CacheEvent> &) {}

void FleetScheduler::tick() {
  const Instant Now = this->Time.now();
  while (!this->Deadlines.empty() && this->Deadlines.begin()->first <= Now) {
    WorkItem &Item = this->Items.at(this->Deadlines.begin()->second);
    Finish Outcome;
    Outcome.Code = FinishCode::DeadlineExceeded;
    Outcome.Ran = Item.Ran;
    Outcome.Detail = "The deadline passed before the answer was complete.";
    this->finish(Item, std::move(Outcome));
  }
  std::erase_if(this->Ended,
                [Now](const auto &Entry) { return Entry.second <= Now; });
}

void FleetScheduler::drain() { this->Draining = true; }

bool FleetScheduler::isIdle() const { return this->Items.empty(); }

std::vector<SchedulerAction> FleetScheduler::takeActions() {
  return std::exchange(this->Actions, {});
}

void FleetScheduler::refuse(const std::string &Peer, const Submit &Work,
                            FinishCode Code, const std::string &Detail) {
  Finish Outcome;
  Outcome.RequestId = Work.RequestId;
  Outcome.Attempt = Work.Attempt;
  Outcome.Code = Code;
  Outcome.Ran = Execution::NotRun;
  Outcome.Detail = Detail;
  if (Code == FinishCode::Overloaded || Code == FinishCode::NoServer)
    Outcome.RetryAfterMs = DefaultRetryAfterMs;
  Outcome.Load = this->hintFor(Work.Service);
  this->Actions.emplace_back(SendToPeer{Peer, std::move(Outcome)});
}

void FleetScheduler::dispatch(const std::string &Service) {
  const auto Queue = this->Queues.find(Service);
  if (Queue == this->Queues.end())
    return;
  while (!Queue->second.empty()) {
    ServerState *Server = this->Pool.mostFree(Service);
    if (Server == nullptr)
      return;
    WorkItem &Item = this->Items.at(Queue->second.front());
    Queue->second.remove(Item);
    this->start(Item, *Server);
  }
}

void FleetScheduler::start(WorkItem &Item, ServerState &Server) {
  const Instant Now = this->Time.now();
  const SchedulerAttemptId Id = ++this->LastAttempt;
  this->Attempts.emplace(
      Id, RunningAttempt{Id, Item.Work.RequestId, Server.Name, Now});
  Item.Attempts.push_back(Id);
  if (Item.Ran == Execution::NotRun)
    Item.Ran = Execution::Unknown;
  ++Server.Running;
  if (!Item.IsBatch)
    ++Server.RunningOnline;
  StartAttempt Order{Id, Server.Name, Item.Work};
  Order.Work.RemainingMs = static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(Item.Deadline - Now)
          .count());
  this->Actions.emplace_back(std::move(Order));
}

void FleetScheduler::endAttempt(SchedulerAttemptId Id) {
  const auto Found = this->Attempts.find(Id);
  WorkItem &Item = this->Items.at(Found->second.RequestId);
  if (ServerState *Server = this->Pool.find(Found->second.Server)) {
    --Server->Running;
    if (!Item.IsBatch)
      --Server->RunningOnline;
  }
  std::erase(Item.Attempts, Id);
  this->Attempts.erase(Found);
}

void FleetScheduler::finish(WorkItem &Item, Finish Outcome, bool Tell) {
  const std::string Id = Item.Work.RequestId;
  const std::string Service = Item.Work.Service;
  while (!Item.Attempts.empty()) {
    this->Actions.emplace_back(CancelAttempt{Item.Attempts.front()});
    this->endAttempt(Item.Attempts.front());
  }
  this->Queues[Service].remove(Item);
  this->Deadlines.erase({Item.Deadline, Id});
  this->Ended[Id] = this->Time.now() + TombstoneLife;
  Outcome.RequestId = Id;
  Outcome.Attempt = Item.Work.Attempt;
  Outcome.TotalTokens = Item.Work.ResumeTokenIds.size();
  const std::string Peer = Item.Peer;
  this->Items.erase(Id);
  if (Tell) {
    Outcome.Load = this->hintFor(Service);
    this->Actions.emplace_back(SendToPeer{Peer, std::move(Outcome)});
  }
  this->dispatch(Service);
}

LoadHint FleetScheduler::hintFor(const std::string &Service) {
  LoadHint Hint;
  Hint.Service = Service;
  Hint.FreeSlots = this->Pool.freeOfOnline(Service);
  const auto Queue = this->Queues.find(Service);
  if (Queue != this->Queues.end()) {
    Hint.QueuedOnline = Queue->second.online();
    Hint.QueuedBatch = Queue->second.batch();
  }
  return Hint;
}

} // namespace turmericpass
