#include "Dispatcher/DispatcherDaemon.h"

#include "Backends/BackendPort.h"
#include "Control/DecisionLog.h"
#include "Control/FleetAgent.h"
#include "Peers/PeerPort.h"
#include "Scheduling/Scheduler.h"
#include "Settings/Ownership.h"
#include "Telemetry/Logger.h"
#include "Telemetry/Metrics.h"

#include <utility>

namespace turmericpass {

namespace {

using namespace std::chrono_literals;

constexpr Duration BusyTick = 5ms;
constexpr Duration IdleTick = 50ms;
constexpr Duration PollPeriod = 1s;
constexpr Duration LossCheckDelay = 60ms;

std::string classLabel(const std::string &Name, const std::string &Class) {
  return Name + "{class=\"" + Class + "\"}";
}

} // namespace

DispatcherDaemon::DispatcherDaemon(DispatcherDependencies Parts,
                                   std::string Node)
    : Parts(Parts), Node(std::move(Node)) {}

DispatcherDaemon::~DispatcherDaemon() {
  this->Parts.Loop.cancel(this->TickTimer);
  this->Parts.Loop.cancel(this->PollTimer);
}

void DispatcherDaemon::start() {
  this->Parts.Peers.onReceive([this](const std::string &From, Message Body) {
    this->receive(From, std::move(Body));
  });
  this->Parts.Peers.onLost(
      [this](const std::string &Peer) { this->handlePeerLoss(Peer); });
  this->Parts.Fleet.onChange([this] { this->applyFleet(); });
  this->applyFleet();
  this->armTick();
  this->PollTimer =
      this->Parts.Loop.every(PollPeriod, [this] { this->pollServers(); });
}

void DispatcherDaemon::drain() {
  this->Parts.Fleet.setDraining();
  this->Parts.Decisions.drain();
  this->pump();
}

bool DispatcherDaemon::isIdle() const {
  return this->Parts.Decisions.isIdle() && this->Attempts.empty();
}

void DispatcherDaemon::receive(const std::string &From, Message Body) {
  if (auto *Work = std::get_if<Submit>(&Body))
    this->submit(From, std::move(*Work));
  else if (const auto *Withdrawn = std::get_if<Cancel>(&Body))
    this->Parts.Decisions.cancel(From, *Withdrawn);
  else if (const auto *View = std::get_if<FleetView>(&Body))
    this->Parts.Fleet.handle(*View);
  this->pump();
}

void DispatcherDaemon::handlePeerLoss(const std::string &Peer) {
  this->Parts.Decisions.handlePeerLoss(Peer);
  // No Finish goes to a lost peer, so the spans of its requests end here.
  for (auto Next = this->RequestSpans.begin();
       Next != this->RequestSpans.end();) {
    if (Next->second.Peer != Peer) {
      ++Next;
      continue;
    }
    this->Parts.Spans.setAttribute(Next->second.Key, "code", "peer_lost");
    this->Parts.Spans.end(Next->second.Key, false);
    Next = this->RequestSpans.erase(Next);
  }
  this->pump();
}

void DispatcherDaemon::submit(const std::string &From, Submit Work) {
  this->Parts.Stats.add(classLabel("submitted_total", Work.Class));
  if (!this->RequestSpans.count(Work.RequestId)) {
    const Tracer::SpanKey Span = this->Parts.Spans.start(
        "dispatch", SpanContext{Work.Trace.TraceId, Work.Trace.SpanId});
    this->Parts.Spans.setAttribute(Span, "request.id", Work.RequestId);
    this->Parts.Spans.setAttribute(Span, "service", Work.Service);
    this->Parts.Spans.setAttribute(Span, "class", Work.Class);
    this->RequestSpans[Work.RequestId] = {Span, From};
  }
  this->Parts.Decisions.submit(From, std::move(Work));
}

void DispatcherDaemon::applyFleet() {
  const FleetSettings &Settings = this->Parts.Fleet.settings();
  std::set<std::string> Live = this->Parts.Fleet.liveNodes();
  Live.insert(this->Node);
  this->Owned.clear();
  for (const ServerGroup &Group :
       assignGroups(Settings, Live, this->Parts.Fleet.adoptedZones()))
    if (Group.Owner == this->Node)
      this->Owned.insert(Group.Servers.begin(), Group.Servers.end());
  this->Parts.Decisions.configure(Settings, this->Owned);
  this->Parts.Decisions.setLeavingServers(this->Parts.Fleet.leavingServers());
  this->Parts.Decisions.addQuarantinedFingerprints(
      this->Parts.Fleet.quarantinedFingerprints());
  this->pump();
}

void DispatcherDaemon::pump() {
  // An action may cause an event at once; the outer call goes on with it.
  if (this->Pumping)
    return;
  this->Pumping = true;
  for (std::vector<SchedulerAction> Actions =
           this->Parts.Decisions.takeActions();
       !Actions.empty(); Actions = this->Parts.Decisions.takeActions())
    for (SchedulerAction &Next : Actions)
      std::visit([this](auto &Action) { this->perform(std::move(Action)); },
                 Next);
  this->Pumping = false;
}

void DispatcherDaemon::perform(StartAttempt Start) {
  const FleetSettings &Settings = this->Parts.Fleet.settings();
  const auto Server = Settings.Servers.find(Start.Server);
  if (Server == Settings.Servers.end()) {
    this->Parts.Decisions.handleAttemptFailure(
        Start.Id, {ErrorCode::NotFound, "The server left the settings."},
        AttemptProgress::NotSent);
    return;
  }
  const auto Service = Settings.Services.find(Server->second.Service);
  const bool IsModel = Service == Settings.Services.end() ||
                       Service->second.Kind == ServiceKind::Model;
  RunningAttempt Running;
  Running.Server = Start.Server;
  Running.RequestId = Start.Work.RequestId;
  Running.Span = this->Parts.Spans.start(
      "attempt", this->requestContext(Start.Work.RequestId));
  this->Parts.Spans.setAttribute(Running.Span, "server", Start.Server);
  const SpanContext Context = this->Parts.Spans.contextOf(Running.Span);
  Start.Work.Trace = {Context.TraceId, Context.SpanId};
  this->Parts.Stats.add("attempts_total{server=\"" + Start.Server + "\"}");
  const std::string Tag = Start.Work.RequestId + "." + std::to_string(Start.Id);
  this->Attempts[Start.Id] = Running;
  this->Attempts[Start.Id].Backend =
      this->Parts.Backends.start(Server->second.Address, Start.Work, IsModel,
                                 Tag, this->handlersFor(Start.Id));
}

AttemptHandlers DispatcherDaemon::handlersFor(SchedulerAttemptId Id) {
  AttemptHandlers Handlers;
  Handlers.Tokens = [this, Id](TokenBatch Tokens) {
    this->Parts.Decisions.handleAttemptTokens(Id, std::move(Tokens));
    this->pump();
  };
  Handlers.Done = [this, Id](BackendReply Reply) {
    this->endAttempt(Id, true);
    this->Parts.Decisions.handleAttemptReply(Id, std::move(Reply));
    this->pump();
  };
  Handlers.Failed = [this, Id](const Error &Reason, AttemptProgress Progress) {
    this->Parts.Log.log(LogLevel::Warning, "an attempt failed",
                        {{"request", this->Attempts[Id].RequestId},
                         {"server", this->Attempts[Id].Server},
                         {"reason", Reason.Message},
                         {"progress", toName(Progress)}});
    this->endAttempt(Id, false);
    this->Parts.Decisions.handleAttemptFailure(Id, Reason, Progress);
    this->pump();
  };
  return Handlers;
}

void DispatcherDaemon::endAttempt(SchedulerAttemptId Id, bool Ok) {
  const auto Found = this->Attempts.find(Id);
  if (Found == this->Attempts.end())
    return;
  this->Parts.Spans.end(Found->second.Span, Ok);
  this->Attempts.erase(Found);
}

void DispatcherDaemon::perform(const CancelAttempt &Cancelled) {
  const auto Found = this->Attempts.find(Cancelled.Id);
  if (Found == this->Attempts.end())
    return;
  this->Parts.Backends.cancel(Found->second.Backend);
  this->Parts.Spans.setAttribute(Found->second.Span, "cancelled", "true");
  this->endAttempt(Cancelled.Id, true);
}

void DispatcherDaemon::perform(SendToPeer Sent) {
  if (const auto *Ended = std::get_if<Finish>(&Sent.Body))
    this->endRequestSpan(*Ended);
  const Result<void> Queued =
      this->Parts.Peers.send(Sent.Peer, std::move(Sent.Body));
  if (!Queued)
    this->Parts.Log.log(
        LogLevel::Warning, "a message was not sent",
        {{"peer", Sent.Peer}, {"reason", Queued.error().Message}});
}

SpanContext
DispatcherDaemon::requestContext(const std::string &RequestId) const {
  const auto Found = this->RequestSpans.find(RequestId);
  return Found == this->RequestSpans.end()
             ? SpanContext{}
             : this->Parts.Spans.contextOf(Found->second.Key);
}

void DispatcherDaemon::endRequestSpan(const Finish &Ended) {
  this->Parts.Stats.add("finished_total{code=\"" +
                        std::string(toName(Ended.Code)) + "\"}");
  const auto Found = this->RequestSpans.find(Ended.RequestId);
  if (Found == this->RequestSpans.end())
    return;
  const Tracer::SpanKey Span = Found->second.Key;
  this->Parts.Spans.setAttribute(Span, "code", std::string(toName(Ended.Code)));
  this->Parts.Spans.end(Span, Ended.Code == FinishCode::Ok);
  this->RequestSpans.erase(Found);
}

void DispatcherDaemon::perform(const AnnounceQuarantine &Found) {
  this->Parts.Log.log(LogLevel::Warning,
                      "a request that crashes servers is in quarantine",
                      {{"fingerprint", Found.Fingerprint}});
  this->Parts.Fleet.announceQuarantine(Found.Fingerprint);
}

void DispatcherDaemon::perform(const RecordDecision &Decision) {
  this->Parts.Stats.add("decisions_total{what=\"" + Decision.Kind + "\"}");
  // A broken connection alone does not tell a crash from a cut.
  if (Decision.Kind == "server_lost") {
    // A server that starts again numbers its cache events from the beginning.
    this->CacheEventsSeen.erase(Decision.Server);
    this->Parts.Loop.after(LossCheckDelay, [this, Server = Decision.Server] {
      this->pollLoad(Server);
    });
  }
  // An operator asks about a request or about a server.
  const std::string Text = Decision.Reason + " (request " + Decision.RequestId +
                           ", server " + Decision.Server + ")";
  if (!Decision.RequestId.empty())
    this->Parts.Records.record(Decision.RequestId, Decision.Kind, Text);
  if (!Decision.Server.empty())
    this->Parts.Records.record(Decision.Server, Decision.Kind, Text);
}

void DispatcherDaemon::armTick() {
  const Duration Delay = this->Parts.Decisions.isIdle() ? IdleTick : BusyTick;
  this->TickTimer = this->Parts.Loop.after(Delay, [this] {
    this->Parts.Decisions.tick();
    this->pump();
    this->armTick();
  });
}

void DispatcherDaemon::pollLoad(const std::string &Server) {
  const auto &Servers = this->Parts.Fleet.settings().Servers;
  const auto Found = Servers.find(Server);
  if (Found == Servers.end())
    return;
  this->Parts.Backends.fetchLoad(
      Found->second.Address, [this, Server](const Result<LoadReport> &Report) {
        if (Report)
          this->Parts.Decisions.handleLoadReport(Server, *Report);
        this->pump();
      });
}

void DispatcherDaemon::pollServers() {
  const FleetSettings &Settings = this->Parts.Fleet.settings();
  for (const std::string &Name : this->Owned) {
    this->pollLoad(Name);
    const ServerSettings &Server = Settings.Servers.at(Name);
    if (Settings.Services.at(Server.Service).Kind != ServiceKind::Model)
      continue;
    this->Parts.Backends.fetchCacheEvents(
        Server.Address, this->CacheEventsSeen[Name],
        [this, Name](const Result<std::vector<CacheEvent>> &Events) {
          if (!Events || Events->empty())
            return;
          this->CacheEventsSeen[Name] = Events->back().Sequence;
          this->Parts.Decisions.handleCacheEvents(Name, *Events);
        });
  }
}

} // namespace turmericpass
