#include "BaselineScheduler.h"

#include "Core/EnumTable.h"

#include <utility>

namespace turmericpass {

namespace {

constexpr auto PolicyNames = makeEnumTable<BaselinePolicy>({
    {BaselinePolicy::RoundRobin, "round_robin"},
    {BaselinePolicy::LeastOutstanding, "least_outstanding"},
    {BaselinePolicy::FirstComeFirstServed, "fcfs"},
    {BaselinePolicy::StaticPartition, "static_partition"},
});

/// The static partition gives half of the slots to each kind of work.
constexpr double BatchShare = 0.5;

bool queuesHere(BaselinePolicy Policy) {
  return Policy == BaselinePolicy::FirstComeFirstServed ||
         Policy == BaselinePolicy::StaticPartition;
}

} // namespace

std::string_view toName(BaselinePolicy Policy) {
  return PolicyNames.nameOf(Policy);
}

bool fromName(std::string_view Name, BaselinePolicy &Policy) {
  const auto Found = PolicyNames.valueOf(Name);
  Policy = Found.value_or(Policy);
  return Found.has_value();
}

void BaselineScheduler::configure(const FleetSettings &Given,
                                  const std::set<std::string> &Owned) {
  this->Settings = Given;
  for (const std::string &Name : Owned) {
    const ServerSettings &Server = Given.Servers.at(Name);
    this->Servers[Name].Service = Server.Service;
    this->Servers[Name].Slots = Server.Slots;
  }
}

bool BaselineScheduler::isBatch(const Submit &Work) const {
  const auto Class = this->Settings.Classes.find(Work.Class);
  return Class != this->Settings.Classes.end() &&
         Class->second.Kind == ClassKind::Batch;
}

bool BaselineScheduler::hasRoom(const ServerState &Server, bool Batch) const {
  if (!queuesHere(this->Policy))
    return true;
  if (this->Policy == BaselinePolicy::FirstComeFirstServed)
    return Server.Online + Server.Batch < Server.Slots;
  const auto ForBatch = static_cast<std::uint32_t>(Server.Slots * BatchShare);
  return Batch ? Server.Batch < ForBatch
               : Server.Online < Server.Slots - ForBatch;
}

std::string BaselineScheduler::pick(const Submit &Work) {
  const bool Batch = this->isBatch(Work);
  std::vector<std::string> Usable;
  for (const auto &[Name, Server] : this->Servers)
    if (Server.Service == Work.Service && this->hasRoom(Server, Batch))
      Usable.push_back(Name);
  if (Usable.empty())
    return {};
  if (this->Policy == BaselinePolicy::RoundRobin)
    return Usable[this->Turn++ % Usable.size()];
  std::string Best;
  std::uint32_t Least = 0;
  // Ties go round, so that the first server is not always the one.
  const std::size_t First = this->Turn++;
  for (std::size_t I = 0; I < Usable.size(); ++I) {
    const std::string &Name = Usable[(First + I) % Usable.size()];
    const ServerState &Server = this->Servers[Name];
    if (!Best.empty() && Server.Online + Server.Batch >= Least)
      continue;
    Best = Name;
    Least = Server.Online + Server.Batch;
  }
  return Best;
}

void BaselineScheduler::submit(const std::string &Peer, Submit Work) {
  this->Actions.emplace_back(SendToPeer{
      Peer,
      Accepted{Work.RequestId, Work.Attempt, {Work.Service, 1, 0, 0, 0}}});
  this->Queue.push_back({Peer, std::move(Work), {}, 0});
  this->startQueued();
}

bool BaselineScheduler::start(Item &Next) {
  Next.Server = this->pick(Next.Work);
  if (Next.Server.empty())
    return false;
  ServerState &Server = this->Servers[Next.Server];
  ++(this->isBatch(Next.Work) ? Server.Batch : Server.Online);
  const SchedulerAttemptId Id = this->NextId++;
  Next.Offset = Next.Work.ResumeTokenIds.size();
  this->Actions.emplace_back(StartAttempt{Id, Next.Server, Next.Work});
  this->Running[Id] = std::move(Next);
  return true;
}

void BaselineScheduler::startQueued() {
  if (this->Policy != BaselinePolicy::StaticPartition) {
    while (!this->Queue.empty() && this->start(this->Queue.front()))
      this->Queue.pop_front();
    return;
  }
  // Each kind of work has its own order, since neither may use the other's
  // slots.
  std::deque<Item> Waiting;
  bool Blocked[2] = {false, false};
  for (Item &Next : this->Queue) {
    bool &Full = Blocked[this->isBatch(Next.Work) ? 1 : 0];
    if (Full || !this->start(Next)) {
      Full = true;
      Waiting.push_back(std::move(Next));
    }
  }
  this->Queue = std::move(Waiting);
}

void BaselineScheduler::cancel(const std::string &Peer,
                               const Cancel &Withdrawn) {
  Finish Ended;
  Ended.RequestId = Withdrawn.RequestId;
  Ended.Attempt = Withdrawn.Attempt;
  Ended.Code = FinishCode::Cancelled;
  std::erase_if(this->Queue, [&](const Item &Waiting) {
    return Waiting.Work.RequestId == Withdrawn.RequestId;
  });
  for (const auto &[Id, Open] : this->Running) {
    if (Open.Work.RequestId != Withdrawn.RequestId)
      continue;
    this->Actions.emplace_back(CancelAttempt{Id});
    this->finish(Id, Ended);
    return;
  }
  this->Actions.emplace_back(SendToPeer{Peer, Ended});
}

void BaselineScheduler::handlePeerLoss(const std::string &Peer) {
  std::erase_if(this->Queue,
                [&](const Item &Waiting) { return Waiting.Peer == Peer; });
  std::vector<SchedulerAttemptId> Gone;
  for (const auto &[Id, Open] : this->Running)
    if (Open.Peer == Peer)
      Gone.push_back(Id);
  for (SchedulerAttemptId Id : Gone) {
    this->Actions.emplace_back(CancelAttempt{Id});
    this->finish(Id, {});
  }
}

void BaselineScheduler::handleAttemptTokens(SchedulerAttemptId Id,
                                            TokenBatch Tokens) {
  const auto Found = this->Running.find(Id);
  if (Found == this->Running.end())
    return;
  Item &Open = Found->second;
  const std::uint64_t Offset = Open.Offset;
  Open.Offset += Tokens.Ids.size();
  this->Actions.emplace_back(SendToPeer{
      Open.Peer, Chunk{Open.Work.RequestId, Open.Work.Attempt, Offset,
                       std::move(Tokens.Ids), std::move(Tokens.Texts)}});
}

void BaselineScheduler::handleAttemptReply(SchedulerAttemptId Id,
                                           BackendReply Reply) {
  Finish Ended;
  Ended.Code = Reply.Status < 400 ? FinishCode::Ok : FinishCode::ServerError;
  Ended.Ran = Execution::Ran;
  Ended.Status = static_cast<std::uint32_t>(Reply.Status);
  Ended.ContentType = std::move(Reply.ContentType);
  Ended.Body = std::move(Reply.Body);
  Ended.Reason = std::move(Reply.Reason);
  this->finish(Id, std::move(Ended));
}

void BaselineScheduler::handleAttemptFailure(SchedulerAttemptId Id,
                                             const Error &Reason,
                                             AttemptProgress Progress) {
  Finish Ended;
  Ended.Code = FinishCode::ServerLost;
  Ended.Ran = Progress == AttemptProgress::NotSent ? Execution::NotRun
                                                   : Execution::Unknown;
  Ended.Detail = Reason.Message;
  this->finish(Id, std::move(Ended));
}

void BaselineScheduler::finish(SchedulerAttemptId Id, Finish Ended) {
  const auto Found = this->Running.find(Id);
  if (Found == this->Running.end())
    return;
  const Item Open = std::move(Found->second);
  this->Running.erase(Found);
  ServerState &Server = this->Servers[Open.Server];
  --(this->isBatch(Open.Work) ? Server.Batch : Server.Online);
  Ended.RequestId = Open.Work.RequestId;
  Ended.Attempt = Open.Work.Attempt;
  Ended.TotalTokens = Open.Offset;
  Ended.Load = {Open.Work.Service, 1, 0, 0, 0};
  this->Actions.emplace_back(SendToPeer{Open.Peer, std::move(Ended)});
  this->startQueued();
}

std::vector<SchedulerAction> BaselineScheduler::takeActions() {
  return std::exchange(this->Actions, {});
}

} // namespace turmericpass
