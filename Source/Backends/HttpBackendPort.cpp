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

constexpr int ServiceUnavailableStatus = 503;
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
  const std::size_t QueryStart = Work.Path.find('?');
  Request.Path = Work.Path.substr(0, QueryStart);
  if (QueryStart != std::string::npos)
    Request.Query = Work.Path.substr(QueryStart + 1);
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
  bool ReachedLimit = false;
};

HttpBackendPort::HttpBackendPort(EventLoop &Loop, HttpClient &Client)
    : Loop(Loop), Client(Client) {}

HttpBackendPort::~HttpBackendPort() {
  for (const auto &[Id, OpenAttempt] : this->Attempts) {
    this->Loop.cancel(OpenAttempt->Flush);
    this->Client.cancel(OpenAttempt->Call);
  }
  for (const HttpCallId Call : this->Fetches)
    this->Client.cancel(Call);
}

AttemptId HttpBackendPort::start(const std::string &Address, const Submit &Work,
                                 bool IsModel, const std::string &RequestTag,
                                 AttemptHandlers Handlers) {
  auto AttemptPtr = std::make_unique<Attempt>();
  const AttemptId Id = this->NextId++;
  Attempt &NewAttempt = *AttemptPtr;
  NewAttempt.Id = Id;
  NewAttempt.Tag = RequestTag;
  NewAttempt.Handlers = std::move(Handlers);
  NewAttempt.TokenCount = Work.ResumeTokenIds.size();
  NewAttempt.MaxTokens = Work.MaxTokens;
  this->Attempts.emplace(Id, std::move(AttemptPtr));
  HttpRequest Request = buildRequest(Work, RequestTag);
  Result<std::string> Body =
      IsModel ? buildEngineBody(Work) : Result<std::string>(Work.Body);
  if (!Body) {
    NewAttempt.Flush =
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
    if (Attempt *OpenAttempt = this->findAttempt(Id))
      OpenAttempt->IsStream = IsModel && Status == 200;
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
  this->findAttempt(Id)->Call = this->Client.call(
      Address, std::move(Request), AttemptIdleLimit, std::move(Handlers));
}

HttpBackendPort::Attempt *HttpBackendPort::findAttempt(AttemptId Id) {
  const auto Found = this->Attempts.find(Id);
  return Found == this->Attempts.end() ? nullptr : Found->second.get();
}

std::unique_ptr<HttpBackendPort::Attempt>
HttpBackendPort::removeAttempt(AttemptId Id) {
  const auto Found = this->Attempts.find(Id);
  if (Found == this->Attempts.end())
    return nullptr;
  std::unique_ptr<Attempt> Removed = std::move(Found->second);
  this->Attempts.erase(Found);
  this->Loop.cancel(Removed->Flush);
  return Removed;
}

void HttpBackendPort::cancel(AttemptId Id) {
  if (const std::unique_ptr<Attempt> EndedAttempt = this->removeAttempt(Id))
    this->Client.cancel(EndedAttempt->Call);
}

void HttpBackendPort::handleHead(AttemptId Id, int Status,
                                 const HttpHeaders &Headers) {
  Attempt *OpenAttempt = this->findAttempt(Id);
  if (!OpenAttempt)
    return;
  OpenAttempt->Status = Status;
  OpenAttempt->ContentType = findHeader(Headers, "Content-Type");
  // An answer without the tag of this request may belong to another request, so
  // it does not show whether this request ran.
  if (findHeader(Headers, "X-Request-Id") != OpenAttempt->Tag) {
    this->fail(Id,
               {ErrorCode::Malformed,
                "The server's answer belongs to another request."},
               AttemptProgress::Sent);
    return;
  }
  if (Status == ServiceUnavailableStatus &&
      findHeader(Headers, "X-Admitted") == "false")
    this->fail(Id,
               {ErrorCode::Unavailable,
                "The server refused the request before admission."},
               AttemptProgress::NotSent);
  else if (OpenAttempt->IsStream &&
           !OpenAttempt->ContentType.starts_with(EventStreamType))
    this->fail(Id,
               {ErrorCode::Malformed, "The engine's answer is not a stream."},
               AttemptProgress::Admitted);
}

void HttpBackendPort::handlePiece(AttemptId Id, std::string_view Bytes) {
  Attempt *OpenAttempt = this->findAttempt(Id);
  if (!OpenAttempt)
    return;
  if (!OpenAttempt->IsStream) {
    OpenAttempt->Body += Bytes;
    return;
  }
  if (const Result<void> Read = this->readEvents(*OpenAttempt, Bytes); !Read) {
    this->fail(Id, Read.error(), AttemptProgress::Admitted);
    return;
  }
  if (OpenAttempt->ReachedLimit)
    this->endAtLimit(Id);
  else
    this->scheduleFlush(*OpenAttempt);
}

Result<void> HttpBackendPort::readEvents(Attempt &OpenAttempt,
                                         std::string_view Bytes) {
  const Result<std::vector<std::string>> Events =
      OpenAttempt.Parser.feed(Bytes);
  if (!Events)
    return tl::make_unexpected(Events.error());
  for (const std::string &Data : *Events) {
    if (OpenAttempt.SawEnd)
      return failure(ErrorCode::Malformed,
                     "The engine's stream goes on after its end.");
    if (Data == DoneEvent) {
      OpenAttempt.SawEnd = true;
      continue;
    }
    Result<EngineEvent> Event = parseEngineEvent(Data);
    if (!Event)
      return tl::make_unexpected(Event.error());
    if (!Event->Reason.empty())
      OpenAttempt.Reason = std::move(Event->Reason);
    addTokens(OpenAttempt, std::move(Event->Tokens));
    if (OpenAttempt.ReachedLimit)
      return {};
  }
  return {};
}

void HttpBackendPort::addTokens(Attempt &OpenAttempt, TokenBatch Tokens) {
  const std::uint64_t Left =
      OpenAttempt.MaxTokens -
      std::min(OpenAttempt.MaxTokens, OpenAttempt.TokenCount);
  if (OpenAttempt.MaxTokens > 0 && Tokens.Ids.size() > Left) {
    Tokens.Ids.resize(Left);
    Tokens.Texts.resize(Left);
    OpenAttempt.Reason = LengthReason;
    OpenAttempt.ReachedLimit = true;
  }
  OpenAttempt.TokenCount += Tokens.Ids.size();
  append(OpenAttempt.Pending, std::move(Tokens));
}

void HttpBackendPort::scheduleFlush(Attempt &OpenAttempt) {
  if (OpenAttempt.Flush != 0 || OpenAttempt.Pending.Ids.empty())
    return;
  // The client delivers each chunk separately. Deferring the flush to the next
  // iteration of the event loop merges the chunks that arrived in one read.
  OpenAttempt.Flush =
      this->Loop.after(Duration(0), [this, Id = OpenAttempt.Id] {
        if (Attempt *Found = this->findAttempt(Id)) {
          Found->Flush = 0;
          this->flush(Id);
        }
      });
}

void HttpBackendPort::flush(AttemptId Id) {
  Attempt *OpenAttempt = this->findAttempt(Id);
  if (!OpenAttempt || OpenAttempt->Pending.Ids.empty())
    return;
  TokenBatch Batch = std::exchange(OpenAttempt->Pending, {});
  // The handler may cancel the attempt, which destroys the original handler, so
  // a copy is called.
  const auto Tokens = OpenAttempt->Handlers.Tokens;
  if (Tokens)
    Tokens(std::move(Batch));
}

void HttpBackendPort::endAtLimit(AttemptId Id) {
  Attempt &OpenAttempt = *this->findAttempt(Id);
  // The caller has all requested tokens, and the engine may never stop.
  this->Client.cancel(OpenAttempt.Call);
  OpenAttempt.SawEnd = true;
  this->handleReply(Id, {});
}

void HttpBackendPort::handleReply(AttemptId Id, HttpReply Reply) {
  this->flush(Id);
  const Attempt *OpenAttempt = this->findAttempt(Id);
  if (!OpenAttempt)
    return;
  if (OpenAttempt->IsStream && !OpenAttempt->SawEnd) {
    this->fail(Id,
               {ErrorCode::Unavailable,
                "The engine's stream ended before its answer was whole."},
               AttemptProgress::Admitted);
    return;
  }
  const std::unique_ptr<Attempt> EndedAttempt = this->removeAttempt(Id);
  BackendReply Answer;
  Answer.Status = EndedAttempt->Status;
  Answer.ContentType = std::move(EndedAttempt->ContentType);
  Answer.Body = EndedAttempt->Body.empty() ? std::move(Reply.Body)
                                           : std::move(EndedAttempt->Body);
  Answer.Reason = std::move(EndedAttempt->Reason);
  if (EndedAttempt->Handlers.Done)
    EndedAttempt->Handlers.Done(std::move(Answer));
}

void HttpBackendPort::handleFailure(AttemptId Id, Error Reason,
                                    HttpProgress Progress) {
  Attempt *OpenAttempt = this->findAttempt(Id);
  if (!OpenAttempt)
    return;
  // The answer is complete if the connection broke after the end of the stream.
  if (OpenAttempt->SawEnd)
    this->handleReply(Id, {});
  else
    this->fail(Id, std::move(Reason), toAttemptProgress(Progress));
}

void HttpBackendPort::fail(AttemptId Id, Error Reason,
                           AttemptProgress Progress) {
  // A later attempt resumes after the tokens received before the failure, so
  // they are delivered first.
  this->flush(Id);
  const std::unique_ptr<Attempt> EndedAttempt = this->removeAttempt(Id);
  if (!EndedAttempt)
    return;
  this->Client.cancel(EndedAttempt->Call);
  if (EndedAttempt->Handlers.Failed)
    EndedAttempt->Handlers.Failed(std::move(Reason), Progress);
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
