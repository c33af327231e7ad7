#include "Gateway/OnlineCalls.h"

#include "Admission/FleetSource.h"
#include "Admission/PerformActions.h"
#include "Core/Hash.h"
#include "Gateway/AnswerWriter.h"
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

/// Bounds the memory. At the planned load a gateway holds a few hundred calls.
constexpr std::size_t MaxOpenCalls = 20'000;
/// How long an answer waits for its outcome to be stored. The intent ledger
/// continues to retry after this time.
constexpr Duration StoreTimeout = 500ms;

double secondsSince(Instant StartTime, Instant Now) {
  return std::chrono::duration<double>(Now - StartTime).count();
}

std::string formatMetricName(const std::string &Name, const std::string &Label,
                             std::string_view Value) {
  return Name + "{" + Label + "=\"" + std::string(Value) + "\"}";
}

} // namespace

struct OnlineCalls::OpenCall {
  RequestLifeCycle Life;
  AnswerWriter Answer;
  Tracer::SpanKey Span = 0;
  Instant StartTime;
  Instant Deadline;
  std::uint32_t ReservedTokens = 0;
  /// Set only for work that must run at most once.
  std::optional<IntentKey> Intent;
  std::string RequestHash;
  bool IntentPending = false;
  bool CallerDeparted = false;
  bool FirstTokenSent = false;
  bool Succeeded = false;
  /// The dispatcher at which the chooser counts this call as outstanding.
  std::string OutstandingPeer;
  /// Set from the end of the request until its answer is sent.
  std::optional<Finish> Ending;
  HttpReply Reply;
  Instant StoreDeadline;
};

OnlineCalls::OnlineCalls(GatewayDependencies Dependencies,
                         LifeCycleLimits Limits)
    : Dependencies(std::move(Dependencies)), Limits(Limits),
      Recorder(this->Dependencies.Records, this->Dependencies.Log),
      Chooser(this->Dependencies.Time, this->Dependencies.Zone),
      Quotas(this->Dependencies.Time) {
  this->configure();
}

OnlineCalls::~OnlineCalls() = default;

void OnlineCalls::configure() {
  const FleetSettings &Settings = this->Dependencies.Fleet.settings();
  const std::set<std::string> &Live = this->Dependencies.Fleet.liveNodes();
  this->Chooser.configure(Settings, Live,
                          this->Dependencies.Fleet.adoptedZones());
  this->Quotas.configure(Settings, Live.size());
  this->Resubmissions.setShare(Settings.Limits.RetryBudget);
}

OnlineCalls::OpenCall *OnlineCalls::find(const std::string &RequestId) {
  const auto Found = this->Calls.find(RequestId);
  return Found == this->Calls.end() ? nullptr : Found->second.get();
}

void OnlineCalls::refuse(ExchangeId Exchange, const Problem &Value,
                         const std::string &RequestId) {
  HttpReply Reply = toReply(Value);
  if (!RequestId.empty()) {
    this->Recorder.recordRefusal(RequestId, Value);
    Reply.Headers.emplace_back("X-Request-Id", RequestId);
  }
  this->Dependencies.Stats.add(
      formatMetricName("gateway_refused_total", "kind", Value.Kind));
  this->Dependencies.Http.reply(Exchange, std::move(Reply));
}

