#ifndef TURMERICPASS_GATEWAY_ANSWERWRITER_H
#define TURMERICPASS_GATEWAY_ANSWERWRITER_H

#include "Completions/CompletionWriter.h"
#include "Gateway/OnlineRequest.h"
#include "Http/HttpServer.h"
#include "Http/HttpTypes.h"
#include "Wire/Messages.h"

#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// Writes the answer to one request. The HTTP server discards output for an
/// exchange that has ended.
class AnswerWriter {
public:
  /// \p KeepsStream keeps all bytes of a stream in memory, so that they can be
  /// stored as the outcome.
  AnswerWriter(HttpServer &Http, ExchangeId Exchange,
               const OnlineRequest &Request, HttpHeaders CommonHeaders,
               std::int64_t CreatedSeconds, bool KeepsStream);

  /// Sends the texts of tokens to the caller, or buffers them if the answer is
  /// not streamed.
  void deliver(const std::vector<std::string> &Texts);

  /// Returns the whole reply for \p Ending, or a reply whose body is the last
  /// events of a stream.
  HttpReply compose(const Finish &Ending);

  /// Returns the reply that a resend of the request receives. \p Reply is the
  /// result of compose().
  HttpReply composeStoredReply(const Finish &Ending,
                               const HttpReply &Reply) const;

  /// Ends the exchange with \p Reply, the result of compose() for \p Ending. A
  /// started stream that failed ends with an error event, and its connection is
  /// aborted, so that the caller cannot mistake it for a complete answer.
  void send(const Finish &Ending, HttpReply Reply);

  /// Returns whether the caller reads so slowly that too many bytes are
  /// buffered for it.
  bool isTooSlow() const;

  /// Aborts the connection without flushing it.
  void abort() { this->Http.abort(this->Exchange); }

  ExchangeId exchange() const { return this->Exchange; }

private:
  bool isSuccess(const Finish &Ending) const;
  HttpReply composeWholeReply(const Finish &Ending) const;
  std::string composeStreamEnd(const Finish &Ending);
  void startStream();
  void sendEvents(const std::string &Events);

  HttpServer &Http;
  ExchangeId Exchange;
  ServiceKind Kind;
  bool Stream;
  bool IncludeUsage;
  HttpHeaders CommonHeaders;
  CompletionWriter Writer;
  bool KeepsStream;
  bool StreamStarted = false;
  /// The text of an answer that is not streamed, or the events of a stream that
  /// is kept.
  std::string Text;
};

} // namespace turmericpass

#endif
