#include "Gateway/AnswerWriter.h"

#include "Gateway/Problem.h"

#include <utility>

namespace turmericpass {

namespace {

/// The size of about 10,000 token events. A caller with more unread bytes reads
/// more slowly than any link that is fit for streaming.
constexpr std::size_t MaxPendingBytes = std::size_t{2} << 20U;

constexpr const char *EventStream = "text/event-stream";

bool isHttpStatus(std::uint32_t Status) {
  return Status >= 200 && Status <= 599;
}

} // namespace

AnswerWriter::AnswerWriter(HttpServer &Http, ExchangeId Exchange,
                           const OnlineRequest &Request,
                           HttpHeaders CommonHeaders,
                           std::int64_t CreatedSeconds, bool KeepsStream)
    : Http(Http), Exchange(Exchange), Kind(Request.Kind),
      Stream(Request.Stream), IncludeUsage(Request.IncludeUsage),
      CommonHeaders(std::move(CommonHeaders)),
      Writer({(Request.Chat ? "chatcmpl-" : "cmpl-") + Request.Work.RequestId,
              Request.Model, Request.Chat, CreatedSeconds,
              Request.Work.PromptTokens}),
      KeepsStream(KeepsStream) {}

void AnswerWriter::startStream() {
  if (std::exchange(this->StreamStarted, true))
    return;
  HttpHeaders Headers = this->CommonHeaders;
  Headers.emplace_back("Content-Type", EventStream);
  Headers.emplace_back("Cache-Control", "no-cache");
  this->Http.startStream(this->Exchange, 200, Headers);
}

void AnswerWriter::sendEvents(const std::string &Events) {
  if (Events.empty())
    return;
  this->startStream();
  this->Http.sendPiece(this->Exchange, Events);
  if (this->KeepsStream)
    this->Text += Events;
}

void AnswerWriter::deliver(const std::vector<std::string> &Texts) {
  if (!this->Stream) {
    for (const std::string &Piece : Texts)
      this->Text += Piece;
    return;
  }
  std::string Events;
  for (const std::string &Piece : Texts)
    Events += this->Writer.formatText(Piece);
  this->sendEvents(Events);
}

bool AnswerWriter::isSuccess(const Finish &Ending) const {
  return Ending.Code == FinishCode::Ok &&
         (this->Kind == ServiceKind::Plain || Ending.Status < 400);
}

std::string AnswerWriter::composeStreamEnd(const Finish &Ending) {
  std::string Events = this->Writer.formatEnd(Ending.Reason);
  if (this->IncludeUsage)
    Events += this->Writer.formatUsage(Ending.TotalTokens);
  return Events + CompletionWriter::formatDone();
}

HttpReply AnswerWriter::composeWholeReply(const Finish &Ending) const {
  const bool HasAnswer =
      this->isSuccess(Ending) ||
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

HttpReply AnswerWriter::compose(const Finish &Ending) {
  const bool IsSuccess = this->isSuccess(Ending);
  if (!this->Stream || (!this->StreamStarted && !IsSuccess))
    return this->composeWholeReply(Ending);
  HttpReply Reply;
  Reply.Headers = {{"Content-Type", EventStream}};
  Reply.Body = IsSuccess
                   ? this->composeStreamEnd(Ending)
                   : CompletionWriter::formatError(toJson(toProblem(Ending)));
  if (this->KeepsStream)
    this->Text += Reply.Body;
  return Reply;
}

HttpReply AnswerWriter::composeStoredReply(const Finish &Ending,
                                           const HttpReply &Reply) const {
  if (!this->Stream)
    return Reply;
  if (!this->isSuccess(Ending))
    return toReply(toProblem(Ending));
  return {200, Reply.Headers, this->Text};
}

void AnswerWriter::send(const Finish &Ending, HttpReply Reply) {
  const bool IsSuccess = this->isSuccess(Ending);
  if (!this->Stream || (!this->StreamStarted && !IsSuccess)) {
    for (const auto &Header : this->CommonHeaders)
      Reply.Headers.push_back(Header);
    this->Http.reply(this->Exchange, std::move(Reply));
    return;
  }
  this->startStream();
  this->Http.sendPiece(this->Exchange, Reply.Body);
  if (IsSuccess)
    this->Http.endStream(this->Exchange);
  else
    this->Http.abortAfterFlush(this->Exchange);
}

bool AnswerWriter::isTooSlow() const {
  return this->Http.pendingBytes(this->Exchange) > MaxPendingBytes;
}

} // namespace turmericpass
