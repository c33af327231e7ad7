#include "StandIns/StandInEngine.h"

#include "Http/PercentEncoding.h"
#include "Loop/EventLoop.h"
#include "StandIns/EngineEvents.h"
#include "StandIns/EnginePrompt.h"
#include "Telemetry/Logger.h"

#include <charconv>
#include <utility>

namespace turmericpass {

struct StandInEngine::Run {
  ExchangeId Id = 0;
  std::string Tag;
  EnginePrompt Prompt;
  /// The index of the next token, resumed ones counted.
  std::uint64_t Next = 0;
  std::uint64_t Sent = 0;
  bool Started = false;
  std::vector<std::uint32_t> Answer;
};

namespace {

using Json = nlohmann::json;
using namespace std::chrono_literals;

/// Bounds the memory for counts by tag in long runs.
constexpr std::size_t MaxTags = 200000;

/// How often a frozen engine looks whether it still is.
constexpr Duration FreezePoll = 10ms;

/// Time for written bytes to leave before a connection is cut.
constexpr Duration FlushTime = 2ms;

constexpr std::string_view CrashMark = "[[crash]]";

Duration fromMillis(double Millis) {
  return Duration(static_cast<std::int64_t>(Millis * 1000));
}

HttpReply jsonReply(int Status, const Json &Body) {
  return {Status, {{"Content-Type", "application/json"}}, Body.dump()};
}

} // namespace

StandInEngine::StandInEngine(EventLoop &Loop, Logger &Log,
                             const EngineOptions &Options,
                             std::function<void()> Crash)
    : Loop(Loop), Log(Log), Options(Options), Crash(std::move(Crash)),
      Faults(Loop.clock(), {"crash", "freeze", "slow", "cut", "garbage",
                            "endless", "wrong_tag", "refuse"}),
      Orders(Options.Model, Options.CheckFencing),
      Cache(Loop.clock(), Options.CacheBlocks, fromMillis(Options.CacheLagMs),
            Options.CacheGapEvery),
      Batch(Loop, Options.Slots, this->batchEvents()), Server(Loop, {}) {
  for (const char *Name :
       {"received", "started", "finished", "cancelled", "refused", "tokens",
        "prefill_tokens", "cached_tokens"})
    this->Counters[Name] = 0;
  this->Server.onRequest([this](ExchangeId Id, const HttpRequest &Request) {
    this->handle(Id, Request);
  });
  this->Server.onCallerDisconnected(
      [this](ExchangeId Id) { this->departed(Id); });
  this->sampleLoad();
  if (Options.LoadLagMs > 0)
    this->SampleTimer = Loop.every(fromMillis(Options.LoadLagMs),
                                   [this] { this->sampleLoad(); });
}

StandInEngine::~StandInEngine() {
  this->Loop.cancel(this->SampleTimer);
  this->Loop.cancel(this->HeldTimer);
}

Result<std::uint16_t> StandInEngine::listen(const std::string &Address,
                                            std::uint16_t Port) {
  return this->Server.listen(Address, Port);
}

EngineBatch::Events StandInEngine::batchEvents() {
  EngineBatch::Events Events;
  Events.Started = [this](EngineBatch::Id Id) { return this->start(Id); };
  Events.Token = [this](EngineBatch::Id Id) { return this->advance(Id); };
  Events.Frozen = [this] { return this->Faults.isOn("freeze"); };
  Events.StepLength = [this] {
    return fromMillis(this->Options.TokenMs * this->Faults.factor("slow", 1));
  };
  return Events;
}

void StandInEngine::handle(ExchangeId Id, const HttpRequest &Request) {
  if (Request.Path == "/fault") {
    this->Server.reply(Id, this->setFault(Request));
  } else if (Request.Path == "/stats") {
    this->Server.reply(Id, jsonReply(200, this->stats()));
  } else if (this->Faults.isOn("freeze")) {
    this->Held.emplace_back(Id, Request);
    this->handleHeld();
  } else {
    this->route(Id, Request);
  }
}

void StandInEngine::handleHeld() {
  if (this->Held.empty() || this->HeldTimer != 0)
    return;
  this->HeldTimer = this->Loop.after(FreezePoll, [this] {
    this->HeldTimer = 0;
    if (this->Faults.isOn("freeze")) {
      this->handleHeld();
      return;
    }
    for (const auto &[Id, Request] : std::exchange(this->Held, {}))
      this->route(Id, Request);
  });
}

void StandInEngine::route(ExchangeId Id, const HttpRequest &Request) {
  if (Request.Path == "/v1/chat/completions")
    this->complete(Id, Request, true);
  else if (Request.Path == "/v1/completions")
    this->complete(Id, Request, false);
  else if (Request.Path == "/load")
    this->Server.reply(Id, this->describeLoad());
  else if (Request.Path == "/cache-events")
    this->Server.reply(Id, this->describeCacheEvents(Request));
  else if (Request.Path == "/orders")
    this->Server.reply(Id, this->Orders.handle(Request.Body));
  else
    this->Server.reply(Id, jsonReply(404, {{"error", "No such path."}}));
}

void StandInEngine::complete(ExchangeId Id, const HttpRequest &Request,
                             bool Chat) {
  auto Opened = std::make_unique<Run>();
  Opened->Id = Id;
  Opened->Tag = findHeader(Request.Headers, "X-Request-Id");
  ++this->Counters["received"];
  if (Request.Body.find(CrashMark) != std::string::npos) {
    this->Log.log(LogLevel::Error, "Crashes on a request.",
                  {{"tag", Opened->Tag}});
    this->Crash();
    return;
  }
  const std::string Tag = this->replyTag(*Opened);
  Result<EnginePrompt> Prompt = readEnginePrompt(Request.Body, Chat);
  if (this->Faults.isOn("refuse") ||
      (Prompt && this->Orders.isUnloaded(Prompt->Model))) {
    ++this->Counters["refused"];
    this->answerError(Id, 503, "The engine does not admit the request.", Tag);
    return;
  }
  if (!Prompt) {
    this->answerError(Id, 400, Prompt.error().Message, Tag);
    return;
  }
  Opened->Prompt = std::move(*Prompt);
  Opened->Next = Opened->Prompt.ResumeTokenIds.size();
  Opened->Answer = Opened->Prompt.ResumeTokenIds;
  this->Runs.emplace(Id, std::move(Opened));
  this->Batch.add(Id);
}

void StandInEngine::answerError(ExchangeId Id, int Status,
                                const std::string &Text,
                                const std::string &Tag) {
  HttpReply Reply = jsonReply(Status, {{"error", Text}});
  Reply.Headers.emplace_back("X-Request-Id", Tag);
  if (Status == 503)
    Reply.Headers.emplace_back("X-Admitted", "false");
  this->Server.reply(Id, Reply);
}

std::string StandInEngine::replyTag(const Run &Open) const {
  return this->Faults.isOn("wrong_tag") ? "wrong-" + Open.Tag : Open.Tag;
}

Duration StandInEngine::start(ExchangeId Id) {
  Run &Open = *this->Runs.at(Id);
  Open.Started = true;
  ++this->Counters["started"];
  if (this->RunsByTag.size() < MaxTags || this->RunsByTag.contains(Open.Tag))
    ++this->RunsByTag[Open.Tag];
  const std::size_t CachedBytes = this->Cache.use(Open.Prompt.Text);
  const std::uint32_t Cached =
      CachedBytes == 0
          ? 0
          : promptTokens(Open.Prompt.Text.substr(0, CachedBytes)) - 1;
  const std::uint32_t Total =
      promptTokens(Open.Prompt.Text) +
      static_cast<std::uint32_t>(Open.Prompt.ResumeTokenIds.size());
  this->Counters["prefill_tokens"] += Total - Cached;
  this->Counters["cached_tokens"] += Cached;
  this->Log.log(LogLevel::Info, "Started.",
                {{"tag", Open.Tag},
                 {"resumed", Open.Prompt.ResumeTokenIds.size()},
                 {"prefill_tokens", Total - Cached},
                 {"cached_tokens", Cached}});
  return fromMillis(this->Options.PrefillMsPerToken * (Total - Cached) *
                    this->Faults.factor("slow", 1));
}

bool StandInEngine::advance(ExchangeId Id) {
  Run &Open = *this->Runs.at(Id);
  if (Open.Next >= Open.Prompt.AnswerTokens && !this->Faults.isOn("endless")) {
    this->end(Id);
    return false;
  }
  const std::uint32_t Token = answerToken(Open.Prompt.Text, Open.Next++);
  ++this->Counters["tokens"];
  ++Open.Sent;
  Open.Answer.push_back(Token);
  if (Open.Prompt.Stream)
    this->sendToken(Open, Token);
  if (this->Faults.isOn("cut") &&
      static_cast<double>(Open.Sent) >= this->Faults.factor("cut", 1)) {
    this->drop(Id, "Cut.");
    return false;
  }
  if (Open.Next < Open.Prompt.AnswerTokens || this->Faults.isOn("endless"))
    return true;
  this->end(Id);
  return false;
}

void StandInEngine::sendToken(Run &Open, std::uint32_t Token) {
  if (Open.Sent == 1)
    this->Server.startStream(Open.Id, 200,
                             {{"Content-Type", "text/event-stream"},
                              {"X-Request-Id", this->replyTag(Open)}});
  if (this->Faults.isOn("garbage") &&
      static_cast<double>(Open.Sent) >= this->Faults.factor("garbage", 1))
    this->Server.sendPiece(Open.Id, GarbageEvent);
  else
    this->Server.sendPiece(Open.Id,
                           tokenEvent(Open.Prompt, this->Options.Model, Token));
}

void StandInEngine::end(ExchangeId Id) {
  const auto Found = this->Runs.find(Id);
  const std::unique_ptr<Run> Ended = std::move(Found->second);
  this->Runs.erase(Found);
  ++this->Counters["finished"];
  this->Log.log(LogLevel::Info, "Finished.",
                {{"tag", Ended->Tag}, {"tokens", Ended->Sent}});
  const HttpHeaders Tag{{"X-Request-Id", this->replyTag(*Ended)}};
  if (!Ended->Prompt.Stream) {
    HttpReply Reply = jsonReply(
        200, wholeAnswer(Ended->Prompt, this->Options.Model, Ended->Answer));
    Reply.Headers.insert(Reply.Headers.end(), Tag.begin(), Tag.end());
    if (this->Faults.isOn("garbage"))
      Reply.Body = GarbageEvent;
    this->Server.reply(Id, Reply);
    return;
  }
  if (Ended->Sent == 0) {
    HttpHeaders Headers = Tag;
    Headers.emplace_back("Content-Type", "text/event-stream");
    this->Server.startStream(Id, 200, Headers);
  }
  this->Server.sendPiece(Id, endEvents(Ended->Prompt, this->Options.Model));
  this->Server.endStream(Id);
}

void StandInEngine::drop(ExchangeId Id, const char *Why) {
  const auto Found = this->Runs.find(Id);
  if (Found == this->Runs.end())
    return;
  ++this->Counters["cancelled"];
  this->Log.log(LogLevel::Info, Why,
                {{"tag", Found->second->Tag},
                 {"started", Found->second->Started},
                 {"tokens", Found->second->Sent}});
  this->Runs.erase(Found);
  // What was sent before has to reach the caller first.
  this->Loop.after(FlushTime, [this, Id] { this->Server.abort(Id); });
}

void StandInEngine::departed(ExchangeId Id) {
  std::erase_if(this->Held,
                [Id](const auto &Each) { return Each.first == Id; });
  this->drop(Id, "Cancelled.");
  this->Batch.remove(Id);
}

HttpReply StandInEngine::setFault(const HttpRequest &Request) {
  HttpReply Reply = this->Faults.handle(Request.Body);
  this->Log.log(LogLevel::Warning, "Fault set.", {{"fault", Request.Body}});
  if (this->Faults.isOn("crash"))
    this->Crash();
  return Reply;
}

void StandInEngine::sampleLoad() {
  std::uint64_t Tokens =
      this->Cache.blocks() * promptTokens(std::string(256, ' '));
  for (const auto &[Id, Open] : this->Runs)
    if (Open->Started)
      Tokens += Open->Next;
  this->Sample = {
      this->Batch.running(), this->Batch.waiting(),
      std::min(1.0, static_cast<double>(Tokens) / this->Options.KvTokens),
      this->Loop.clock().now()};
}

HttpReply StandInEngine::describeLoad() {
  if (this->Options.LoadLagMs == 0)
    this->sampleLoad();
  const auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->Loop.clock().now() - this->Sample.At);
  return jsonReply(200, {{"running", this->Sample.Running},
                         {"waiting", this->Sample.Waiting},
                         {"kv_used", this->Sample.KvCacheUsage},
                         {"age_ms", Age.count()},
                         {"models", this->Orders.describe()["models"]}});
}

HttpReply StandInEngine::describeCacheEvents(const HttpRequest &Request) const {
  const std::string Text = findQueryValue(Request.Query, "after");
  std::uint64_t After = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), After);
  Json Events = Json::array();
  for (const PrefixCache::Event &Each : this->Cache.eventsAfter(After))
    Events.push_back({{"sequence", Each.Sequence},
                      {"block_hash", Each.BlockHash},
                      {"stored", Each.Stored}});
  return jsonReply(200, {{"events", std::move(Events)}});
}

Json StandInEngine::stats() const {
  Json Stats = this->Counters;
  Stats["running"] = this->Batch.running();
  Stats["waiting"] = this->Batch.waiting();
  Stats["runs"] = this->RunsByTag;
  Stats["orders"] = this->Orders.describe();
  return Stats;
}

} // namespace turmericpass