bool OnlineCalls::admit(ExchangeId Exchange, const OnlineRequest &Request) {
  const std::string &Id = Request.Work.RequestId;
  if (this->Dependencies.Fleet.quarantinedFingerprints().count(
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
      std::chrono::milliseconds(*Wait) > Request.TimeLimit) {
    this->refuse(Exchange,
                 {503, "overloaded", "The service is overloaded",
                  "The expected wait of " + std::to_string(*Wait) +
                      " ms is longer than the request's deadline.",
                  Execution::NotRun, *Wait},
                 Id);
    return false;
  }
  return this->takeFromQuota(Exchange, Request.Work.Customer,
                             Request.ReservedTokens, Id);
}

bool OnlineCalls::takeFromQuota(ExchangeId Exchange,
                                const std::string &Customer,
                                std::uint32_t Tokens,
                                const std::string &RequestId) {
  const Duration Wait = this->Quotas.tryAdmit(Customer, Tokens);
  if (Wait == Duration{0})
    return true;
  this->refuse(Exchange, makeQuotaExceededProblem(Wait), RequestId);
  return false;
}

void OnlineCalls::open(ExchangeId Exchange, OnlineRequest Request) {
  Submit &Work = Request.Work;
  Work.RequestId = this->Dependencies.Ids.longId();
  if (!this->admit(Exchange, Request))
    return;
  const Instant Now = this->Dependencies.Time.now();
  std::optional<SpanContext> Parent;
  if (!Request.Parent.TraceId.empty())
    Parent = SpanContext{Request.Parent.TraceId, Request.Parent.SpanId};
  const Tracer::SpanKey Span =
      this->Dependencies.Spans.start("gateway " + Work.Service, Parent);
  const SpanContext OwnContext = this->Dependencies.Spans.contextOf(Span);
  Work.Trace = {OwnContext.TraceId, OwnContext.SpanId};
  this->Dependencies.Spans.setAttribute(Span, "customer", Work.Customer);
  this->Dependencies.Spans.setAttribute(Span, "class", Work.Class);
  this->Dependencies.Spans.setAttribute(Span, "request_id", Work.RequestId);
  const HttpHeaders Common = {{"X-Request-Id", Work.RequestId},
                              {"traceparent", formatTraceparent(OwnContext)}};
  const std::string Id = Work.RequestId;
  auto NewCall = std::make_unique<OpenCall>(
      OpenCall{RequestLifeCycle(Work, Now + Request.TimeLimit, this->Limits,
                                this->lifeCycleCallbacks(Work)),
               AnswerWriter(this->Dependencies.Http, Exchange, Request, Common,
                            this->Dependencies.Time.wallMillis() / 1000,
                            !Work.Repeatable)});
  NewCall->Span = Span;
  NewCall->StartTime = Now;
  NewCall->Deadline = Now + Request.TimeLimit;
  NewCall->ReservedTokens = Request.ReservedTokens;
  OpenCall &Call = *this->Calls.emplace(Id, std::move(NewCall)).first->second;
  this->ByExchange.emplace(Exchange, Id);
  if (Work.Repeatable)
    this->startWork(Call);
  else
    this->beginIntent(Call, Request);
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
        this->Dependencies.Stats.add("gateway_resubmissions_total");
        return this->Resubmissions.take();
      }};
}

void OnlineCalls::startWork(OpenCall &Call) {
  this->Resubmissions.creditRequest();
  Call.Life.start(this->Dependencies.Time.now());
  this->perform(Call);
}

void OnlineCalls::beginIntent(OpenCall &Call, const OnlineRequest &Request) {
  const Submit &Work = Request.Work;
  if (!this->Dependencies.Intents) {
    this->refuseCall(Call,
                     {503, "unavailable", "The store is not available now",
                      "Calls that run at most once need the table service.",
                      Execution::NotRun, 0});
    return;
  }
  Call.Intent = IntentKey{Work.Customer, Work.IdempotencyKey};
  Call.RequestHash = Work.Fingerprint;
  Call.IntentPending = true;
  // The request id is unique, so it is also used as the attempt id.
  this->Dependencies.Intents->begin(
      *Call.Intent, Work.RequestId, Call.RequestHash,
      [this, Id = Work.RequestId](const Result<IntentDecision> &Decision) {
        this->handleIntentDecision(Id, Decision);
      });
}

