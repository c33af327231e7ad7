#include "Backends/HttpBackendPort.h"

#include "Backends/EngineProtocol.h"
#include "Backends/EventStreamParser.h"
#include "Loop/EventLoop.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace turmericpass {

namespace {

using namespace std::chrono_literals;

/// An attempt fails if the server sends nothing for this long. The limit allows
/// for the prefill of a long prompt that is queued behind a full batch. Callers
/// with a shorter deadline cancel the attempt earlier.
constexpr Duration AttemptIdleLimit = 60s;

/// Servers answer requests for load reports and cache events immediately, and a
/// late answer is outdated.
constexpr Duration FetchIdleLimit = 2s;

/// Limits the size of an event in a stream; the event of a token has a few
/// hundred bytes.
constexpr std::size_t MaxEventBytes = std::size_t{1} << 20U;

constexpr int Refused = 503;
/// The finish reason of an answer that reached its token limit.
constexpr const char *LengthReason = "length";

constexpr std::string_view EventStreamType = "text/event-stream";

AttemptProgress toAttemptProgress(HttpProgress Progress) {
  switch (Progress) {
  case HttpProgress::NotSent:
    return AttemptProgress::NotSent;
  case HttpProgress::Sent:
    return AttemptProgress::Sent;
  case HttpProgress::Replying:
    break;
  }
  return AttemptProgress::Admitted;
}

HttpHeaders buildHeaders(const Submit &Work, const std::string &Tag) {
  HttpHeaders Headers{{"X-Request-Id", Tag}};
  if (!Work.ContentType.empty())
    Headers.emplace_back("Content-Type", Work.ContentType);
  if (!Work.IdempotencyKey.empty())
    Headers.emplace_back("Idempotency-Key", Work.IdempotencyKey);
  if (!Work.Trace.TraceId.empty())
    Headers.emplace_back("traceparent", "00-" + Work.Trace.TraceId + "-" +
                                            Work.Trace.SpanId + "-01");
  return Headers;
}

HttpRequest buildRequest(const Submit &Work, const std::string &Tag) {
  HttpRequest Request;
  Request.Method = Work.Method.empty() ? "POST" : Work.Method;
  const std::size_t Question = Work.Path.find('?');
  Request.Path = Work.Path.substr(0, Question);
  if (Question != std::string::npos)
    Request.Query = Work.Path.substr(Question + 1);
  Request.Headers = buildHeaders(Work, Tag);
  return Request;
}

void append(TokenBatch &To, TokenBatch &&More) {
  std::move(More.Ids.begin(), More.Ids.end(), std::back_inserter(To.Ids));
  std::move(More.Texts.begin(), More.Texts.end(), std::back_inserter(To.Texts));
}

} // namespace

struct HttpBackendPort::Attempt {
  AttemptId Id = 0;
  HttpCallId Call = 0;
  std::string Tag;
  AttemptHandlers Handlers;
  int Status = 0;
  std::string ContentType;
  bool IsStream = false;
  EventStreamParser Parser{MaxEventBytes};
  /// Tokens that were received but not yet passed to the handler.
  TokenBatch Pending;
  WatchId Flush = 0;
  std::uint64_t TokenCount = 0;
  std::uint64_t MaxTokens = 0;
  /// The body of an answer that is not an event stream.
  std::string Body;
  std::string Reason;
  bool SawEnd = false;
  /// Whether the engine sent more tokens than the caller requested.
  bool AtLimit = false;
};

HttpBackendPort::HttpBackendPort(EventLoop &Loop, HttpClient &Client)
    : Loop(Loop), Client(Client) {}

HttpBackendPort::~HttpBackendPort() {
  for (const auto &[Id, Open] : this->Attempts) {
    this->Loop.cancel(Open->Flush);
    this->Client.cancel(Open->Call);
  }
  for (const HttpCallId Call : this->Fetches)
    this->Client.cancel(Call);
}

AttemptId HttpBackendPort::start(const std::string &Address, const Submit &Work,
                                 bool IsModel, const std::string &RequestTag,
                                 AttemptHandlers Handlers) {
  auto Started = std::make_unique<Attempt>();
  const AttemptId Id = this->NextId++;
  Attempt &Placed = *Started;
  Placed.Id = Id;
  Placed.Tag = RequestTag;
  Placed.Handlers = std::move(Handlers);
  Placed.TokenCount = Work.ResumeTokenIds.size();
  Placed.MaxTokens = Work.MaxTokens;
  this->Attempts.emplace(Id, std::move(Started));
  HttpRequest Request = buildRequest(Work, RequestTag);
  Result<std::string> Body =
      IsModel ? buildEngineBody(Work) : Result<std::string>(Work.Body);
  if (!Body) {
    Placed.Flush =
        this->Loop.after(Duration(0), [this, Id, Reason = Body.error()] {
          this->fail(Id, Reason, AttemptProgress::NotSent);
        });
    return Id;
  }
  Request.Body = std::move(*Body);
  this->send(Id, Address, std::move(Request), IsModel);
  return Id;
}

