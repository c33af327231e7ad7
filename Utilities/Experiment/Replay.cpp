#include "Replay.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace turmericpass {

namespace {

using namespace std::chrono_literals;

/// The users' targets and limits.
constexpr Duration CallerTarget = 300ms;
constexpr Duration CallerTime = 5s;
constexpr Duration JobTarget = 18s;
constexpr double AfterRefusalWorth = 0.575;
constexpr double LateWorth = 0.15;
constexpr double LateItemWorth = 0.1;

/// Tokens of one event of a stream.
constexpr std::uint64_t EventTokens = 7;

/// The way from a caller to its server and back.
constexpr Duration WayTime = 8ms;

/// The paces of a node, as Source/Node/NodeTimes.h has them.
constexpr Duration TickPeriod = 20ms;
constexpr Duration FarDigestPause = 5ms;
constexpr Duration YieldPause = 100ms;

std::string serverId(std::size_t Index) { return "s" + std::to_string(Index); }

} // namespace

double ReplayResult::callerWorth() const {
  return Callers == 0
             ? 0
             : (static_cast<double>(OnTime) +
                AfterRefusalWorth * static_cast<double>(OnTimeAfterRefusal) +
                LateWorth * static_cast<double>(Late)) /
                   static_cast<double>(Callers);
}

double ReplayResult::itemWorth() const {
  return Items == 0 ? 0
                    : (static_cast<double>(ItemsOnTime) +
                       LateItemWorth * static_cast<double>(ItemsLate)) /
                          static_cast<double>(Items);
}

double ReplayResult::quantile(double Share) const {
  if (this->FirstEventMillis.empty())
    return 0;
  std::vector<double> Sorted = this->FirstEventMillis;
  std::sort(Sorted.begin(), Sorted.end());
  const auto At =
      static_cast<std::size_t>(Share * static_cast<double>(Sorted.size() - 1));
  return Sorted[At];
}

Replay::Replay(const Workload &Load, FleetSize Size, PolicyFlags Flags,
               std::uint64_t Seed)
    : Load(Load), Size(Size), Flags(Flags), Start(this->Time.now()),
      Random(Seed) {
  EngineTraits Traits;
  Traits.Slots = Size.Slots;
  std::vector<ServerEntry> Entries;
  for (std::size_t I = 0; I < Size.Servers; ++I) {
    this->Engines.emplace_back(Traits);
    Entries.push_back({serverId(I), "model", "a:" + std::to_string(I),
                       std::to_string(I % Size.Zones), Size.Slots, false, 1});
  }
  for (std::size_t I = 0; I < Size.Nodes; ++I) {
    this->Nodes.push_back(std::make_unique<ReplayNode>(
        this->Time, "n" + std::to_string(I), std::to_string(I % Size.Zones),
        Entries, Flags));
    const Duration Offset =
        TickPeriod * static_cast<int>(I) / static_cast<int>(Size.Nodes);
    this->at(this->Start + Offset, EventKind::NodeTicks, I);
    this->at(this->Start + Offset, EventKind::FarDigest, I);
  }
  const auto Seconds = static_cast<std::size_t>(Load.Length / 1s);
  this->Result.Asked.resize(Seconds);
  this->Result.Earned.resize(Seconds);
  for (const CallerArrival &Each : Load.Callers) {
    const std::size_t Index = this->Calls.size();
    this->Calls.emplace_back();
    this->Calls.back().FirstAt = this->Start + Each.At;
    this->Result.Asked[static_cast<std::size_t>(Each.At / 1s)] += 1;
    this->at(this->Start + Each.At, EventKind::CallerArrives, Index);
    this->at(this->Start + Each.At + CallerTime, EventKind::CallerGivesUp,
             Index);
  }
  for (std::size_t I = 0; I < Load.Jobs.size(); ++I)
    this->at(this->Start + Load.Jobs[I].At, EventKind::JobArrives, I);
  for (std::size_t I = 0; I < Load.Spells.size(); ++I) {
    this->at(this->Start + Load.Spells[I].From, EventKind::SpellBegins, I);
    this->at(this->Start + Load.Spells[I].To, EventKind::SpellEnds, I);
  }
}

void Replay::at(Instant When, EventKind Kind, std::size_t Index) {
  this->Events.push({When, ++this->LastSequence, Kind, Index});
}

