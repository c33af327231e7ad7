#ifndef TURMERICPASS_RAWHTTP_CALLERPORT_H
#define TURMERICPASS_RAWHTTP_CALLERPORT_H

#include "RawHttp/RawMessage.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace turmericpass {

/// Identifies one request of a caller. Unique within the process.
using CallerId = std::uint64_t;

/// Receives the requests and disconnects of callers.
class CallerHandler {
public:
  virtual ~CallerHandler() = default;

  /// Called when a complete request was read. It is answered through
  /// CallerPort.
  virtual void requestReceived(CallerId Id, RawRequest Request) = 0;

  /// Called when the caller closed its connection before the answer was
  /// complete. Further calls of CallerPort for \p Id have no effect.
  virtual void callerDisconnected(CallerId Id) = 0;

  /// Called when the caller has read most of the bytes that were sent to it.
  virtual void callerCaughtUp(CallerId Id) { (void)Id; }
};

/// Sends answers to callers. Calls for the id of an unknown or finished request
/// are ignored.
class CallerPort {
public:
  virtual ~CallerPort() = default;

  /// Sends a complete answer.
  virtual void reply(CallerId Id, int Status, const HttpHeaders &Headers,
                     std::string_view Body) = 0;

  /// Sends the head of an answer whose body is sent by sendPiece(). Without \p
  /// Length the chunked transfer encoding is used.
  virtual void sendHead(CallerId Id, int Status, const HttpHeaders &Headers,
                        std::optional<std::uint64_t> Length) = 0;
  virtual void sendPiece(CallerId Id, std::string_view Bytes) = 0;

  /// Returns the number of bytes that the caller has not read yet.
  virtual std::size_t unsentBytes(CallerId Id) const = 0;

  /// Returns the sum of unsentBytes() of all callers, including those whose
  /// answers are complete.
  virtual std::size_t totalUnsentBytes() const = 0;

  /// Completes an answer that was started by sendHead().
  virtual void finish(CallerId Id) = 0;

  /// Closes the connection without completing the answer, so that the caller
  /// detects that the answer is truncated.
  virtual void abortAnswer(CallerId Id) = 0;
};

} // namespace turmericpass

#endif