void OnlineCalls::handleIntentDecision(const std::string &RequestId,
                                       const Result<IntentDecision> &Decision) {
  OpenCall *Call = this->find(RequestId);
  if (!Call)
    return;
  Call->IntentPending = false;
  if (!Decision) {
    this->refuseCall(*Call,
                     {503, "unavailable", "The store is not available now",
                      Decision.error().Message, Execution::NotRun, 1000});
    return;
  }
  if (Decision->Verdict != IntentVerdict::Proceed) {
    this->answerResend(*Call, *Decision);
    return;
  }
  if (!Call->CallerDeparted) {
    this->startWork(*Call);
    return;
  }
  // Nothing was sent. NotRun deletes the intent row, so that a resend may run.
  IntentOutcome NotRunOutcome;
  NotRunOutcome.Ran = Execution::NotRun;
  this->Dependencies.Intents->finish(*Call->Intent, RequestId, NotRunOutcome,
                                     [](const Result<void> &) {});
  this->drop(RequestId);
}

void OnlineCalls::answerResend(OpenCall &Call, const IntentDecision &Decision) {
  if (Decision.Verdict != IntentVerdict::Replay) {
    const std::int64_t Age =
        this->Dependencies.Time.wallMillis() - Decision.SinceMs;
    this->refuseCall(Call, makeIntentProblem(Decision.Verdict, Age,
                                             Call.Deadline - Call.StartTime));
    return;
  }
  HttpReply Reply;
  Reply.Status =
      Decision.Outcome.Status ? static_cast<int>(Decision.Outcome.Status) : 502;
  Reply.Headers = {{"Content-Type", Decision.Outcome.ContentType},
                   {"Idempotency-Replayed", "true"}};
  Reply.Body = Decision.Outcome.Body;
  this->Dependencies.Stats.add("gateway_replayed_total");
  this->Recorder.recordReplay(Call.Life.work().RequestId);
  this->Dependencies.Http.reply(Call.Answer.exchange(), std::move(Reply));
  this->Quotas.refundRequest(Call.Life.work().Customer, Call.ReservedTokens);
  this->drop(std::string(Call.Life.work().RequestId));
}

void OnlineCalls::refuseCall(OpenCall &Call, const Problem &Value) {
  this->refuse(Call.Answer.exchange(), Value, Call.Life.work().RequestId);
  this->Quotas.refundRequest(Call.Life.work().Customer, Call.ReservedTokens);
  this->drop(std::string(Call.Life.work().RequestId));
}

void OnlineCalls::received(const std::string &From, const Message &Body) {
  const Instant Now = this->Dependencies.Time.now();
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
  OpenCall *Call = this->find(Id);
  if (!Call || Call->Life.isOver()) {
    this->Dependencies.Stats.add("gateway_late_messages_total");
    return;
  }
  if (const auto *Answer = std::get_if<Accepted>(&Body))
    Call->Life.handleAccepted(From, *Answer, Now);
  else if (const auto *Piece = std::get_if<Chunk>(&Body))
    Call->Life.handleChunk(From, *Piece, Now);
  else if (const auto *Ending = std::get_if<Finish>(&Body))
    Call->Life.handleFinish(From, *Ending, Now);
  this->perform(*Call);
}

void OnlineCalls::handlePeerLoss(const std::string &Peer) {
  if (this->Chooser.handlePeerLoss(Peer)) {
    this->Dependencies.Stats.add("gateway_dispatchers_lost_total");
    this->Dependencies.Log.log(LogLevel::Warning,
                               "The connection to a dispatcher was lost.",
                               {{"peer", Peer}});
  }
  const Instant Now = this->Dependencies.Time.now();
  std::vector<std::string> Ids;
  for (const auto &[Id, Call] : this->Calls)
    Ids.push_back(Id);
  for (const std::string &Id : Ids) {
    if (OpenCall *Call = this->find(Id)) {
      Call->Life.handlePeerLoss(Peer, Now);
      this->perform(*Call);
    }
  }
}

