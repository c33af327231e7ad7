#ifndef TURMERICPASS_RAWHTTP_CALLERPORT_H
#define TURMERICPASS_RAWHTTP_CALLERPORT_H

#include "RawHttp/RawMessage.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace turmericpass {

/// Names one request of a caller; never used twice in a process.
using CallerId = std::uint64_t;

/// Receives what callers do.
class CallerHandler {
public:
  virtual ~CallerHandler() = default;

  /// A whole request was read. It is answered through CallerPort.
  virtual void requested(CallerId Id, RawRequest Request) = 0;

  /// The caller closed its connection before its answer was complete. No
  /// further call for \p Id has an effect.
  virtual void callerDisconnected(CallerId Id) = 0;
};

/// Answers callers. Calls for an unknown or finished id are ignored.
class CallerPort {
public:
  virtual ~CallerPort() = default;

  /// Sends a whole answer.
  virtual void reply(CallerId Id, int Status, const HttpHeaders &Headers,
                     std::string_view Body) = 0;

  /// Sends the head of an answer whose body follows in pieces. Without \p
  /// Length the body is chunked.
  virtual void sendHead(CallerId Id, int Status, const HttpHeaders &Headers,
                        std::optional<std::uint64_t> Length) = 0;
  virtual void sendPiece(CallerId Id, std::string_view Bytes) = 0;

  /// Ends an answer that was begun by sendHead.
  virtual void finish(CallerId Id) = 0;

  /// Closes the connection so that the answer does not look complete.
  virtual void abortAnswer(CallerId Id) = 0;
};

} // namespace turmericpass

#endif
