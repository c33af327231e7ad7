#ifndef TURMERICPASS_HTTP_HTTPCLIENT_H
#define TURMERICPASS_HTTP_HTTPCLIENT_H

#include "Core/Clock.h"
#include "Core/Error.h"
#include "Http/HttpTypes.h"

#include <cstdint>
#include <functional>
#include <string>

namespace turmericpass {

/// Identifies one outgoing request. Unique within the process.
using HttpCallId = std::uint64_t;

/// Describes how far a failed call came, which determines whether the server
/// may have run the request.
enum class HttpProgress {
  /// No byte of the request was written.
  NotSent,
  /// At least a part of the request was written.
  Sent,
  /// The head of the reply was received.
  Replying,
};

/// Receives the parts of a reply.
struct HttpCallHandlers {
  /// Called with the head of the reply.
  std::function<void(int Status, const HttpHeaders &)> Head;
  /// Called for each received piece of the body. If it is not set, the body is
  /// buffered and passed to Done.
  std::function<void(std::string_view Bytes)> Piece;
  /// Called when the reply is complete; its body is empty if Piece is set.
  std::function<void(HttpReply)> Done;
  /// Called when the call failed. Errors: Unavailable (the connection could not
  /// be opened or was lost), Timeout, TooLarge, Malformed.
  std::function<void(Error, HttpProgress)> Failed;
};

/// Sends HTTP requests from the event loop. It never retries a request.
class HttpClient {
public:
  virtual ~HttpClient() = default;

  /// Sends \p Request to \p Address ("ip:port"). One of Done and Failed is
  /// called once, from the event loop, unless the call is cancelled before. \p
  /// IdleLimit limits the time without progress, not the duration of the call.
  virtual HttpCallId call(const std::string &Address, HttpRequest Request,
                          Duration IdleLimit, HttpCallHandlers Handlers) = 0;

  /// Cancels a call by closing its connection. No handler is called afterwards.
  virtual void cancel(HttpCallId Id) = 0;
};

} // namespace turmericpass

#endif
