#include "LoadRunner.h"

#include "Loop/EventLoop.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

namespace turmericpass {

namespace {

using namespace std::chrono_literals;

constexpr Duration IdleLimit = 120s;

double quantile(std::vector<double> &Values, double Share) {
  if (Values.empty())
    return 0;
  const auto Last = static_cast<double>(Values.size() - 1);
  const auto Index = static_cast<std::size_t>(std::lround(Share * Last));
  std::nth_element(Values.begin(),
                   Values.begin() + static_cast<std::ptrdiff_t>(Index),
                   Values.end());
  return Values[Index];
}

nlohmann::json summarize(std::vector<double> Values) {
  return {{"p50", quantile(Values, 0.5)},
          {"p95", quantile(Values, 0.95)},
          {"p99", quantile(Values, 0.99)},
          {"p999", quantile(Values, 0.999)},
          {"max", quantile(Values, 1.0)}};
}

nlohmann::json toJson(const LoadSample &Sample) {
  return {{"stream", Sample.Stream},    {"arrival_ms", Sample.ArrivalMs},
          {"long", Sample.Long},        {"whole", Sample.Whole},
          {"status", Sample.Status},    {"execution", Sample.Execution},
          {"first_ms", Sample.FirstMs}, {"total_ms", Sample.TotalMs},
          {"tokens", Sample.Tokens},    {"gap_ms", Sample.LargestGapMs}};
}

} // namespace

struct LoadRunner::Open {
  LoadSample Sample;
  std::size_t Stream = 0;
  Instant Arrival;
  Instant LastToken;
  std::string Line;
  std::string Body;
  bool Done = false;
};

LoadRunner::LoadRunner(EventLoop &Loop, HttpClient &Client, LoadPlan Plan)
    : Loop(Loop), Client(Client), Plan(std::move(Plan)),
      Random(this->Plan.Seed), OpenByStream(this->Plan.Streams.size()) {}

void LoadRunner::run() {
  this->Begin = this->Loop.clock().now();
  std::uint64_t EndMs = 0;
  for (std::size_t I = 0; I < this->Plan.Streams.size(); ++I) {
    const LoadStream &Stream = this->Plan.Streams[I];
    EndMs = std::max(EndMs, Stream.EndMs);
    const Instant Start =
        this->Begin + std::chrono::milliseconds(Stream.StartMs);
    if (Stream.Rate > 0)
      this->scheduleArrival(I, Start);
    for (std::uint32_t Slot = 0; Slot < Stream.Concurrency; ++Slot)
      this->Loop.after(Start - this->Begin,
                       [this, I] { this->send(I, this->Loop.clock().now()); });
  }
  const Instant End = this->Begin + std::chrono::milliseconds(EndMs);
  const Instant Limit = End + std::chrono::milliseconds(this->Plan.GraceMs);
  while (this->Loop.clock().now() < End ||
         (this->OpenRequests > 0 && this->Loop.clock().now() < Limit))
    this->Loop.runOnce(5ms);
}

void LoadRunner::scheduleArrival(std::size_t Stream, Instant At) {
  const LoadStream &Kind = this->Plan.Streams[Stream];
  std::exponential_distribution<double> Gap(Kind.Rate);
  const Instant Next =
      At + std::chrono::duration_cast<Duration>(
               std::chrono::duration<double>(Gap(this->Random)));
  if (Next - this->Begin >= std::chrono::milliseconds(Kind.EndMs))
    return;
  const Duration Delay = std::max(Duration(0), Next - this->Loop.clock().now());
  this->Loop.after(Delay, [this, Stream, Next] {
    this->send(Stream, Next);
    this->scheduleArrival(Stream, Next);
  });
}

std::string LoadRunner::promptFor(const LoadStream &Stream) {
  std::string Prompt;
  std::uint64_t Seed = this->Random();
  if (Stream.Prefixes > 0)
    Prompt = "topic " + std::to_string(Seed % Stream.Prefixes);
  for (std::uint32_t I = 0; I < Stream.PromptWords; ++I) {
    if (Stream.Prefixes == 0 || I * 2 > Stream.PromptWords)
      Seed = Seed * 6364136223846793005ULL + 1442695040888963407ULL;
    Prompt +=
        " w" + std::to_string(Stream.Prefixes > 0 && I * 2 <= Stream.PromptWords
                                  ? I
                                  : Seed % 1000);
  }
  return Prompt + Stream.PromptSuffix;
}

void LoadRunner::send(std::size_t Stream, Instant Arrival) {
  const LoadStream &Kind = this->Plan.Streams[Stream];
  auto Request = std::make_shared<Open>();
  Request->Stream = Stream;
  Request->Arrival = Arrival;
  Request->LastToken = Arrival;
  Request->Sample.Stream = Kind.Name;
  Request->Sample.ArrivalMs = toMillis(Arrival - this->Begin);
  std::uniform_real_distribution<double> Share(0, 1);
  Request->Sample.Long = Share(this->Random) < Kind.LongShare;
  const std::uint32_t Tokens =
      Request->Sample.Long ? Kind.LongTokens : Kind.MaxTokens;
  Request->Sample.ExpectedTokens = Tokens;

  HttpRequest Sent;
  Sent.Method = "POST";
  Sent.Path = Kind.Path.empty() ? "/v1/chat/completions" : Kind.Path;
  Sent.Headers = {{"Authorization", "Bearer " + this->Plan.Key},
                  {"Content-Type", "application/json"}};
  if (!Kind.Class.empty())
    Sent.Headers.emplace_back("Turmericpass-Class", Kind.Class);
  Sent.Body =
      nlohmann::json{{"model", Kind.Model},
                     {"stream", Kind.Stream},
                     {"stream_options", {{"include_usage", true}}},
                     {"max_tokens", Tokens},
                     {"messages",
                      {{{"role", "user"}, {"content", this->promptFor(Kind)}}}}}
          .dump();

  HttpCallHandlers Handlers;
  Handlers.Head = [Request](int Status, const HttpHeaders &) {
    Request->Sample.Status = Status;
  };
  Handlers.Piece = [this, Request](std::string_view Bytes) {
    this->readPiece(*Request, Bytes);
  };
  Handlers.Done = [this, Request](const HttpReply &) {
    Request->Done = true;
    this->finish(Request);
  };
  Handlers.Failed = [this, Request](const Error &, HttpProgress) {
    this->finish(Request);
  };
  ++this->OpenRequests;
  ++this->OpenByStream[Stream];
  const std::string &Target =
      this->Plan.Targets[this->Sent++ % this->Plan.Targets.size()];
  this->Client.call(Target, std::move(Sent), IdleLimit, std::move(Handlers));
}

double LoadRunner::sinceArrival(const Open &Request) const {
  return toMillis(this->Loop.clock().now() - Request.Arrival);
}

void LoadRunner::readPiece(Open &Request, std::string_view Bytes) {
  const bool IsEventStream =
      this->Plan.Streams[Request.Stream].Stream && Request.Sample.Status == 200;
  if (!IsEventStream) {
    Request.Body += Bytes;
    return;
  }
  for (char Byte : Bytes) {
    if (Byte != '\n') {
      Request.Line += Byte;
      continue;
    }
    constexpr std::string_view Field = "data: ";
    if (Request.Line.rfind(Field, 0) == 0)
      this->readEvent(Request,
                      std::string_view(Request.Line).substr(Field.size()));
    Request.Line.clear();
  }
}

void LoadRunner::readEvent(Open &Request, std::string_view Data) {
  if (Data == "[DONE]") {
    Request.Sample.Whole = true;
    return;
  }
  const auto Event = nlohmann::json::parse(Data, nullptr, false);
  if (!Event.is_object())
    return;
  if (Event.contains("usage") && Event["usage"].is_object())
    Request.Sample.Tokens = Event["usage"].value("completion_tokens", 0U);
  if (!Event.contains("choices") || Event["choices"].empty())
    return;
  const nlohmann::json Delta =
      Event["choices"][0].value("delta", nlohmann::json::object());
  const auto Content = Delta.find("content");
  if (Content == Delta.end() || !Content->is_string() ||
      Content->get_ref<const std::string &>().empty())
    return;
  const Instant Now = this->Loop.clock().now();
  if (Request.Sample.FirstMs == 0)
    Request.Sample.FirstMs = this->sinceArrival(Request);
  else
    Request.Sample.LargestGapMs = std::max(Request.Sample.LargestGapMs,
                                           toMillis(Now - Request.LastToken));
  Request.LastToken = Now;
}

void LoadRunner::finish(const std::shared_ptr<Open> &Request) {
  --this->OpenRequests;
  --this->OpenByStream[Request->Stream];
  LoadSample &Sample = Request->Sample;
  Sample.TotalMs = this->sinceArrival(*Request);
  const LoadStream &Kind = this->Plan.Streams[Request->Stream];
  if (!Request->Body.empty()) {
    const auto Body = nlohmann::json::parse(Request->Body, nullptr, false);
    if (Body.is_object()) {
      Sample.Execution = Body.value("execution", "");
      if (Body.contains("usage") && Body["usage"].is_object())
        Sample.Tokens = Body["usage"].value("completion_tokens", 0U);
    }
    Sample.Whole = Request->Done && Sample.Status == 200;
    if (Sample.FirstMs == 0)
      Sample.FirstMs = Sample.TotalMs;
  }
  Sample.Whole = Sample.Whole && Request->Done;
  this->Samples.push_back(Sample);
  const double NowMs = toMillis(this->Loop.clock().now() - this->Begin);
  if (Kind.Concurrency > 0 && NowMs < static_cast<double>(Kind.EndMs)) {
    // A refused request is tried again a little later, as a client would.
    const Duration Pause = Sample.Whole ? Duration(0) : Duration(50ms);
    this->Loop.after(Pause, [this, Index = Request->Stream] {
      this->send(Index, this->Loop.clock().now());
    });
  }
}

std::string LoadRunner::report() const {
  nlohmann::json Whole = nlohmann::json::object();
  for (std::size_t Index = 0; Index < this->Plan.Streams.size(); ++Index) {
    const LoadStream &Kind = this->Plan.Streams[Index];
    std::vector<double> First;
    std::vector<double> Total;
    std::vector<double> ShortTotal;
    std::vector<double> ShortFirst;
    std::vector<double> Gaps;
    std::map<std::string, int> Failures;
    std::uint64_t Tokens = 0;
    std::uint64_t Cut = 0;
    std::uint64_t Counted = 0;
    double LastMs = 0;
    for (const LoadSample &Sample : this->Samples) {
      if (Sample.Stream != Kind.Name ||
          Sample.ArrivalMs < static_cast<double>(this->Plan.WarmupMs))
        continue;
      ++Counted;
      LastMs = std::max(LastMs, Sample.ArrivalMs + Sample.TotalMs);
      if (!Sample.Whole) {
        ++Failures[std::to_string(Sample.Status) + " " + Sample.Execution];
        continue;
      }
      if (Sample.Tokens != Sample.ExpectedTokens && Kind.Path.empty())
        ++Cut;
      Tokens += Sample.Tokens;
      First.push_back(Sample.FirstMs);
      Total.push_back(Sample.TotalMs);
      Gaps.push_back(Sample.LargestGapMs);
      if (!Sample.Long) {
        ShortTotal.push_back(Sample.TotalMs);
        ShortFirst.push_back(Sample.FirstMs);
      }
    }
    Whole["streams"][Kind.Name] = {
        {"count", Counted},
        {"ok", Total.size()},
        {"cut", Cut},
        {"unanswered", this->OpenByStream[Index]},
        {"failures", Failures},
        {"tokens", Tokens},
        {"span_ms", LastMs - static_cast<double>(this->Plan.WarmupMs)},
        {"first_ms", summarize(First)},
        {"total_ms", summarize(Total)},
        {"short_first_ms", summarize(ShortFirst)},
        {"short_total_ms", summarize(ShortTotal)},
        {"gap_ms", summarize(Gaps)}};
  }
  if (!this->Plan.SamplesFile.empty()) {
    std::ofstream Out(this->Plan.SamplesFile);
    for (const LoadSample &Sample : this->Samples)
      Out << toJson(Sample) << '\n';
  }
  return Whole.dump();
}

} // namespace turmericpass
