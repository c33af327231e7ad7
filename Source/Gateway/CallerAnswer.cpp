#include "Gateway/CallerAnswer.h"

#include "Gateway/Problem.h"

#include <utility>

namespace turmericpass {

namespace {

/// Some 10,000 token events. A caller that is further behind than this reads
/// slower than any link that serves a stream.
constexpr std::size_t MaxPendingBytes = std::size_t{2} << 20U;

constexpr const char *EventStream = "text/event-stream";

bool isHttpStatus(std::uint32_t Status) {
  return Status >= 200 && Status <= 599;
}

} // namespace

CallerAnswer::CallerAnswer(HttpServer &Http, ExchangeId Exchange,
                           const OnlineRequest &Request, HttpHeaders Common,
                           std::int64_t CreatedSeconds, bool Recorded)
    : Http(Http), Exchange(Exchange), Kind(Request.Kind),
      Stream(Request.Stream), IncludeUsage(Request.IncludeUsage),
      Common(std::move(Common)),
      Writer({(Request.Chat ? "chatcmpl-" : "cmpl-") + Request.Work.RequestId,
              Request.Model, Request.Chat, CreatedSeconds,
              Request.Work.PromptTokens}),
      Recorded(Recorded) {}

void CallerAnswer::startStream() {
  if (std::exchange(this->Started, true))
    return;
  HttpHeaders Headers = this->Common;
  Headers.emplace_back("Content-Type", EventStream);
  Headers.emplace_back("Cache-Control", "no-cache");
  this->Http.startStream(this->Exchange, 200, Headers);
}

void CallerAnswer::stream(const std::string &Events) {
  if (Events.empty())
    return;
  this->startStream();
  this->Http.sendPiece(this->Exchange, Events);
  if (this->Recorded)
    this->Text += Events;
}

void CallerAnswer::deliver(const std::vector<std::string> &Texts) {
  if (!this->Stream) {
    for (const std::string &Piece : Texts)
      this->Text += Piece;
    return;
  }
  std::string Events;
  for (const std::string &Piece : Texts)
    Events += this->Writer.formatText(Piece);
  this->stream(Events);
}

bool CallerAnswer::isGood(const Finish &Ending) const {
  return Ending.Code == FinishCode::Ok &&
         (this->Kind == ServiceKind::Plain || Ending.Status < 400);
}

std::string CallerAnswer::streamEnd(const Finish &Ending) {
  std::string Events = this->Writer.formatEnd(Ending.Reason);
  if (this->IncludeUsage)
    Events += this->Writer.formatUsage(Ending.TotalTokens);
  return Events + CompletionWriter::formatDone();
}

HttpReply CallerAnswer::wholeReply(const Finish &Ending) const {
  const bool HasAnswer =
      this->isGood(Ending) ||
      (Ending.Code == FinishCode::ServerError && isHttpStatus(Ending.Status) &&
       this->Kind == ServiceKind::Plain);
  if (!HasAnswer)
    return toReply(toProblem(Ending));
  HttpReply Reply;
  Reply.Status =
      isHttpStatus(Ending.Status) ? static_cast<int>(Ending.Status) : 200;
  if (this->Kind == ServiceKind::Model) {
    Reply.Headers = {{"Content-Type", "application/json"}};
    Reply.Body = this->Text.empty() && !Ending.Body.empty()
                     ? Ending.Body
                     : this->Writer.formatAnswer(this->Text, Ending.Reason,
                                                 Ending.TotalTokens);
    return Reply;
  }
  if (!Ending.ContentType.empty())
    Reply.Headers = {{"Content-Type", Ending.ContentType}};
  Reply.Body = Ending.Body;
  return Reply;
}

HttpReply CallerAnswer::compose(const Finish &Ending) {
  const bool IsGood = this->isGood(Ending);
  if (!this->Stream || (!this->Started && !IsGood))
    return this->wholeReply(Ending);
  HttpReply Reply;
  Reply.Headers = {{"Content-Type", EventStream}};
  Reply.Body = IsGood
                   ? this->streamEnd(Ending)
                   : CompletionWriter::formatError(toJson(toProblem(Ending)));
  if (this->Recorded)
    this->Text += Reply.Body;
  return Reply;
}

HttpReply CallerAnswer::stored(const Finish &Ending,
                               const HttpReply &Reply) const {
  if (!this->Stream)
    return Reply;
  if (!this->isGood(Ending))
    return toReply(toProblem(Ending));
  return {200, Reply.Headers, this->Text};
}

void CallerAnswer::send(const Finish &Ending, HttpReply Reply) {
  const bool IsGood = this->isGood(Ending);
  if (!this->Stream || (!this->Started && !IsGood)) {
    for (const auto &Header : this->Common)
      Reply.Headers.push_back(Header);
    this->Http.reply(this->Exchange, std::move(Reply));
    return;
  }
  this->startStream();
  this->Http.sendPiece(this->Exchange, Reply.Body);
  if (IsGood)
    this->Http.endStream(this->Exchange);
  else
    this->Http.abortAfterFlush(this->Exchange);
}

bool CallerAnswer::isTooSlow() const {
  return this->Http.pendingBytes(this->Exchange) > MaxPendingBytes;
}

} // namespace turmericpass
