#include "Gateway/OnlineCalls.h"

#include "Admission/FleetSource.h"
#include "Admission/PerformActions.h"
#include "Core/Hash.h"
#include "Gateway/CallerAnswer.h"
#include "Gateway/IntentProblem.h"
#include "Loop/EventLoop.h"
#include "Peers/PeerPort.h"
#include "Telemetry/Logger.h"
#include "Telemetry/Metrics.h"
#include "Telemetry/Tracer.h"

#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace turmericpass {

namespace {

using namespace std::chrono_literals;

/// Bounds the memory of one gateway; at the sizes of the design a gateway
/// holds some hundred requests.
constexpr std::size_t MaxOpenCalls = 20'000;
/// How long an answer waits for its outcome to be stored. The ledger goes on
/// storing after it.
constexpr Duration StoreLimit = 500ms;

double secondsSince(Instant Begun, Instant Now) {
  return std::chrono::duration<double>(Now - Begun).count();
}

std::string labelled(const std::string &Name, const std::string &Label,
                     std::string_view Value) {
  return Name + "{" + Label + "=\"" + std::string(Value) + "\"}";
}

} // namespace

struct OnlineCalls::Call {
  RequestLifeCycle Life;
  CallerAnswer Answer;
  Tracer::SpanKey Span = 0;
  Instant Begun;
  Instant Deadline;
  std::uint32_t Reserved = 0;
  /// Set for work that must run at most once.
  std::optional<IntentKey> Intent;
  std::string RequestHash;
  bool IntentPending = false;
  bool CallerGone = false;
  bool FirstToken = false;
  bool EndedWell = false;
  /// The dispatcher where this call counts as outstanding.
  std::string OutstandingAt;
  /// The ending, while its outcome is being stored.
  std::optional<Finish> Ending;
  HttpReply Reply;
  Instant StoreUntil;
};

OnlineCalls::OnlineCalls(GatewayPorts Ports, LifeCycleLimits Limits)
    : Ports(std::move(Ports)), Limits(Limits),
      Records(this->Ports.Records, this->Ports.Log),
      Chooser(this->Ports.Time, this->Ports.Zone), Quotas(this->Ports.Time) {
  this->configure();
}

OnlineCalls::~OnlineCalls() = default;

void OnlineCalls::configure() {
  const FleetSettings &Settings = this->Ports.Fleet.settings();
  const std::set<std::string> &Live = this->Ports.Fleet.liveNodes();
  this->Chooser.configure(Settings, Live, this->Ports.Fleet.adoptedZones());
  this->Quotas.configure(Settings, Live.size());
  this->Repeats.setShare(Settings.Limits.RetryBudget);
}

OnlineCalls::Call *OnlineCalls::find(const std::string &RequestId) {
  const auto Found = this->Calls.find(RequestId);
  return Found == this->Calls.end() ? nullptr : Found->second.get();
}

void OnlineCalls::refuse(ExchangeId Exchange, const Problem &Value,
                         const std::string &RequestId) {
  HttpReply Reply = toReply(Value);
  if (!RequestId.empty()) {
    this->Records.refused(RequestId, Value);
    Reply.Headers.emplace_back("X-Request-Id", RequestId);
  }
  this->Ports.Stats.add(labelled("gateway_refused_total", "kind", Value.Kind));
  this->Ports.Http.reply(Exchange, std::move(Reply));
}

bool OnlineCalls::admit(ExchangeId Exchange, const OnlineRequest &Request) {
  const std::string &Id = Request.Work.RequestId;
  if (this->Ports.Fleet.quarantinedFingerprints().count(
          Request.Work.Fingerprint)) {
    this->refuse(Exchange,
                 {422, "quarantined", "Equal requests made servers crash",
                  "Servers crashed while they ran equal requests.",
                  Execution::NotRun, 0},
                 Id);
    return false;
  }
  if (this->Calls.size() >= MaxOpenCalls) {
    this->refuse(Exchange,
                 {503, "overloaded", "The gateway is overloaded",
                  "This gateway holds too many requests.", Execution::NotRun,
                  1000},
                 Id);
    return false;
  }
  const std::optional<std::uint32_t> Wait =
      this->Chooser.leastExpectedWait(Request.Work.Service);
  if (Request.Class == ClassKind::Online && Wait &&
      std::chrono::milliseconds(*Wait) > Request.Limit) {
    this->refuse(Exchange,
                 {503, "overloaded", "The service is overloaded",
                  "The expected wait of " + std::to_string(*Wait) +
                      " ms is longer than the request's deadline.",
                  Execution::NotRun, *Wait},
                 Id);
    return false;
  }
  return this->takeRequest(Exchange, Request.Work.Customer,
                           Request.ReservedTokens, Id);
}

