#include "RawHttp/MessageReader.h"

#include "Http/AnswerHead.h"

#include <http_parser.h>
#include <utility>

namespace turmericpass {

struct MessageReader::State {
  http_parser Parser{};
  Kind Messages = Kind::Requests;
  std::size_t MaxHeadBytes = 0;
  MessageSink *Sink = nullptr;
  RawHead Head;
  std::size_t HeadSize = 0;
  bool LastWasValue = false;
  bool WithoutBody = false;
  bool Started = false;
  bool HeadComplete = false;
  bool Complete = false;
  /// The lines of the head, if the message is an answer.
  AnswerLines Lines;

  void reset() {
    http_parser_init(&this->Parser, this->Messages == Kind::Requests
                                        ? HTTP_REQUEST
                                        : HTTP_RESPONSE);
    this->Parser.data = this;
    this->Head = RawHead();
    this->HeadSize = 0;
    this->LastWasValue = false;
    this->Started = false;
    this->HeadComplete = false;
    this->Complete = false;
    this->Lines.reset();
  }

  bool isInterim() const {
    return this->Messages == Kind::Answers &&
           isInterimStatus(static_cast<int>(this->Parser.status_code));
  }

  bool isInHeadOfAnswer() const {
    return this->Messages == Kind::Answers && !this->HeadComplete;
  }
};

namespace {

/// The size of the status line of an interim answer.
constexpr std::size_t InterimHeadBytes = 25;

/// Results of on_headers_complete: the parsing ends with an error, or the
/// message ends with its head.
constexpr int RejectHead = -1;
constexpr int SkipBody = 1;

template <typename State> State &stateOf(http_parser *Parser) {
  return *static_cast<State *>(Parser->data);
}

template <typename State> int addToHeadSize(State &S, std::size_t Length) {
  S.HeadSize += Length;
  return S.HeadSize > S.MaxHeadBytes ? 1 : 0;
}

template <typename State> http_parser_settings makeSettings() {
  http_parser_settings Settings;
  http_parser_settings_init(&Settings);
  Settings.on_url = [](http_parser *P, const char *At, std::size_t Length) {
    State &S = stateOf<State>(P);
    S.Head.Target.append(At, Length);
    return addToHeadSize(S, Length);
  };
  Settings.on_header_field = [](http_parser *P, const char *At,
                                std::size_t Length) {
    State &S = stateOf<State>(P);
    // Trailers after a chunked body are dropped, but their size is limited like
    // that of a head.
    if (S.HeadComplete)
      return addToHeadSize(S, Length);
    if (S.LastWasValue || S.Head.Headers.empty())
      S.Head.Headers.emplace_back();
    S.LastWasValue = false;
    S.Head.Headers.back().first.append(At, Length);
    return addToHeadSize(S, Length);
  };
  Settings.on_header_value = [](http_parser *P, const char *At,
                                std::size_t Length) {
    State &S = stateOf<State>(P);
    if (S.HeadComplete)
      return addToHeadSize(S, Length);
    S.LastWasValue = true;
    S.Head.Headers.back().second.append(At, Length);
    return addToHeadSize(S, Length);
  };
  Settings.on_headers_complete = [](http_parser *P) {
    State &S = stateOf<State>(P);
    const bool IsRequest = P->type == HTTP_REQUEST;
    // The parser accepts some characters that must not be sent on, and answers
    // with other statuses.
    const bool IsValid =
        IsRequest
            ? isVisibleText(S.Head.Target) && areHeaderLines(S.Head.Headers)
            : isAnswerHead(static_cast<int>(P->status_code), S.Head.Headers);
    if (!IsValid)
      return RejectHead;
    // Interim answers precede the head without end if the server is faulty, so
    // each of them counts towards its limit, also one without headers.
    if (S.isInterim())
      return addToHeadSize(S, InterimHeadBytes) == 0 ? 0 : RejectHead;
    S.HeadComplete = true;
    if (IsRequest)
      S.Head.Method = http_method_str(static_cast<http_method>(P->method));
    else
      S.Head.Status = static_cast<int>(P->status_code);
    if (!(P->flags & F_CHUNKED) && (P->flags & F_CONTENTLENGTH))
      S.Head.ContentLength = P->content_length;
    S.Head.KeepAlive = http_should_keep_alive(P) != 0;
    const bool EndsWithHead =
        !IsRequest && (S.WithoutBody || isAnswerWithoutBody(S.Head.Status));
    S.Sink->onHead(std::move(S.Head));
    return EndsWithHead ? SkipBody : 0;
  };
  Settings.on_body = [](http_parser *P, const char *At, std::size_t Length) {
    stateOf<State>(P).Sink->onBody(std::string_view(At, Length));
    return 0;
  };
  Settings.on_message_complete = [](http_parser *P) {
    State &S = stateOf<State>(P);
    if (S.isInterim()) {
      S.Head = RawHead();
      S.LastWasValue = false;
      S.Lines.reset();
      return 0;
    }
    S.Complete = true;
    http_parser_pause(P, 1);
    return 0;
  };
  return Settings;
}

/// Returns the first line of \p Bytes with its end, or all if it has none.
std::string_view firstLine(std::string_view Bytes) {
  const std::size_t End = Bytes.find('\n');
  return End == std::string_view::npos ? Bytes : Bytes.substr(0, End + 1);
}

} // namespace

MessageReader::MessageReader(Kind Messages, std::size_t HeadBytes,
                             MessageSink &Sink)
    : ReaderState(std::make_unique<State>()) {
  this->ReaderState->Messages = Messages;
  this->ReaderState->MaxHeadBytes = HeadBytes;
  this->ReaderState->Sink = &Sink;
  this->ReaderState->reset();
}

MessageReader::~MessageReader() = default;

MessageReader::Step MessageReader::feed(std::string_view Bytes) {
  static const http_parser_settings Settings = makeSettings<State>();
  State &S = *this->ReaderState;
  if (!Bytes.empty())
    S.Started = true;
  std::size_t Consumed = 0;
  do {
    std::string_view Part = Bytes.substr(Consumed);
    if (S.isInHeadOfAnswer()) {
      Part = firstLine(Part);
      if (!S.Lines.add(Part))
        return {ReadOutcome::Invalid, Consumed};
    }
    Consumed +=
        http_parser_execute(&S.Parser, &Settings, Part.data(), Part.size());
    if (S.Complete) {
      S.Sink->onMessageComplete();
      S.reset();
      return {ReadOutcome::Complete, Consumed};
    }
    // Protocol upgrades are not supported, so a message that switches the
    // protocol is invalid.
    if (HTTP_PARSER_ERRNO(&S.Parser) != HPE_OK || S.Parser.upgrade)
      return {ReadOutcome::Invalid, Consumed};
  } while (Consumed < Bytes.size());
  return {ReadOutcome::Partial, Consumed};
}

void MessageReader::setWithoutBody(bool WithoutBody) {
  this->ReaderState->WithoutBody = WithoutBody;
}

ReadOutcome MessageReader::endOfStream() {
  return this->feed(std::string_view()).Outcome;
}

bool MessageReader::isInsideMessage() const {
  return this->ReaderState->Started;
}

} // namespace turmericpass
