#include "Batcher/BatcherDaemon.h"

#include "Admission/FleetSource.h"
#include "Admission/PerformActions.h"
#include "Batcher/FinishRule.h"
#include "Control/DecisionLog.h"
#include "Jobs/BatchItem.h"
#include "Loop/EventLoop.h"
#include "Peers/PeerPort.h"
#include "Telemetry/Logger.h"
#include "Telemetry/Metrics.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

namespace {

using namespace std::chrono_literals;

/// Bounds the items at dispatchers of one batcher.
constexpr std::size_t MaxRunning = 1024;
constexpr Duration TickPeriod = 20ms;
constexpr Duration StandstillTime = 500ms;
constexpr Duration StoreTickPeriod = 100ms;
/// A batch outlasts any loss of dispatchers; its due time ends it.
constexpr Duration Patience = std::chrono::hours(24);
/// A service that the settings do not have may be about to be applied.
constexpr Duration UnknownServiceWait = 5s;
constexpr Duration StoreWait = 1s;
/// The idempotency keys of callers hold no space, so that none of them meets
/// the intent of an item.
constexpr std::string_view IntentPrefix = "batch item ";

} // namespace

BatcherDaemon::BatcherDaemon(BatcherPorts Ports)
    : Ports(std::move(Ports)), Chooser(this->Ports.Time, this->Ports.Zone),
      Window(this->Ports.Time) {
  this->Limits.NoServerTimeout = Patience;
  this->Ports.Worker.setDecisionCallback(
      [this](const std::string &Subject, const char *Kind, std::string Text) {
        this->Ports.Records.record(Subject, Kind, std::move(Text));
      });
  this->configure();
}

BatcherDaemon::~BatcherDaemon() {
  this->Ports.Worker.setDecisionCallback({});
  this->Ports.Loop.cancel(this->TickTimer);
  this->Ports.Loop.cancel(this->StoreTimer);
}

void BatcherDaemon::start() {
  this->TickTimer =
      this->Ports.Loop.every(TickPeriod, [this] { this->tick(); });
  this->StoreTimer =
      this->Ports.Loop.every(StoreTickPeriod, [this] { this->storeTick(); });
}

void BatcherDaemon::configure() {
  this->Chooser.configure(this->Ports.Fleet.settings(),
                          this->Ports.Fleet.liveNodes(),
                          this->Ports.Fleet.adoptedZones());
}

void BatcherDaemon::storeTick() {
  this->configure();
  this->Ports.Worker.tick();
  this->withdraw();
  this->feed();
  Metrics &Stats = this->Ports.Stats;
  Stats.set("batcher_chunks", static_cast<double>(this->Ports.Worker.chunks()));
  Stats.set("batcher_running_items", static_cast<double>(this->Calls.size()));
  Stats.set("batcher_uncommitted_result_bytes",
            static_cast<double>(this->Ports.Worker.resultBytes()));
  Stats.set("batcher_commits",
            static_cast<double>(this->Ports.Worker.commits()));
  Stats.set("batcher_stale_commits",
            static_cast<double>(this->Ports.Worker.staleCommits()));
}

void BatcherDaemon::tick() {
  const Instant Now = this->Ports.Time.now();
  // After a standstill the dispatchers' messages wait to be read; they are no
  // silence.
  if (Now - std::exchange(this->LastTick, Now) > StandstillTime)
    return;
  std::vector<std::string> Ids;
  for (const auto &[Id, Call] : this->Calls)
    if (!Call->Storing)
      Ids.push_back(Id);
  for (const std::string &Id : Ids) {
    if (ItemCall *Call = this->find(Id)) {
      Call->Life.tick(Now);
      // A vanished VM closes no connection, so that handlePeerLoss() never
      // comes.
      if (!this->Chooser.unconfirmedPeers().empty())
        Call->Life.replaceSilentDispatcher(this->Chooser.unconfirmedPeers(),
                                           Now);
      this->perform(*Call);
    }
  }
  this->feed();
}

ItemCall *BatcherDaemon::find(const std::string &Id) {
  const auto Found = this->Calls.find(Id);
  return Found == this->Calls.end() ? nullptr : Found->second.get();
}

bool BatcherDaemon::hasRoom(const std::string &Service) {
  return this->Chooser.choose(Service, "", this->Window.shut(Service))
      .has_value();
}