void OnlineCalls::callerDeparted(ExchangeId Exchange) {
  const auto Found = this->ByExchange.find(Exchange);
  if (Found == this->ByExchange.end())
    return;
  OpenCall *Call = this->find(Found->second);
  this->Dependencies.Stats.add("gateway_callers_departed_total");
  Call->CallerDeparted = true;
  // A call that runs at most once continues after its caller disconnects,
  // because a resend is answered with the outcome of this call.
  if (Call->Intent)
    return;
  Call->Life.handleCallerDisconnect();
  this->perform(*Call);
  Finish Ending;
  Ending.Code = FinishCode::Cancelled;
  Ending.Detail = "The caller departed.";
  Ending.TotalTokens = Call->Life.tokenCount();
  this->settle(*Call, Ending);
  this->drop(std::string(Call->Life.work().RequestId));
}

void OnlineCalls::tick() {
  const Instant Now = this->Dependencies.Time.now();
  std::vector<std::string> Ids;
  for (const auto &[Id, Call] : this->Calls)
    if (!Call->IntentPending)
      Ids.push_back(Id);
  for (const std::string &Id : Ids) {
    OpenCall *Call = this->find(Id);
    if (!Call)
      continue;
    if (Call->Ending) {
      if (Now >= Call->StoreDeadline)
        this->answer(Id);
      continue;
    }
    Call->Life.tick(Now);
    if (!this->Chooser.unconfirmedPeers().empty())
      Call->Life.replaceSilentDispatcher(this->Chooser.unconfirmedPeers(), Now);
    this->perform(*Call);
  }
  this->Dependencies.Stats.set("gateway_open_requests",
                               static_cast<double>(this->Calls.size()));
}

void OnlineCalls::perform(OpenCall &Call) {
  const std::string Id = Call.Life.work().RequestId;
  performActions([this, &Id] { return this->find(Id); },
                 [this](OpenCall &Current, LifeCycleAction Action) {
                   this->performAction(Current, std::move(Action));
                 });
}

void OnlineCalls::performAction(OpenCall &Call, LifeCycleAction Action) {
  if (const auto *Outgoing = std::get_if<SendToDispatcher>(&Action))
    this->send(Call, *Outgoing);
  else if (const auto *Tokens = std::get_if<DeliverTokens>(&Action))
    this->deliver(Call, *Tokens);
  else if (const auto *Last = std::get_if<EndRequest>(&Action))
    this->settle(Call, Last->Ending);
}

void OnlineCalls::send(OpenCall &Call, const SendToDispatcher &Action) {
  const auto *Work = std::get_if<Submit>(&Action.Body);
  const Result<void> Sent =
      this->Dependencies.Peers.send(Action.Peer, Action.Body);
  if (!Work)
    return;
  if (!Sent) {
    this->Dependencies.Log.log(LogLevel::Warning,
                               "Could not send a request to a dispatcher.",
                               {{"peer", Action.Peer},
                                {"request_id", Work->RequestId},
                                {"error", Sent.error().Message}});
    Call.Life.handleSendFailure(Work->Attempt, this->Dependencies.Time.now());
    return;
  }
  this->Recorder.recordSubmission(
      Call.Life, Action.Peer, Call.OutstandingPeer,
      this->Chooser.describe(Action.Peer, Work->Service));
  if (!Call.OutstandingPeer.empty())
    this->Chooser.recordEnd(Call.OutstandingPeer, Work->Service);
  Call.OutstandingPeer = Action.Peer;
  this->Chooser.recordSubmission(Action.Peer, Work->Service);
}

void OnlineCalls::deliver(OpenCall &Call, const DeliverTokens &Tokens) {
  if (!std::exchange(Call.FirstTokenSent, true))
    this->Dependencies.Stats.observe(
        formatMetricName("gateway_first_token_seconds", "class",
                         Call.Life.work().Class),
        secondsSince(Call.StartTime, this->Dependencies.Time.now()));
  Call.Answer.deliver(Tokens.Texts);
  if (Call.CallerDeparted || !Call.Answer.isTooSlow())
    return;
  this->Dependencies.Stats.add("gateway_slow_readers_total");
  Call.Answer.abort();
  const ExchangeId Exchange = Call.Answer.exchange();
  this->callerDeparted(Exchange);
}

