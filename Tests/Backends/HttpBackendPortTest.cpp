#include "Backends/HttpBackendPort.h"

#include "Core/PrefixBlocks.h"
#include "RawHttp/ChannelHttpClient.h"
#include "RawHttp/TcpBackendChannels.h"
#include "StandIns/EnginePrompt.h"
#include "StandIns/StandInEngine.h"
#include "StandIns/StandInService.h"
#include "Support/RunUntil.h"
#include "Telemetry/Logger.h"

#include <criterion/criterion.h>
#include <memory>
#include <optional>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxBodyBytes = std::size_t{1} << 20U;
const std::string LocalHostPrefix = "127.0.0.1:";

/// Records the events of one attempt.
struct Outcome {
  std::vector<std::uint32_t> Ids;
  int Batches = 0;
  std::optional<BackendReply> Reply;
  std::optional<Error> Reason;
  AttemptProgress Progress = AttemptProgress::NotSent;

  bool hasEnded() const { return this->Reply || this->Reason; }
  bool failedWith(ErrorCode Code, AttemptProgress At) const {
    return this->Reason && this->Reason->Code == Code && this->Progress == At;
  }
};

/// A backend port with a stand-in engine and a stand-in service.
struct Bench {
  BootClock Time;
  EventLoop Loop{Time};
  NullLogger Log;
  StandInEngine Engine;
  StandInService Service;
  TcpBackendChannels Channels{Loop};
  ChannelHttpClient Client{Loop, Channels, MaxBodyBytes};
  std::unique_ptr<HttpBackendPort> Port =
      std::make_unique<HttpBackendPort>(Loop, Client);
  std::string EngineAddress;
  std::string ServiceAddress;
  Outcome LastOutcome;

  explicit Bench(std::uint32_t Slots = 8)
      : Engine(Loop, Log, makeOptions(Slots), [] {}),
        Service(Loop, Log, 1ms, [] {}) {
    EngineAddress =
        LocalHostPrefix + std::to_string(*Engine.listen("127.0.0.1", 0));
    ServiceAddress =
        LocalHostPrefix + std::to_string(*Service.listen("127.0.0.1", 0));
  }

  static EngineOptions makeOptions(std::uint32_t Slots) {
    EngineOptions Options;
    Options.Slots = Slots;
    Options.TokenMs = 1;
    Options.LoadLagMs = 0;
    Options.CacheLagMs = 0;
    Options.CacheGapEvery = 2;
    return Options;
  }

  AttemptHandlers handlers(Outcome &To) {
    AttemptHandlers Handlers;
    Handlers.Tokens = [&To](const TokenBatch &Batch) {
      ++To.Batches;
      To.Ids.insert(To.Ids.end(), Batch.Ids.begin(), Batch.Ids.end());
    };
    Handlers.Done = [&To](BackendReply Reply) {
      cr_assert(!To.hasEnded());
      To.Reply = std::move(Reply);
    };
    Handlers.Failed = [&To](Error Reason, AttemptProgress Progress) {
      cr_assert(!To.hasEnded());
      To.Reason = std::move(Reason);
      To.Progress = Progress;
    };
    return Handlers;
  }

  /// Runs one attempt until it ends.
  const Outcome &run(const std::string &Address, const Submit &Work,
                     bool IsModel) {
    this->LastOutcome = {};
    this->Port->start(Address, Work, IsModel, "tag-1",
                      this->handlers(this->LastOutcome));
    cr_assert(
        runUntil(this->Loop, [this] { return this->LastOutcome.hasEnded(); }));
    return this->LastOutcome;
  }

  void injectFault(const std::string &Address, const std::string &Body) {
    HttpRequest Request{"POST", "/fault", "", {}, Body};
    bool Set = false;
    HttpCallHandlers Handlers;
    Handlers.Done = [&](const HttpReply &Reply) { Set = Reply.Status == 200; };
    this->Client.call(Address, Request, 5s, Handlers);
    cr_assert(runUntil(this->Loop, [&] { return Set; }));
  }

  std::uint64_t engineCount(const char *Name) {
    return Engine.stats()[Name].get<std::uint64_t>();
  }
};

Submit makeRequest(const std::string &Prompt) {
  Submit Work;
  Work.Method = "POST";
  Work.Path = "/v1/completions";
  Work.ContentType = "application/json";
  Work.Body = R"({"prompt":")" + Prompt + R"("})";
  return Work;
}