bool OnlineCalls::takeRequest(ExchangeId Exchange, const std::string &Customer,
                              std::uint32_t Tokens,
                              const std::string &RequestId) {
  const Duration Wait = this->Quotas.tryAdmit(Customer, Tokens);
  if (Wait == Duration{0})
    return true;
  this->refuse(Exchange, quotaUsedUp(Wait), RequestId);
  return false;
}

void OnlineCalls::open(ExchangeId Exchange, OnlineRequest Request) {
  Submit &Work = Request.Work;
  Work.RequestId = this->Ports.Ids.longId();
  if (!this->admit(Exchange, Request))
    return;
  const Instant Now = this->Ports.Time.now();
  std::optional<SpanContext> Parent;
  if (!Request.Parent.TraceId.empty())
    Parent = SpanContext{Request.Parent.TraceId, Request.Parent.SpanId};
  const Tracer::SpanKey Span =
      this->Ports.Spans.start("gateway " + Work.Service, Parent);
  const SpanContext Own = this->Ports.Spans.contextOf(Span);
  Work.Trace = {Own.TraceId, Own.SpanId};
  this->Ports.Spans.setAttribute(Span, "customer", Work.Customer);
  this->Ports.Spans.setAttribute(Span, "class", Work.Class);
  this->Ports.Spans.setAttribute(Span, "request_id", Work.RequestId);
  const HttpHeaders Common = {{"X-Request-Id", Work.RequestId},
                              {"traceparent", formatTraceparent(Own)}};
  const std::string Id = Work.RequestId;
  auto Opened = std::make_unique<Call>(Call{
      RequestLifeCycle(Work, Now + Request.Limit, this->Limits,
                       this->lifeCycleCallbacks(Work)),
      CallerAnswer(this->Ports.Http, Exchange, Request, Common,
                   this->Ports.Time.wallMillis() / 1000, !Work.Repeatable)});
  Opened->Span = Span;
  Opened->Begun = Now;
  Opened->Deadline = Now + Request.Limit;
  Opened->Reserved = Request.ReservedTokens;
  Call &Added = *this->Calls.emplace(Id, std::move(Opened)).first->second;
  this->ByExchange.emplace(Exchange, Id);
  if (Work.Repeatable)
    this->startWork(Added);
  else
    this->beginIntent(Added, Request);
}

LifeCycleCallbacks OnlineCalls::lifeCycleCallbacks(const Submit &Work) {
  std::string Key = Work.RequestId;
  if (!Work.PrefixHashes.empty())
    Key = std::to_string(Work.PrefixHashes.back());
  return {
      [this, Service = Work.Service, Key](const std::set<std::string> &Tried) {
        return this->Chooser.choose(Service, Key, Tried);
      },
      [this] {
        this->Ports.Stats.add("gateway_resubmissions_total");
        return this->Repeats.take();
      }};
}

void OnlineCalls::startWork(Call &Opened) {
  this->Repeats.creditRequest();
  Opened.Life.start(this->Ports.Time.now());
  this->perform(Opened);
}