void BatcherDaemon::feed() {
  // An item that ends at once makes room, which must not recurse into here.
  if (std::exchange(this->Feeding, true))
    return;
  std::map<std::string, WorkItem> Again;
  Again.swap(this->Blocked);
  this->BlockedJobs.clear();
  for (auto &[Job, Item] : Again)
    this->open(std::move(Item));
  while (this->Calls.size() < MaxRunning) {
    std::optional<WorkItem> Item = this->Ports.Worker.next(this->BlockedJobs);
    if (!Item)
      break;
    this->open(std::move(*Item));
  }
  this->Feeding = false;
}

void BatcherDaemon::open(WorkItem Item) {
  Result<ItemRequest> Request = readItem(Item, this->Ports.Fleet.settings());
  if (!Request && Request.error().Code == ErrorCode::NotFound) {
    ItemOutcome Outcome = endedWith(customIdOf(Item.Line), "unknown_service",
                                    Request.error().Message);
    Outcome.End = ItemEnd::Failed;
    Outcome.MinDelay = UnknownServiceWait;
    return this->Ports.Worker.finish(Item.Id, Outcome);
  }
  if (!Request)
    return this->Ports.Worker.finish(
        Item.Id, endedWith(customIdOf(Item.Line), "invalid_item",
                           Request.error().Message));
  if (this->Ports.Fleet.quarantinedFingerprints().contains(
          Request->Work.Fingerprint))
    return this->Ports.Worker.finish(
        Item.Id, endedWith(Request->CustomId, "quarantined",
                           "Servers crashed while they ran equal items."));
  if (!this->hasRoom(Request->Work.Service)) {
    this->BlockedJobs.insert(Item.JobId);
    this->Blocked[Item.JobId] = std::move(Item);
    return;
  }
  this->begin(std::move(Item), std::move(*Request));
}

void BatcherDaemon::begin(WorkItem Item, ItemRequest Request) {
  Submit &Work = Request.Work;
  Work.RequestId = this->Ports.Ids.longId();
  const Tracer::SpanKey Span =
      this->Ports.Spans.start("batcher " + Work.Service, std::nullopt);
  const SpanContext Own = this->Ports.Spans.contextOf(Span);
  Work.Trace = {Own.TraceId, Own.SpanId};
  this->Ports.Spans.setAttribute(Span, "job", Item.JobId);
  this->Ports.Spans.setAttribute(Span, "request_id", Work.RequestId);
  const std::int64_t LeftMs =
      std::max<std::int64_t>(Item.DueMs - this->Ports.Time.wallMillis(), 0);
  const Instant Deadline =
      this->Ports.Time.now() + std::chrono::milliseconds(LeftMs);
  const std::string Id = Work.RequestId;
  this->ByItem[Item.Id] = Id;
  RequestLifeCycle Life(Work, Deadline, this->Limits,
                        this->lifeCycleCallbacks(Work, Item.Id));
  auto Call = std::make_unique<ItemCall>(
      ItemCall{std::move(Item), std::move(Request), std::move(Life), Span});
  ItemCall &Added = *(this->Calls[Id] = std::move(Call));
  if (Added.Request.Work.Repeatable)
    this->startWork(Added);
  else
    this->beginIntent(Added);
}

LifeCycleCallbacks BatcherDaemon::lifeCycleCallbacks(const Submit &Work,
                                                     ItemId Item) {
  return {[this, Item, Service = Work.Service, Key = Work.RequestId](
              std::set<std::string> Tried) -> std::optional<std::string> {
            // A job that stops gets no submission and no resubmission.
            if (!this->Ports.Worker.mayStart(Item))
              return std::nullopt;
            Tried.merge(this->Window.shut(Service));
            return this->Chooser.choose(Service, Key, Tried);
          },
          // A batch item waits for a retry rather than fails; the window and
          // the back-off of the item bound the extra work.
          [] { return true; }};
}

void BatcherDaemon::startWork(ItemCall &Call) {
  Call.Life.start(this->Ports.Time.now());
  this->perform(Call);
}