std::vector<std::uint32_t> expectedTokens(const std::string &Prompt,
                                          std::size_t Count) {
  std::vector<std::uint32_t> Ids;
  for (std::size_t I = 0; I < Count; ++I)
    Ids.push_back(answerToken(Prompt, I));
  return Ids;
}

/// Starts an event stream for every request and lets \p Answer write it, for
/// answers that the stand-ins cannot produce.
std::uint16_t startServer(HttpServer &Server,
                          const std::function<void(ExchangeId)> &Answer) {
  Server.onRequest(
      [&Server, Answer](ExchangeId Id, const HttpRequest &Request) {
        Server.startStream(
            Id, 200,
            {{"Content-Type", "text/event-stream"},
             {"X-Request-Id", findHeader(Request.Headers, "X-Request-Id")}});
        Answer(Id);
      });
  return *Server.listen("127.0.0.1", 0);
}

} // namespace

Test(BackendPort, ModelAnswersWholeAndWithItsReason) {
  Bench Bench;
  const Outcome &Actual =
      Bench.run(Bench.EngineAddress, makeRequest("[[tokens=7]]"), true);
  cr_assert(Actual.Reply && Actual.Reply->Status == 200);
  cr_assert(Actual.Reply->Reason == "stop");
  cr_assert(Actual.Ids == expectedTokens("[[tokens=7]]", 7));
}

// Guards against a resumed answer repeating or skipping tokens.
Test(BackendPort, ResumedAnswerContinues) {
  Bench Bench;
  Submit Work = makeRequest("resume [[tokens=9]]");
  const auto Whole = expectedTokens("resume [[tokens=9]]", 9);
  Work.ResumeTokenIds.assign(Whole.begin(), Whole.begin() + 4);
  Work.MaxTokens = 9;
  const Outcome &Actual = Bench.run(Bench.EngineAddress, Work, true);
  cr_assert(Actual.Reply.has_value());
  cr_assert(Actual.Ids ==
            std::vector<std::uint32_t>(Whole.begin() + 4, Whole.end()));
}

// Guards against one message per token when many tokens arrive in one read.
Test(BackendPort, TokensOfOneReadAreMerged) {
  Bench Bench;
  HttpServer Server(Bench.Loop, {});
  const std::uint16_t Port = startServer(Server, [&](ExchangeId Id) {
    for (const char *Token : {"1", "2", "3"})
      Server.sendPiece(Id,
                       std::string("data: {\"choices\":[],\"token_ids\":[") +
                           Token + "]}\n\n");
    Server.sendPiece(Id, "data: [DONE]\n\n");
    Server.endStream(Id);
  });
  const Outcome &Actual =
      Bench.run(LocalHostPrefix + std::to_string(Port), makeRequest("x"), true);
  cr_assert(Actual.Ids == std::vector<std::uint32_t>({1, 2, 3}));
  cr_assert(Actual.Batches == 1);
}

// Guards against a truncated answer being reported as complete.
Test(BackendPort, StreamWithoutItsEndMarkFails) {
  Bench Bench;
  HttpServer Server(Bench.Loop, {});
  const std::uint16_t Port = startServer(Server, [&](ExchangeId Id) {
    Server.sendPiece(Id, "data: {\"choices\":[],\"token_ids\":[5]}\n\n");
    Server.endStream(Id);
  });
  const Outcome &Actual =
      Bench.run(LocalHostPrefix + std::to_string(Port), makeRequest("x"), true);
  cr_assert(
      Actual.failedWith(ErrorCode::Unavailable, AttemptProgress::Admitted));
  cr_assert(Actual.Ids == std::vector<std::uint32_t>({5}));
}

Test(BackendPort, CutStreamFailsAndKeepsItsTokens) {
  Bench Bench;
  Bench.injectFault(Bench.EngineAddress, R"({"kind":"cut","factor":3})");
  const Outcome &Actual =
      Bench.run(Bench.EngineAddress, makeRequest("[[tokens=9]]"), true);
  cr_assert(
      Actual.failedWith(ErrorCode::Unavailable, AttemptProgress::Admitted));
  cr_assert(Actual.Ids == expectedTokens("[[tokens=9]]", 3));
}