ReplayResult Replay::run() {
  while (!this->Events.empty() &&
         this->Events.top().At <= this->Start + this->Load.Length) {
    const Event Next = this->Events.top();
    this->Events.pop();
    this->Time.advance(Next.At - this->Time.now());
    this->handle(Next);
  }
  this->Result.Callers = this->Calls.size();
  this->Result.Unserved = this->Result.Callers - this->Result.OnTime -
                          this->Result.OnTimeAfterRefusal - this->Result.Late;
  for (const EngineModel &Engine : this->Engines)
    this->Result.ReadTokens += Engine.readTokens();
  return std::move(this->Result);
}

void Replay::handle(const Event &Next) {
  switch (Next.Kind) {
  case EventKind::CallerArrives:
    this->callerArrives(Next.Index);
    return;
  case EventKind::CallerGivesUp:
    this->callerGivesUp(Next.Index);
    return;
  case EventKind::AnswerIsLate:
    this->answerIsLate(Next.Index);
    return;
  case EventKind::JobArrives:
    this->jobArrives(Next.Index);
    return;
  case EventKind::StepEnds:
    this->stepEnds(Next.Index, Next.At);
    return;
  case EventKind::NodeTicks:
    this->nodeTicks(Next.Index);
    return;
  case EventKind::FarDigest:
    this->sendDigests(Next.Index, true);
    this->at(Next.At + FarDigestPause * static_cast<int>(this->Size.Nodes),
             EventKind::FarDigest, Next.Index);
    return;
  case EventKind::SpellBegins:
    this->Engines[this->Load.Spells[Next.Index].Server].setSlowness(
        this->Load.Spells[Next.Index].Factor);
    return;
  case EventKind::SpellEnds:
    this->Engines[this->Load.Spells[Next.Index].Server].setSlowness(1);
    return;
  }
}

std::size_t Replay::serverIndex(const std::string &Id) const {
  return std::stoul(Id.substr(1));
}

void Replay::submit(std::size_t Server, EngineRequest Request) {
  EngineModel &Engine = this->Engines[Server];
  const bool Idle = !Engine.stepEnd();
  Engine.submit(std::move(Request), this->Time.now());
  if (Idle)
    this->at(*Engine.stepEnd(), EventKind::StepEnds, Server);
}

void Replay::callerArrives(std::size_t Index) {
  Call &Arrived = this->Calls[Index];
  const Instant Now = this->Time.now();
  Arrived.AttemptAt = Now;
  Arrived.Node = this->Random() % this->Nodes.size();
  ReplayNode &Node = *this->Nodes[Arrived.Node];
  const Placement Choice = Node.placeCaller();
  if (this->Flags.Refuses) {
    RouteSettings Route;
    Route.Name = "callers";
    Route.TargetLatency = CallerTarget;
    if (const auto Return = Node.Overload.computeRetryDelay(
            Route, "model", Choice, Arrived.FirstAt + CallerTime - Now,
            this->Random())) {
      // Callers come back once.
      Arrived.Ended = Arrived.Returned;
      if (!std::exchange(Arrived.Returned, true))
        this->at(Now + *Return, EventKind::CallerArrives, Index);
      return;
    }
  }
  Arrived.Server = this->serverIndex(Choice.Server->Entry.Id);
  Arrived.Run = ++this->LastRun;
  Arrived.SentAt = Now;
  this->Owners[Arrived.Run] = {false, Index, {}};
  Node.Loads.addOnlineRequest(Choice.Server->Entry.Id);
  this->submit(Arrived.Server, this->requestOf(Index, Arrived.Run));
  Node.Hedges.recordRequest();
  if (const std::optional<Duration> Delay = Node.Hedges.delay("model"))
    this->at(Now + *Delay, EventKind::AnswerIsLate, Index);
}

EngineRequest Replay::requestOf(std::size_t Index, RunId Run) const {
  const CallerArrival &Asked = this->Load.Callers[Index];
  return {Run,
          {{Asked.SharedPart + 1, 200}, {~Index, Asked.PromptTokens}},
          0,
          Asked.OutputTokens};
}