void OnlineCalls::beginIntent(Call &Opened, const OnlineRequest &Request) {
  const Submit &Work = Request.Work;
  if (!this->Ports.Intents) {
    this->refuseOpened(Opened,
                       {503, "unavailable", "The store is not available now",
                        "Calls that run at most once need the table service.",
                        Execution::NotRun, 0});
    return;
  }
  Opened.Intent = IntentKey{Work.Customer, Work.IdempotencyKey};
  Opened.RequestHash = Work.Fingerprint;
  Opened.IntentPending = true;
  // The request id is unique, so it serves as the id of the attempt as well.
  this->Ports.Intents->begin(
      *Opened.Intent, Work.RequestId, Opened.RequestHash,
      [this, Id = Work.RequestId](const Result<IntentDecision> &Decision) {
        this->intentDecided(Id, Decision);
      });
}

void OnlineCalls::intentDecided(const std::string &RequestId,
                                const Result<IntentDecision> &Decision) {
  Call *Opened = this->find(RequestId);
  if (!Opened)
    return;
  Opened->IntentPending = false;
  if (!Decision) {
    this->refuseOpened(*Opened,
                       {503, "unavailable", "The store is not available now",
                        Decision.error().Message, Execution::NotRun, 1000});
    return;
  }
  if (Decision->Verdict != IntentVerdict::Proceed) {
    this->replay(*Opened, *Decision);
    return;
  }
  if (!Opened->CallerGone) {
    this->startWork(*Opened);
    return;
  }
  // The caller left before anything was sent, so that its resend may run.
  IntentOutcome Nothing;
  Nothing.Ran = Execution::NotRun;
  this->Ports.Intents->finish(*Opened->Intent, RequestId, Nothing,
                              [](const Result<void> &) {});
  this->drop(RequestId);
}

void OnlineCalls::replay(Call &Opened, const IntentDecision &Decision) {
  if (Decision.Verdict != IntentVerdict::Replay) {
    const std::int64_t Age = this->Ports.Time.wallMillis() - Decision.SinceMs;
    this->refuseOpened(Opened, intentProblem(Decision.Verdict, Age,
                                             Opened.Deadline - Opened.Begun));
    return;
  }
  HttpReply Reply;
  Reply.Status =
      Decision.Outcome.Status ? static_cast<int>(Decision.Outcome.Status) : 502;
  Reply.Headers = {{"Content-Type", Decision.Outcome.ContentType},
                   {"Idempotency-Replayed", "true"}};
  Reply.Body = Decision.Outcome.Body;
  this->Ports.Stats.add("gateway_replayed_total");
  this->Records.replayed(Opened.Life.work().RequestId);
  this->Ports.Http.reply(Opened.Answer.exchange(), std::move(Reply));
  this->Quotas.refundRequest(Opened.Life.work().Customer, Opened.Reserved);
  this->drop(std::string(Opened.Life.work().RequestId));
}

void OnlineCalls::refuseOpened(Call &Opened, const Problem &Value) {
  this->refuse(Opened.Answer.exchange(), Value, Opened.Life.work().RequestId);
  this->Quotas.refundRequest(Opened.Life.work().Customer, Opened.Reserved);
  this->drop(std::string(Opened.Life.work().RequestId));
}

void OnlineCalls::received(const std::string &From, const Message &Body) {
  const Instant Now = this->Ports.Time.now();
  std::string Id;
  if (const auto *Answer = std::get_if<Accepted>(&Body)) {
    this->Chooser.recordLoadHint(From, Answer->Load);
    Id = Answer->RequestId;
  } else if (const auto *Piece = std::get_if<Chunk>(&Body)) {
    Id = Piece->RequestId;
  } else if (const auto *Ending = std::get_if<Finish>(&Body)) {
    this->Chooser.recordLoadHint(From, Ending->Load);
    Id = Ending->RequestId;
  } else {
    return;
  }
  Call *Open = this->find(Id);
  if (!Open || Open->Life.isOver()) {
    this->Ports.Stats.add("gateway_late_messages_total");
    return;
  }
  if (const auto *Answer = std::get_if<Accepted>(&Body))
    Open->Life.handleAccepted(From, *Answer, Now);
  else if (const auto *Piece = std::get_if<Chunk>(&Body))
    Open->Life.handleChunk(From, *Piece, Now);
  else if (const auto *Ending = std::get_if<Finish>(&Body))
    Open->Life.handleFinish(From, *Ending, Now);
  this->perform(*Open);
}