void BatcherDaemon::beginIntent(ItemCall &Call) {
  Call.Storing = true;
  const Submit &Work = Call.Request.Work;
  this->Ports.Intents.begin(
      {Work.Customer, std::string(IntentPrefix) + Call.Item.Name},
      Work.RequestId, Work.Fingerprint,
      [this, Id = Work.RequestId](const Result<IntentDecision> &Decision) {
        this->intentDecided(Id, Decision);
      });
}

void BatcherDaemon::intentDecided(const std::string &Id,
                                  const Result<IntentDecision> &Decision) {
  ItemCall *Call = this->find(Id);
  if (!Call)
    return;
  Call->Storing = false;
  if (!Decision)
    return this->close(Id, turnedAway(StoreWait));
  if (Decision->Verdict != IntentVerdict::Proceed)
    return this->close(Id, outcomeOf(*Decision, Call->Request));
  if (!Call->Withdrawn)
    return this->startWork(*Call);
  this->settleUnsent(*Call);
}

void BatcherDaemon::received(const std::string &From, const Message &Body) {
  const Instant Now = this->Ports.Time.now();
  const auto *Answer = std::get_if<Accepted>(&Body);
  const auto *Piece = std::get_if<Chunk>(&Body);
  const auto *Ending = std::get_if<Finish>(&Body);
  if (!Answer && !Piece && !Ending)
    return;
  const std::string &Id = Answer  ? Answer->RequestId
                          : Piece ? Piece->RequestId
                                  : Ending->RequestId;
  if (Answer || Ending)
    this->Chooser.recordLoadHint(From, Answer ? Answer->Load : Ending->Load);
  ItemCall *Call = this->find(Id);
  if (!Call || Call->Life.isOver())
    return;
  if (Answer) {
    Call->Life.handleAccepted(From, *Answer, Now);
  } else if (Piece) {
    Call->Life.handleChunk(From, *Piece, Now);
  } else {
    const bool Refused = Ending->Code == FinishCode::Overloaded ||
                         Ending->Code == FinishCode::NoServer;
    if (Refused)
      this->Window.refused(From, Call->Request.Work.Service,
                           std::chrono::milliseconds(Ending->RetryAfterMs));
    Call->Hint = Ending->Load;
    if (Call->OutstandingAt == From)
      this->leave(*Call);
    Call->Life.handleFinish(From, *Ending, Now);
  }
  this->perform(*Call);
  if (Ending)
    this->feed();
}

void BatcherDaemon::handlePeerLoss(const std::string &Peer) {
  this->Chooser.handlePeerLoss(Peer);
  this->configure();
  std::vector<std::string> Ids;
  for (const auto &[Id, Call] : this->Calls)
    Ids.push_back(Id);
  const Instant Now = this->Ports.Time.now();
  for (const std::string &Id : Ids) {
    if (ItemCall *Call = this->find(Id)) {
      if (Call->OutstandingAt == Peer)
        this->leave(*Call);
      Call->Life.handlePeerLoss(Peer, Now);
      this->perform(*Call);
    }
  }
}

void BatcherDaemon::perform(ItemCall &Call) {
  const std::string Id = Call.Request.Work.RequestId;
  performActions([this, &Id] { return this->find(Id); },
                 [this](ItemCall &Same, LifeCycleAction Action) {
                   this->performOne(Same, std::move(Action));
                 });
}

void BatcherDaemon::performOne(ItemCall &Call, LifeCycleAction Action) {
  if (const auto *Outgoing = std::get_if<SendToDispatcher>(&Action)) {
    this->send(Call, *Outgoing);
  } else if (const auto *Fresh = std::get_if<DeliverTokens>(&Action)) {
    for (const std::string &Text : Fresh->Texts)
      Call.Text += Text;
  } else if (const auto *Last = std::get_if<EndRequest>(&Action)) {
    this->settle(Call, Last->Ending);
  }
}

void BatcherDaemon::send(ItemCall &Call, const SendToDispatcher &Action) {
  const Result<void> Sent = this->Ports.Peers.send(Action.Peer, Action.Body);
  const auto *Work = std::get_if<Submit>(&Action.Body);
  if (!Work) {
    // What is cancelled for its silence no longer fills the window; the item
    // would otherwise wait for room that it takes up itself.
    if (Call.OutstandingAt == Action.Peer)
      this->leave(Call);
    return;
  }
  if (!Sent) {
    this->Window.refused(Action.Peer, Work->Service, Duration{0});
    return Call.Life.handleSendFailure(Work->Attempt, this->Ports.Time.now());
  }
  this->leave(Call);
  Call.OutstandingAt = Action.Peer;
  this->Chooser.recordSubmission(Action.Peer, Work->Service);
  this->Window.submitted(Action.Peer, Work->Service);
}