// Guards against forwarding the answer to another caller's request.
Test(BackendPort, AnswerWithAnotherTagIsDiscarded) {
  Bench Bench;
  Bench.injectFault(Bench.EngineAddress, R"({"kind":"wrong_tag"})");
  const Outcome &Model =
      Bench.run(Bench.EngineAddress, makeRequest("[[tokens=2]]"), true);
  cr_assert(Model.failedWith(ErrorCode::Malformed, AttemptProgress::Sent));
  cr_assert(Model.Ids.empty());
  Bench.injectFault(Bench.ServiceAddress, R"({"kind":"wrong_tag"})");
  const Outcome &Plain =
      Bench.run(Bench.ServiceAddress, makeRequest("x"), false);
  cr_assert(Plain.failedWith(ErrorCode::Malformed, AttemptProgress::Sent));
}

Test(BackendPort, MalformedEventFails) {
  Bench Bench;
  Bench.injectFault(Bench.EngineAddress, R"({"kind":"garbage","factor":2})");
  const Outcome &Actual =
      Bench.run(Bench.EngineAddress, makeRequest("[[tokens=5]]"), true);
  cr_assert(Actual.failedWith(ErrorCode::Malformed, AttemptProgress::Admitted));
  cr_assert(Actual.Ids == expectedTokens("[[tokens=5]]", 1));
}

// Guards against an engine that generates without end.
Test(BackendPort, AnswerBeyondItsLimitIsCutOff) {
  Bench Bench;
  Bench.injectFault(Bench.EngineAddress, R"({"kind":"endless"})");
  Submit Work = makeRequest("[[tokens=5]]");
  Work.MaxTokens = 5;
  Work.ResumeTokenIds = expectedTokens("[[tokens=5]]", 2);
  const Outcome &Actual = Bench.run(Bench.EngineAddress, Work, true);
  cr_assert(Actual.Reply && Actual.Reply->Reason == "length");
  cr_assert(Actual.Ids.size() == 3);
  cr_assert(runUntil(Bench.Loop,
                     [&] { return Bench.engineCount("cancelled") == 1; }));
}

// Guards against reporting wrongly whether a request may have run.
Test(BackendPort, ProgressTellsWhatTheServerMayHaveRun) {
  Bench Bench;
  Bench.injectFault(Bench.EngineAddress, R"({"kind":"refuse"})");
  cr_assert(Bench.run(Bench.EngineAddress, makeRequest("x"), true)
                .failedWith(ErrorCode::Unavailable, AttemptProgress::NotSent));
  cr_assert(Bench.run("127.0.0.1:1", makeRequest("x"), false)
                .failedWith(ErrorCode::Unavailable, AttemptProgress::NotSent));
  Bench.injectFault(Bench.ServiceAddress, R"({"kind":"lose_reply"})");
  cr_assert(Bench.run(Bench.ServiceAddress, makeRequest("x"), false)
                .failedWith(ErrorCode::Unavailable, AttemptProgress::Sent));
  cr_assert(Bench.Service.stats()["executed"] == 1);
  Submit Broken = makeRequest("x");
  Broken.Body = "no JSON";
  cr_assert(
      Bench.run(Bench.EngineAddress, Broken, true)
          .failedWith(ErrorCode::InvalidArgument, AttemptProgress::NotSent));
}

// Guards against callbacks after a cancel from within a handler.
Test(BackendPort, CancelledAttemptIsSilentAndEndsAtTheEngine) {
  Bench Bench;
  Outcome Actual;
  AttemptId Id = 0;
  AttemptHandlers Handlers = Bench.handlers(Actual);
  Handlers.Tokens = [&](const TokenBatch &) {
    ++Actual.Batches;
    Bench.Port->cancel(Id);
  };
  Id = Bench.Port->start(Bench.EngineAddress, makeRequest("[[tokens=10000]]"),
                         true, "tag-1", Handlers);
  cr_assert(runUntil(Bench.Loop,
                     [&] { return Bench.engineCount("cancelled") == 1; }));
  cr_assert(Actual.Batches == 1 && !Actual.hasEnded());
}