void OnlineCalls::handlePeerLoss(const std::string &Peer) {
  if (this->Chooser.handlePeerLoss(Peer)) {
    this->Ports.Stats.add("gateway_dispatchers_lost_total");
    this->Ports.Log.log(LogLevel::Warning, "a dispatcher was lost",
                        {{"peer", Peer}});
  }
  const Instant Now = this->Ports.Time.now();
  std::vector<std::string> Ids;
  for (const auto &[Id, Open] : this->Calls)
    Ids.push_back(Id);
  for (const std::string &Id : Ids) {
    if (Call *Open = this->find(Id)) {
      Open->Life.handlePeerLoss(Peer, Now);
      this->perform(*Open);
    }
  }
}

void OnlineCalls::callerDeparted(ExchangeId Exchange) {
  const auto Found = this->ByExchange.find(Exchange);
  if (Found == this->ByExchange.end())
    return;
  Call *Open = this->find(Found->second);
  this->Ports.Stats.add("gateway_callers_departed_total");
  Open->CallerGone = true;
  // A call that runs at most once goes on without its caller, because its
  // resend gets this call's outcome.
  if (Open->Intent)
    return;
  Open->Life.handleCallerDisconnect();
  this->perform(*Open);
  Finish Ending;
  Ending.Code = FinishCode::Cancelled;
  Ending.Detail = "The caller departed.";
  Ending.TotalTokens = Open->Life.tokenCount();
  this->settle(*Open, Ending);
  this->drop(std::string(Open->Life.work().RequestId));
}

void OnlineCalls::tick() {
  const Instant Now = this->Ports.Time.now();
  std::vector<std::string> Ids;
  for (const auto &[Id, Open] : this->Calls)
    if (!Open->IntentPending)
      Ids.push_back(Id);
  for (const std::string &Id : Ids) {
    Call *Open = this->find(Id);
    if (!Open)
      continue;
    if (Open->Ending) {
      if (Now >= Open->StoreUntil)
        this->answer(Id);
      continue;
    }
    Open->Life.tick(Now);
    if (!this->Chooser.unconfirmedPeers().empty())
      Open->Life.replaceSilentDispatcher(this->Chooser.unconfirmedPeers(), Now);
    this->perform(*Open);
  }
  this->Ports.Stats.set("gateway_open_requests",
                        static_cast<double>(this->Calls.size()));
}

void OnlineCalls::perform(Call &Open) {
  const std::string Id = Open.Life.work().RequestId;
  performActions([this, &Id] { return this->find(Id); },
                 [this](Call &Same, LifeCycleAction Action) {
                   this->performOne(Same, std::move(Action));
                 });
}

void OnlineCalls::performOne(Call &Open, LifeCycleAction Action) {
  if (const auto *Outgoing = std::get_if<SendToDispatcher>(&Action))
    this->send(Open, *Outgoing);
  else if (const auto *Fresh = std::get_if<DeliverTokens>(&Action))
    this->deliver(Open, *Fresh);
  else if (const auto *Last = std::get_if<EndRequest>(&Action))
    this->settle(Open, Last->Ending);
}

void OnlineCalls::send(Call &Open, const SendToDispatcher &Action) {
  const auto *Work = std::get_if<Submit>(&Action.Body);
  const Result<void> Sent = this->Ports.Peers.send(Action.Peer, Action.Body);
  if (!Work)
    return;
  if (!Sent) {
    this->Ports.Log.log(LogLevel::Warning, "a submission was not sent",
                        {{"peer", Action.Peer},
                         {"request_id", Work->RequestId},
                         {"error", Sent.error().Message}});
    Open.Life.handleSendFailure(Work->Attempt, this->Ports.Time.now());
    return;
  }
  this->Records.submitted(Open.Life, Action.Peer, Open.OutstandingAt,
                          this->Chooser.describe(Action.Peer, Work->Service));
  if (!Open.OutstandingAt.empty())
    this->Chooser.recordEnd(Open.OutstandingAt, Work->Service);
  Open.OutstandingAt = Action.Peer;
  this->Chooser.recordSubmission(Action.Peer, Work->Service);
}