void BatcherDaemon::leave(ItemCall &Call) {
  if (Call.OutstandingAt.empty())
    return;
  const std::string Peer = std::exchange(Call.OutstandingAt, {});
  this->Chooser.recordEnd(Peer, Call.Request.Work.Service);
  this->Window.ended(Peer, Call.Request.Work.Service, Call.Hint);
}

void BatcherDaemon::settle(ItemCall &Call, const Finish &Ending) {
  this->leave(Call);
  const std::string Id = Call.Request.Work.RequestId;
  std::string Answer =
      answerBody(Call, Ending, this->Ports.Time.wallMillis() / 1000);
  const ItemOutcome Outcome = outcomeOf(Ending, Call.Request, Answer);
  if (Call.Request.Work.Repeatable)
    return this->close(Id, Outcome);
  IntentOutcome Kept;
  Kept.Ran = Ending.Code == FinishCode::Ok ? Execution::Ran : Ending.Ran;
  Kept.Status = Outcome.Result.Status;
  Kept.ContentType = Ending.ContentType;
  Kept.Body = std::move(Answer);
  Call.Storing = true;
  const Submit &Work = Call.Request.Work;
  this->Ports.Intents.finish(
      {Work.Customer, std::string(IntentPrefix) + Call.Item.Name}, Id,
      std::move(Kept),
      [this, Id, Outcome](const Result<void> &) { this->close(Id, Outcome); });
}

void BatcherDaemon::close(const std::string &Id, const ItemOutcome &Outcome) {
  const auto Found = this->Calls.find(Id);
  if (Found == this->Calls.end())
    return;
  const std::unique_ptr<ItemCall> Ended = std::move(Found->second);
  this->Calls.erase(Found);
  this->ByItem.erase(Ended->Item.Id);
  this->Ports.Spans.end(Ended->Span, Outcome.End == ItemEnd::Final);
  this->Ports.Stats.add(
      Outcome.End == ItemEnd::Final    ? "batcher_items_total{end=\"final\"}"
      : Outcome.End == ItemEnd::Failed ? "batcher_items_total{end=\"failed\"}"
                                       : "batcher_items_total{end=\"waits\"}");
  this->Ports.Worker.finish(Ended->Item.Id, Outcome);
}

void BatcherDaemon::withdraw() {
  for (const ItemId Item : this->Ports.Worker.takeWithdrawnItems()) {
    std::erase_if(this->Blocked, [&](const auto &Entry) {
      if (Entry.second.Id != Item)
        return false;
      this->Ports.Worker.finish(Item, turnedAway(Duration{0}));
      return true;
    });
    const auto Found = this->ByItem.find(Item);
    if (Found == this->ByItem.end())
      continue;
    const std::string Id = Found->second;
    ItemCall &Call = *this->find(Id);
    Call.Withdrawn = true;
    if (Call.Request.Work.Repeatable) {
      Call.Life.handleCallerDisconnect();
      this->perform(Call);
      this->leave(Call);
      this->close(Id, turnedAway(Duration{0}));
    } else if (!Call.Storing && Call.Life.submissions() == 0) {
      this->settleUnsent(Call);
    }
    // An item that must run at most once and was sent keeps its sender to the
    // end, so that its outcome is stored.
  }
}

void BatcherDaemon::settleUnsent(ItemCall &Call) {
  Finish Unsent;
  Unsent.RequestId = Call.Request.Work.RequestId;
  Unsent.Code = FinishCode::Cancelled;
  Unsent.Ran = Execution::NotRun;
  this->settle(Call, Unsent);
}

void BatcherDaemon::drain() {
  this->Ports.Worker.drain();
  for (const auto &[Job, Item] : std::exchange(this->Blocked, {}))
    this->Ports.Worker.finish(Item.Id, turnedAway(Duration{0}));
}

bool BatcherDaemon::isIdle() const {
  return this->Calls.empty() && this->Ports.Worker.isIdle();
}

} // namespace turmericpass