void Replay::answerIsLate(std::size_t Index) {
  Call &Late = this->Calls[Index];
  if (Late.Ended || Late.FirstEvent)
    return;
  ReplayNode &Node = *this->Nodes[Late.Node];
  const Instant Now = this->Time.now();
  const CopyPlacement Choice =
      Node.Policy.placeCopy("model", {serverId(Late.Server)}, this->Random());
  HedgeCandidate Candidate;
  Candidate.Service = "model";
  Candidate.MayRepeat = true;
  Candidate.PossibleRuns = 1;
  Candidate.MaxAttempts = 2;
  Candidate.Remaining = Late.FirstAt + CallerTime - Now;
  Candidate.FreeSlots = Choice.FreeSlots;
  Candidate.HasServer = Choice.Server != nullptr;
  if (Node.Hedges.decide(Candidate) != HedgeDecision::Send)
    return;
  ++this->Result.Copies;
  Late.CopyServer = this->serverIndex(Choice.Server->Entry.Id);
  Late.CopyRun = ++this->LastRun;
  Late.CopySentAt = Now;
  this->Owners[Late.CopyRun] = {false, Index, {}};
  Node.Loads.addOnlineRequest(Choice.Server->Entry.Id);
  this->submit(Late.CopyServer, this->requestOf(Index, Late.CopyRun));
}

void Replay::endRun(const Call &Of, RunId Run, std::size_t Server) {
  this->Engines[Server].cancel(Run);
  this->Owners.erase(Run);
  this->Nodes[Of.Node]->Loads.removeOnlineRequest(serverId(Server));
}

void Replay::selectRun(Call &Of, RunId Winner) {
  HedgePlanner &Hedges = this->Nodes[Of.Node]->Hedges;
  const Instant Now = this->Time.now();
  if (Of.CopyRun == Winner) {
    ++this->Result.CopiesWon;
    std::swap(Of.Run, Of.CopyRun);
    std::swap(Of.Server, Of.CopyServer);
    std::swap(Of.SentAt, Of.CopySentAt);
  }
  Hedges.recordAnswer("model", Now - Of.SentAt);
  if (Of.CopyRun == 0)
    return;
  Hedges.recordLowerBound("model", Now - Of.CopySentAt);
  this->endRun(Of, std::exchange(Of.CopyRun, 0), Of.CopyServer);
}

void Replay::callerGivesUp(std::size_t Index) {
  Call &Left = this->Calls[Index];
  if (Left.Ended || Left.FirstEvent)
    return;
  Left.Ended = true;
  if (Left.Run == 0)
    return;
  this->endRun(Left, Left.Run, Left.Server);
  if (Left.CopyRun != 0)
    this->endRun(Left, Left.CopyRun, Left.CopyServer);
}

void Replay::callerServed(Call &Served) {
  Served.Ended = true;
  const bool OnTime = *Served.FirstEvent <= CallerTarget;
  double Worth = LateWorth;
  if (OnTime && !Served.Returned)
    Worth = 1;
  else if (OnTime)
    Worth = AfterRefusalWorth;
  ++(!OnTime           ? this->Result.Late
     : Served.Returned ? this->Result.OnTimeAfterRefusal
                       : this->Result.OnTime);
  this->Result.FirstEventMillis.push_back(toMillis(*Served.FirstEvent));
  const auto Second =
      static_cast<std::size_t>((Served.FirstAt - this->Start) / 1s);
  this->Result.Earned[Second] += Worth;
}

void Replay::callStepped(std::size_t Index, const StepResult &Step) {
  Call &Of = this->Calls[Index];
  const std::uint64_t First =
      std::min(EventTokens, this->Load.Callers[Index].OutputTokens);
  if (!Of.FirstEvent && Step.MadeTokens >= First) {
    Of.FirstEvent = this->Time.now() - Of.AttemptAt + WayTime;
    this->selectRun(Of, Step.Id);
  }
  if (!Step.Finished)
    return;
  ReplayNode &Node = *this->Nodes[Of.Node];
  Node.Loads.removeOnlineRequest(serverId(Of.Server));
  Node.Overload.recordServiceTime("model", this->Time.now() - Of.SentAt);
  this->Owners.erase(Step.Id);
  this->callerServed(Of);
}

void Replay::jobArrives(std::size_t Index) {
  const JobArrival &Arrived = this->Load.Jobs[Index];
  ReplayNode &Node = *this->Nodes[this->Random() % this->Nodes.size()];
  OwnedJob Job;
  Job.Loading = false;
  Job.Metadata.AcceptedAtMillis = Arrived.At / 1ms;
  Job.Items.resize(Arrived.OutputTokens.size());
  Node.Jobs.emplace(std::to_string(Index), std::move(Job));
  this->Result.Items += Arrived.OutputTokens.size();
}