void OnlineCalls::deliver(Call &Open, const DeliverTokens &Fresh) {
  if (!std::exchange(Open.FirstToken, true))
    this->Ports.Stats.observe(labelled("gateway_first_token_seconds", "class",
                                       Open.Life.work().Class),
                              secondsSince(Open.Begun, this->Ports.Time.now()));
  Open.Answer.deliver(Fresh.Texts);
  if (Open.CallerGone || !Open.Answer.isTooSlow())
    return;
  this->Ports.Stats.add("gateway_slow_readers_total");
  Open.Answer.abort();
  const ExchangeId Exchange = Open.Answer.exchange();
  this->callerDeparted(Exchange);
}

void OnlineCalls::settle(Call &Open, const Finish &Ending) {
  const Submit &Work = Open.Life.work();
  if (!Open.OutstandingAt.empty())
    this->Chooser.recordEnd(std::exchange(Open.OutstandingAt, {}),
                            Work.Service);
  const bool Ran = Ending.Ran != Execution::NotRun ||
                   Ending.Code == FinishCode::Ok || Ending.TotalTokens > 0;
  if (Open.Reserved > 0)
    this->Quotas.adjustCharge(
        Work.Customer, Open.Reserved,
        Ran ? static_cast<double>(Work.PromptTokens + Open.Life.tokenCount())
            : 0);
  Open.EndedWell = Ending.Code == FinishCode::Ok;
  this->Records.ended(Open.Life, Ending);
  this->Ports.Spans.setAttribute(Open.Span, "outcome",
                                 std::string(toName(Ending.Code)));
  this->Ports.Spans.setAttribute(Open.Span, "execution",
                                 std::string(toName(Ending.Ran)));
  this->Ports.Stats.add("gateway_requests_total{class=\"" + Work.Class +
                        "\",outcome=\"" + std::string(toName(Ending.Code)) +
                        "\",execution=\"" + std::string(toName(Ending.Ran)) +
                        "\"}");
  this->Ports.Stats.observe(
      labelled("gateway_request_seconds", "class", Work.Class),
      secondsSince(Open.Begun, this->Ports.Time.now()));
  if (Open.CallerGone && !Open.Intent)
    return;
  Open.Ending = Ending;
  Open.Reply = Open.Answer.compose(Ending);
  const std::string Id = Work.RequestId;
  if (!Open.Intent) {
    this->answer(Id);
    return;
  }
  const HttpReply Stored = Open.Answer.stored(Ending, Open.Reply);
  IntentOutcome Outcome;
  Outcome.Ran = Ending.Code == FinishCode::Ok ? Execution::Ran : Ending.Ran;
  Outcome.Status = static_cast<std::uint32_t>(Stored.Status);
  Outcome.ContentType = findHeader(Stored.Headers, "Content-Type");
  Outcome.Body = Stored.Body;
  Open.StoreUntil = this->Ports.Time.now() + StoreLimit;
  this->Ports.Intents->finish(
      *Open.Intent, Id, std::move(Outcome),
      [this, Id](const Result<void> &Done) {
        if (!Done)
          this->Ports.Log.log(
              LogLevel::Error, "an outcome was not stored",
              {{"request_id", Id}, {"error", Done.error().Message}});
        this->answer(Id);
      });
}

void OnlineCalls::answer(const std::string &RequestId) {
  Call *Open = this->find(RequestId);
  if (!Open || !Open->Ending)
    return;
  const Finish Ending = std::move(*Open->Ending);
  Open->Ending.reset();
  if (!Open->CallerGone)
    Open->Answer.send(Ending, std::move(Open->Reply));
  this->drop(std::string(RequestId));
}

void OnlineCalls::drop(const std::string &RequestId) {
  const auto Found = this->Calls.find(RequestId);
  if (Found == this->Calls.end())
    return;
  const std::unique_ptr<Call> Ended = std::move(Found->second);
  this->ByExchange.erase(Ended->Answer.exchange());
  this->Calls.erase(Found);
  this->Ports.Spans.end(Ended->Span, Ended->EndedWell);
}

} // namespace turmericpass