void OnlineCalls::settle(OpenCall &Call, const Finish &Ending) {
  const Submit &Work = Call.Life.work();
  if (!Call.OutstandingPeer.empty())
    this->Chooser.recordEnd(std::exchange(Call.OutstandingPeer, {}),
                            Work.Service);
  const bool Ran = Ending.Ran != Execution::NotRun ||
                   Ending.Code == FinishCode::Ok || Ending.TotalTokens > 0;
  if (Call.ReservedTokens > 0)
    this->Quotas.adjustCharge(
        Work.Customer, Call.ReservedTokens,
        Ran ? static_cast<double>(Work.PromptTokens + Call.Life.tokenCount())
            : 0);
  Call.Succeeded = Ending.Code == FinishCode::Ok;
  this->Recorder.recordOutcome(Call.Life, Ending);
  this->Dependencies.Spans.setAttribute(Call.Span, "outcome",
                                        std::string(toName(Ending.Code)));
  this->Dependencies.Spans.setAttribute(Call.Span, "execution",
                                        std::string(toName(Ending.Ran)));
  this->Dependencies.Stats.add(
      "gateway_requests_total{class=\"" + Work.Class + "\",outcome=\"" +
      std::string(toName(Ending.Code)) + "\",execution=\"" +
      std::string(toName(Ending.Ran)) + "\"}");
  this->Dependencies.Stats.observe(
      formatMetricName("gateway_request_seconds", "class", Work.Class),
      secondsSince(Call.StartTime, this->Dependencies.Time.now()));
  if (Call.CallerDeparted && !Call.Intent)
    return;
  Call.Ending = Ending;
  Call.Reply = Call.Answer.compose(Ending);
  const std::string Id = Work.RequestId;
  if (!Call.Intent) {
    this->answer(Id);
    return;
  }
  const HttpReply Stored = Call.Answer.composeStoredReply(Ending, Call.Reply);
  IntentOutcome Outcome;
  Outcome.Ran = Ending.Code == FinishCode::Ok ? Execution::Ran : Ending.Ran;
  Outcome.Status = static_cast<std::uint32_t>(Stored.Status);
  Outcome.ContentType = findHeader(Stored.Headers, "Content-Type");
  Outcome.Body = Stored.Body;
  Call.StoreDeadline = this->Dependencies.Time.now() + StoreTimeout;
  this->Dependencies.Intents->finish(
      *Call.Intent, Id, std::move(Outcome),
      [this, Id](const Result<void> &Done) {
        if (!Done)
          this->Dependencies.Log.log(
              LogLevel::Error, "Could not store the outcome of a request.",
              {{"request_id", Id}, {"error", Done.error().Message}});
        this->answer(Id);
      });
}

void OnlineCalls::answer(const std::string &RequestId) {
  OpenCall *Call = this->find(RequestId);
  if (!Call || !Call->Ending)
    return;
  const Finish Ending = std::move(*Call->Ending);
  Call->Ending.reset();
  if (!Call->CallerDeparted)
    Call->Answer.send(Ending, std::move(Call->Reply));
  this->drop(std::string(RequestId));
}

void OnlineCalls::drop(const std::string &RequestId) {
  const auto Found = this->Calls.find(RequestId);
  if (Found == this->Calls.end())
    return;
  const std::unique_ptr<OpenCall> Ended = std::move(Found->second);
  this->ByExchange.erase(Ended->Answer.exchange());
  this->Calls.erase(Found);
  this->Dependencies.Spans.end(Ended->Span, Ended->Succeeded);
}

} // namespace turmericpass
