#ifndef TURMERICPASS_RAWHTTP_BACKENDCHANNELS_H
#define TURMERICPASS_RAWHTTP_BACKENDCHANNELS_H

#include "Core/Clock.h"
#include "RawHttp/RawMessage.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace turmericpass {

/// Names one request sent to a server; never used twice in a process. 0 names
/// none.
using SendId = std::uint64_t;

/// What is known about a request whose answer did not come whole.
enum class SendFailure {
  /// No byte was written, so it did not run.
  NotSent,
  /// It was written at least in part, so it may have run.
  Unanswered,
  /// Its answer began and was cut or was not HTTP/1.1.
  AnswerTruncated,
};

/// Receives the answer to one request. After done() or failed() nothing more
/// is called.
class SendHandler {
public:
  virtual ~SendHandler() = default;
  virtual void answerHead(SendId Id, const RawHead &Head) = 0;
  virtual void answerBody(SendId Id, std::string_view Bytes) = 0;
  virtual void answerDone(SendId Id) = 0;
  virtual void sendFailed(SendId Id, SendFailure Failure,
                          std::string_view Detail) = 0;
};

/// One request to a server at a network address.
struct BackendRequest {
  /// "ip:port".
  std::string Address;
  RawRequest Request;
  /// If not empty, an answer whose header EchoHeader holds another value
  /// belongs to an earlier request and is skipped.
  std::string EchoHeader;
  std::string EchoValue;
  /// How long a new connection may take.
  Duration ConnectTime = std::chrono::milliseconds(500);
};

/// Connections to servers, kept open between requests. It sends each request
/// once; whether to send it again is the caller's decision.
class BackendChannels {
public:
  virtual ~BackendChannels() = default;

  /// Sends a request. The handler is called from the loop, never from here.
  virtual SendId send(BackendRequest Order, SendHandler &Handler) = 0;

  /// Closes the connection of the request; its handler is not called again.
  virtual void cancel(SendId Id) = 0;

  /// Closes the idle connections to \p Address.
  virtual void forget(const std::string &Address) = 0;

  /// Whether a connection to \p Address is open and idle.
  virtual bool hasIdleConnection(const std::string &Address) const = 0;

  /// Bounds the connections to \p Address; 0 means no bound.
  virtual void setConnectionLimit(const std::string &Address,
                                  std::size_t Limit) = 0;
};

} // namespace turmericpass

#endif
