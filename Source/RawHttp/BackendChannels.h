#ifndef TURMERICPASS_RAWHTTP_BACKENDCHANNELS_H
#define TURMERICPASS_RAWHTTP_BACKENDCHANNELS_H

#include "Core/Clock.h"
#include "RawHttp/RawMessage.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace turmericpass {

/// Identifies one request sent to a backend server. Unique within the process;
/// 0 identifies no request.
using SendId = std::uint64_t;

/// Describes how far a request came whose answer was not received completely.
enum class SendFailure {
  /// No byte of the request was written, so the server did not run it.
  NotSent,
  /// At least a part of the request was written, so the server may have run it.
  Unanswered,
  /// The answer started, but was truncated or was not valid HTTP/1.1.
  AnswerTruncated,
};

/// Receives the answer to one request. No member function is called for the
/// request after answerDone() or sendFailed().
class SendHandler {
public:
  virtual ~SendHandler() = default;
  virtual void answerHead(SendId Id, const RawHead &Head) = 0;
  virtual void answerBody(SendId Id, std::string_view Bytes) = 0;
  virtual void answerDone(SendId Id) = 0;
  virtual void sendFailed(SendId Id, SendFailure Failure,
                          std::string_view Detail) = 0;
};

/// One request to the backend server at a network address.
struct BackendRequest {
  /// "ip:port".
  std::string Address;
  RawRequest Request;
  /// If not empty, an answer in which this header has a value other than
  /// EchoValue belongs to an earlier request and is skipped.
  std::string EchoHeader;
  std::string EchoValue;
  /// The answer fails if its body exceeds this size; 0 means no limit.
  std::size_t MaxBodyBytes = 0;
  /// Time limit for opening a new connection.
  Duration ConnectTime = std::chrono::milliseconds(500);
};

/// Sends requests to backend servers over persistent connections. Each request
/// is sent at most once; a retry is the decision of the user of this class.
class BackendChannels {
public:
  virtual ~BackendChannels() = default;

  /// Sends a request. \p Handler is called from the event loop, never from
  /// within this function. A request without a valid head fails with NotSent.
  virtual SendId send(BackendRequest Request, SendHandler &Handler) = 0;

  /// Closes the connection of the request. The handler is not called for the
  /// request afterwards.
  virtual void cancel(SendId Id) = 0;

  /// Stops or resumes reading the answer of the request, so that a server that
  /// sends faster than its bytes are used has to wait.
  virtual void setReading(SendId Id, bool Reading) = 0;

  /// Returns how many bytes of the request wait to be written, or 0 if the
  /// request has ended.
  virtual std::size_t unsentBytes(SendId Id) const = 0;

  /// Closes the idle connections to \p Address.
  virtual void forget(const std::string &Address) = 0;

  /// Returns whether a connection to \p Address is open and idle.
  virtual bool hasIdleConnection(const std::string &Address) const = 0;

  /// Limits the number of connections to \p Address; 0 means no limit.
  virtual void setConnectionLimit(const std::string &Address,
                                  std::size_t Limit) = 0;
};

} // namespace turmericpass

#endif