// Guards against a slot being assigned to a cancelled request.
Test(BackendPort, CancelledAttemptThatWaitsNeverStarts) {
  Bench Bench(1);
  Outcome Running;
  Outcome Waiting;
  const AttemptId First =
      Bench.Port->start(Bench.EngineAddress, makeRequest("[[tokens=10000]]"),
                        true, "tag-1", Bench.handlers(Running));
  cr_assert(runUntil(Bench.Loop, [&] { return Running.Batches > 0; }));
  const AttemptId Second =
      Bench.Port->start(Bench.EngineAddress, makeRequest("b"), true, "tag-2",
                        Bench.handlers(Waiting));
  cr_assert(
      runUntil(Bench.Loop, [&] { return Bench.engineCount("waiting") == 1; }));
  Bench.Port->cancel(Second);
  cr_assert(
      runUntil(Bench.Loop, [&] { return Bench.engineCount("waiting") == 0; }));
  Bench.Port->cancel(First);
  cr_assert(
      runUntil(Bench.Loop, [&] { return Bench.engineCount("running") == 0; }));
  cr_assert(Bench.engineCount("started") == 1);
}

Test(BackendPort, EndOfThePortCancelsItsAttempts) {
  Bench Bench;
  Outcome Actual;
  Bench.Port->start(Bench.EngineAddress, makeRequest("[[tokens=10000]]"), true,
                    "tag-1", Bench.handlers(Actual));
  cr_assert(runUntil(Bench.Loop, [&] { return Actual.Batches > 0; }));
  Bench.Port.reset();
  const int Batches = Actual.Batches;
  cr_assert(runUntil(Bench.Loop,
                     [&] { return Bench.engineCount("cancelled") == 1; }));
  cr_assert(Actual.Batches == Batches && !Actual.hasEnded());
}

Test(BackendPort, PlainCallKeepsMethodPathHeadersAndBody) {
  Bench Bench;
  Submit Work;
  Work.Method = "PUT";
  Work.Path = "/services/webshop/a%2Fb?x=1";
  Work.Body = "raw \n text";
  Work.IdempotencyKey = "key-1";
  const Outcome &Actual = Bench.run(Bench.ServiceAddress, Work, false);
  cr_assert(Actual.Reply && Actual.Reply->ContentType == "application/json");
  const auto Echo = nlohmann::json::parse(Actual.Reply->Body);
  cr_assert(Echo["method"] == "PUT" && Echo["query"] == "x=1");
  cr_assert(Echo["path"] == "/services/webshop/a%2Fb");
  cr_assert(Echo["body"] == Work.Body);
  cr_assert(Bench.Service.stats()["by_key"]["key-1"] == 1);
  cr_assert(Bench.Service.stats()["by_tag"]["tag-1"] == 1);
}

Test(BackendPort, CallCarriesItsTraceContext) {
  Bench Bench;
  HttpServer Server(Bench.Loop, {});
  std::string Parent;
  Server.onRequest([&](ExchangeId Id, const HttpRequest &Request) {
    Parent = findHeader(Request.Headers, "traceparent");
    Server.reply(Id, {204, {{"X-Request-Id", "tag-1"}}, ""});
  });
  Submit Work = makeRequest("x");
  Work.Trace = {"0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"};
  const std::string Address =
      LocalHostPrefix + std::to_string(*Server.listen("127.0.0.1", 0));
  cr_assert(Bench.run(Address, Work, false).Reply->Status == 204);
  cr_assert(Parent ==
            "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
}

// Guards against the engine and the cache affinity hashing different blocks.
Test(BackendPort, LoadAndCacheEventsAreRead) {
  Bench Bench;
  const std::string Prompt(3 * PrefixBlockBytes, 'p');
  Bench.run(Bench.EngineAddress, makeRequest(Prompt), true);
  std::optional<LoadReport> Load;
  std::optional<std::vector<CacheEvent>> Events;
  Bench.Port->fetchLoad(Bench.EngineAddress, [&](const auto &Report) {
    cr_assert(Report.has_value());
    Load = *Report;
  });
  Bench.Port->fetchCacheEvents(Bench.EngineAddress, 0, [&](const auto &Read) {
    cr_assert(Read.has_value());
    Events = *Read;
  });
  cr_assert(runUntil(Bench.Loop, [&] { return Load && Events; }));
  cr_assert(Load->Running == 0 && Load->KvCacheUsage > 0);
  // The stand-in engine drops every second event.
  const auto Blocks = prefixBlockHashes(Prompt);
  cr_assert(Events->size() == 2);
  cr_assert(Events->front().BlockHash == Blocks[0]);
  cr_assert(Events->back().BlockHash == Blocks[2]);
}
