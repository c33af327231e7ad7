#ifndef TURMERICPASS_GATEWAY_CALLERANSWER_H
#define TURMERICPASS_GATEWAY_CALLERANSWER_H

#include "Completions/CompletionWriter.h"
#include "Gateway/OnlineRequest.h"
#include "Http/HttpServer.h"
#include "Http/HttpTypes.h"
#include "Wire/Messages.h"

#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// Writes the answer of one request to its caller. What belongs to an ended
/// exchange is dropped by the server.
class CallerAnswer {
public:
  /// \p Recorded keeps all bytes of a stream, for the stored outcome.
  CallerAnswer(HttpServer &Http, ExchangeId Exchange,
               const OnlineRequest &Request, HttpHeaders Common,
               std::int64_t CreatedSeconds, bool Recorded);

  /// Passes on the texts of tokens.
  void deliver(const std::vector<std::string> &Texts);

  /// Returns the reply that \p Ending makes, or the last events of a stream.
  HttpReply compose(const Finish &Ending);

  /// Returns what a resend of the request gets, given compose()'s reply.
  HttpReply stored(const Finish &Ending, const HttpReply &Reply) const;

  /// Ends the exchange with what compose() returned for \p Ending. A stream
  /// that cannot be finished gets an error event and a broken connection.
  void send(const Finish &Ending, HttpReply Reply);

  /// Returns whether the caller reads so slowly that too much is buffered.
  bool isTooSlow() const;

  /// Breaks the connection at once.
  void abort() { this->Http.abort(this->Exchange); }

  ExchangeId exchange() const { return this->Exchange; }

private:
  bool isGood(const Finish &Ending) const;
  HttpReply wholeReply(const Finish &Ending) const;
  std::string streamEnd(const Finish &Ending);
  void startStream();
  void stream(const std::string &Events);

  HttpServer &Http;
  ExchangeId Exchange;
  ServiceKind Kind;
  bool Stream;
  bool IncludeUsage;
  HttpHeaders Common;
  CompletionWriter Writer;
  bool Recorded;
  bool Started = false;
  /// The text of a whole answer, or the events of a recorded stream.
  std::string Text;
};

} // namespace turmericpass

#endif