void HttpBackendPort::send(AttemptId Id, const std::string &Address,
                           HttpRequest Request, bool IsModel) {
  HttpCallHandlers Handlers;
  Handlers.Head = [this, Id, IsModel](int Status, const HttpHeaders &Headers) {
    if (Attempt *Open = this->find(Id))
      Open->IsStream = IsModel && Status == 200;
    this->handleHead(Id, Status, Headers);
  };
  if (IsModel)
    Handlers.Piece = [this, Id](std::string_view Bytes) {
      this->handlePiece(Id, Bytes);
    };
  Handlers.Done = [this, Id](HttpReply Reply) {
    this->handleReply(Id, std::move(Reply));
  };
  Handlers.Failed = [this, Id](Error Reason, HttpProgress Progress) {
    this->handleFailure(Id, std::move(Reason), Progress);
  };
  this->find(Id)->Call = this->Client.call(
      Address, std::move(Request), AttemptIdleLimit, std::move(Handlers));
}

HttpBackendPort::Attempt *HttpBackendPort::find(AttemptId Id) {
  const auto Found = this->Attempts.find(Id);
  return Found == this->Attempts.end() ? nullptr : Found->second.get();
}

std::unique_ptr<HttpBackendPort::Attempt> HttpBackendPort::take(AttemptId Id) {
  const auto Found = this->Attempts.find(Id);
  if (Found == this->Attempts.end())
    return nullptr;
  std::unique_ptr<Attempt> Taken = std::move(Found->second);
  this->Attempts.erase(Found);
  this->Loop.cancel(Taken->Flush);
  return Taken;
}

void HttpBackendPort::cancel(AttemptId Id) {
  if (const std::unique_ptr<Attempt> Ended = this->take(Id))
    this->Client.cancel(Ended->Call);
}

void HttpBackendPort::handleHead(AttemptId Id, int Status,
                                 const HttpHeaders &Headers) {
  Attempt *Open = this->find(Id);
  if (!Open)
    return;
  Open->Status = Status;
  Open->ContentType = findHeader(Headers, "Content-Type");
  // An answer without the tag of this request may belong to another request, so
  // it does not show whether this request ran.
  if (findHeader(Headers, "X-Request-Id") != Open->Tag) {
    this->fail(Id,
               {ErrorCode::Malformed,
                "The server's answer belongs to another request."},
               AttemptProgress::Sent);
    return;
  }
  if (Status == Refused && findHeader(Headers, "X-Admitted") == "false")
    this->fail(Id,
               {ErrorCode::Unavailable,
                "The server refused the request before admission."},
               AttemptProgress::NotSent);
  else if (Open->IsStream && !Open->ContentType.starts_with(EventStreamType))
    this->fail(Id,
               {ErrorCode::Malformed, "The engine's answer is not a stream."},
               AttemptProgress::Admitted);
}

void HttpBackendPort::handlePiece(AttemptId Id, std::string_view Bytes) {
  Attempt *Open = this->find(Id);
  if (!Open)
    return;
  if (!Open->IsStream) {
    Open->Body += Bytes;
    return;
  }
  if (const Result<void> Read = this->readEvents(*Open, Bytes); !Read) {
    this->fail(Id, Read.error(), AttemptProgress::Admitted);
    return;
  }
  if (Open->AtLimit)
    this->endAtLimit(Id);
  else
    this->scheduleFlush(*Open);
}

Result<void> HttpBackendPort::readEvents(Attempt &Open,
                                         std::string_view Bytes) {
  const Result<std::vector<std::string>> Events = Open.Parser.feed(Bytes);
  if (!Events)
    return tl::make_unexpected(Events.error());
  for (const std::string &Data : *Events) {
    if (Open.SawEnd)
      return failure(ErrorCode::Malformed,
                     "The engine's stream goes on after its end.");
    if (Data == DoneEvent) {
      Open.SawEnd = true;
      continue;
    }
    Result<EngineEvent> Event = parseEngineEvent(Data);
    if (!Event)
      return tl::make_unexpected(Event.error());
    if (!Event->Reason.empty())
      Open.Reason = std::move(Event->Reason);
    addTokens(Open, std::move(Event->Tokens));
    if (Open.AtLimit)
      return {};
  }
  return {};
}

void HttpBackendPort::addTokens(Attempt &Open, TokenBatch Tokens) {
  const std::uint64_t Left =
      Open.MaxTokens - std::min(Open.MaxTokens, Open.TokenCount);
  if (Open.MaxTokens > 0 && Tokens.Ids.size() > Left) {
    Tokens.Ids.resize(Left);
    Tokens.Texts.resize(Left);
    Open.Reason = LengthReason;
    Open.AtLimit = true;
  }
  Open.TokenCount += Tokens.Ids.size();
  append(Open.Pending, std::move(Tokens));
}