void Replay::itemStepped(const Owner &Whose, const StepResult &Step) {
  ReplayNode &Node = *this->Nodes[Whose.Index];
  OwnedJob &Job = Node.Jobs.at(Whose.Item.JobId);
  ItemRun &Run = Job.Items[Whose.Item.Index];
  Run.LastEventId = Step.MadeTokens / EventTokens;
  if (!Step.Finished)
    return;
  const Instant Now = this->Time.now();
  Run.State = ItemState::Committed;
  Run.ActiveSend = 0;
  Run.RunTime += Now - Run.StartedAt;
  Node.Loads.removeBatchItem(Run.Server);
  Node.Order.recordCompletion(Run.RunTime, Now - *Run.FirstStartedAt,
                              Run.LastEventId.value_or(0));
  const Duration Age = Now - this->Start -
                       std::chrono::milliseconds(Job.Metadata.AcceptedAtMillis);
  ++(Age <= JobTarget ? this->Result.ItemsOnTime : this->Result.ItemsLate);
  this->Owners.erase(Step.Id);
}

void Replay::stepEnds(std::size_t Server, Instant When) {
  EngineModel &Engine = this->Engines[Server];
  if (Engine.stepEnd() != When)
    return;
  for (const StepResult &Step : Engine.endStep()) {
    const auto Found = this->Owners.find(Step.Id);
    if (Found == this->Owners.end())
      continue;
    const Owner Whose = Found->second;
    if (Whose.IsItem)
      this->itemStepped(Whose, Step);
    else
      this->callStepped(Whose.Index, Step);
  }
  if (Engine.stepEnd())
    this->at(*Engine.stepEnd(), EventKind::StepEnds, Server);
}

void Replay::nodeTicks(std::size_t Node) {
  ReplayNode &Ticking = *this->Nodes[Node];
  if (this->Flags.Yields)
    this->yieldSlots(Ticking);
  this->startItems(Node);
  if (Ticking.SentRevision != Ticking.Loads.revision())
    this->sendDigests(Node, false);
  this->at(this->Time.now() + TickPeriod, EventKind::NodeTicks, Node);
}

void Replay::yieldSlots(ReplayNode &Node) {
  std::vector<ItemRun *> Running;
  for (auto &[JobId, Job] : Node.Jobs)
    for (ItemRun &Run : Job.Items)
      if (Run.ActiveSend != 0)
        Running.push_back(&Run);
  std::stable_sort(Running.begin(), Running.end(),
                   [](const ItemRun *A, const ItemRun *B) {
                     return A->LastEventId < B->LastEventId;
                   });
  for (ItemRun *Run : Running) {
    if (Node.Loads.batchItemsToYield(Run->Server, this->Size.Slots) == 0)
      continue;
    this->Engines[this->serverIndex(Run->Server)].cancel(Run->ActiveSend);
    this->Owners.erase(std::exchange(Run->ActiveSend, 0));
    Run->State = ItemState::Pending;
    Run->RunTime += this->Time.now() - Run->StartedAt;
    Run->EarliestStart = this->Time.now() + YieldPause;
    Node.Loads.removeBatchItem(Run->Server);
    ++this->Result.Yields;
  }
}

void Replay::startItems(std::size_t Index) {
  ReplayNode &Node = *this->Nodes[Index];
  const Instant Now = this->Time.now();
  for (const ItemKey &Key :
       Node.itemsToStart(JobTarget, (Now - this->Start) / 1ms)) {
    const KnownServer *Server = Node.placeItem();
    if (!Server)
      return;
    ItemRun &Run = Node.Jobs.at(Key.JobId).Items[Key.Index];
    const std::size_t Job = std::stoul(Key.JobId);
    Run.Server = Server->Entry.Id;
    Run.State = ItemState::Running;
    Run.StartedAt = Now;
    if (!Run.FirstStartedAt)
      Run.FirstStartedAt = Now;
    Run.ActiveSend = ++this->LastRun;
    this->Owners[Run.ActiveSend] = {true, Index, Key};
    Node.Loads.addBatchItem(Run.Server);
    this->submit(this->serverIndex(Run.Server),
                 {Run.ActiveSend,
                  {{1000 + Job, 100}, {(Job << 20U) + Key.Index, 250}},
                  Run.LastEventId.value_or(0) * EventTokens,
                  this->Load.Jobs[Job].OutputTokens[Key.Index]});
  }
}

void Replay::sendDigests(std::size_t From, bool ToAllZones) {
  if (!this->Flags.SharesLoad)
    return;
  ReplayNode &Sender = *this->Nodes[From];
  Sender.SentRevision = Sender.Loads.revision();
  for (const auto &Peer : this->Nodes)
    if (Peer.get() != &Sender && (ToAllZones || Peer->Zone == Sender.Zone))
      Peer->Loads.setPeerLoads(Sender.Name, Sender.Loads.localLoads());
}

} // namespace turmericpass