void HttpBackendPort::scheduleFlush(Attempt &Open) {
  if (Open.Flush != 0 || Open.Pending.Ids.empty())
    return;
  // evhttp delivers each chunk separately. Deferring the flush to the next
  // iteration of the event loop merges the chunks that arrived in one read.
  Open.Flush = this->Loop.after(Duration(0), [this, Id = Open.Id] {
    if (Attempt *Found = this->find(Id)) {
      Found->Flush = 0;
      this->flush(Id);
    }
  });
}

void HttpBackendPort::flush(AttemptId Id) {
  Attempt *Open = this->find(Id);
  if (!Open || Open->Pending.Ids.empty())
    return;
  TokenBatch Batch = std::exchange(Open->Pending, {});
  // The handler may cancel the attempt, which destroys the original handler, so
  // a copy is called.
  const auto Tokens = Open->Handlers.Tokens;
  if (Tokens)
    Tokens(std::move(Batch));
}

void HttpBackendPort::endAtLimit(AttemptId Id) {
  Attempt &Open = *this->find(Id);
  // The caller has all requested tokens, and the engine may never stop.
  this->Client.cancel(Open.Call);
  Open.SawEnd = true;
  this->handleReply(Id, {});
}

void HttpBackendPort::handleReply(AttemptId Id, HttpReply Reply) {
  this->flush(Id);
  const Attempt *Open = this->find(Id);
  if (!Open)
    return;
  if (Open->IsStream && !Open->SawEnd) {
    this->fail(Id,
               {ErrorCode::Unavailable,
                "The engine's stream ended before its answer was whole."},
               AttemptProgress::Admitted);
    return;
  }
  const std::unique_ptr<Attempt> Ended = this->take(Id);
  BackendReply Whole;
  Whole.Status = Ended->Status;
  Whole.ContentType = std::move(Ended->ContentType);
  Whole.Body =
      Ended->Body.empty() ? std::move(Reply.Body) : std::move(Ended->Body);
  Whole.Reason = std::move(Ended->Reason);
  if (Ended->Handlers.Done)
    Ended->Handlers.Done(std::move(Whole));
}

void HttpBackendPort::handleFailure(AttemptId Id, Error Reason,
                                    HttpProgress Progress) {
  Attempt *Open = this->find(Id);
  if (!Open)
    return;
  // The answer is complete if the connection broke after the end of the stream.
  if (Open->SawEnd)
    this->handleReply(Id, {});
  else
    this->fail(Id, std::move(Reason), toAttemptProgress(Progress));
}

void HttpBackendPort::fail(AttemptId Id, Error Reason,
                           AttemptProgress Progress) {
  // A later attempt resumes after the tokens received before the failure, so
  // they are delivered first.
  this->flush(Id);
  const std::unique_ptr<Attempt> Ended = this->take(Id);
  if (!Ended)
    return;
  this->Client.cancel(Ended->Call);
  if (Ended->Handlers.Failed)
    Ended->Handlers.Failed(std::move(Reason), Progress);
}

void HttpBackendPort::fetch(
    const std::string &Address, std::string Path, std::string Query,
    const std::function<void(Result<std::string>)> &Done) {
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = std::move(Path);
  Request.Query = std::move(Query);
  const auto Call = std::make_shared<HttpCallId>(0);
  HttpCallHandlers Handlers;
  Handlers.Done = [this, Call, Done](HttpReply Reply) {
    this->Fetches.erase(*Call);
    if (Reply.Status == 200)
      Done(std::move(Reply.Body));
    else
      Done(failure(ErrorCode::Unavailable, "The server answered with status " +
                                               std::to_string(Reply.Status) +
                                               "."));
  };
  Handlers.Failed = [this, Call, Done](Error Reason, HttpProgress) {
    this->Fetches.erase(*Call);
    Done(tl::make_unexpected(std::move(Reason)));
  };
  *Call = this->Client.call(Address, std::move(Request), FetchIdleLimit,
                            std::move(Handlers));
  this->Fetches.insert(*Call);
}

void HttpBackendPort::fetchLoad(const std::string &Address,
                                std::function<void(Result<LoadReport>)> Done) {
  this->fetch(Address, "/load", "", [Done](const Result<std::string> &Body) {
    Done(Body ? parseLoadReport(*Body) : tl::make_unexpected(Body.error()));
  });
}

void HttpBackendPort::fetchCacheEvents(
    const std::string &Address, std::uint64_t After,
    std::function<void(Result<std::vector<CacheEvent>>)> Done) {
  this->fetch(Address, "/cache-events", "after=" + std::to_string(After),
              [Done](const Result<std::string> &Body) {
                Done(Body ? parseCacheEvents(*Body)
                          : tl::make_unexpected(Body.error()));
              });
}

} // namespace turmericpass
