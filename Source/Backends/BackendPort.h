#ifndef TURMERICPASS_BACKENDS_BACKENDPORT_H
#define TURMERICPASS_BACKENDS_BACKENDPORT_H

#include "Core/Error.h"
#include "Wire/Messages.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace turmericpass {

/// Names one attempt to run a request at one backend server.
using AttemptId = std::uint64_t;

/// How far an attempt is known to have come when it ended.
enum class AttemptProgress {
  /// No byte was written, or the server refused before admission: not run.
  NotSent,
  /// Something was written; the server may have run it.
  Sent,
  /// The server began to answer.
  Admitted,
};

/// Returns "not_sent", "sent" or "admitted".
std::string_view toName(AttemptProgress Progress);

/// A piece of a model engine's answer.
struct TokenBatch {
  std::vector<std::uint32_t> Ids;
  std::vector<std::string> Texts;
};

/// A backend server's whole answer. For a streamed one Body is empty and
/// Reason says why the stream ended.
struct BackendReply {
  int Status = 200;
  std::string ContentType;
  std::string Body;
  std::string Reason;
};

/// What a server says of its load, with a lag.
struct LoadReport {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  /// The share of KV cache in use, 0 to 1.
  double KvCacheUsage = 0;
  std::uint64_t AgeMs = 0;
};

/// A prefix block that a server cached or dropped.
struct CacheEvent {
  std::uint64_t Sequence = 0;
  std::uint64_t BlockHash = 0;
  bool Stored = true;
};

/// Receives what becomes of one attempt; exactly one of Done and Failed is
/// called, and nothing after it or after a cancel.
struct AttemptHandlers {
  std::function<void(TokenBatch)> Tokens;
  std::function<void(BackendReply)> Done;
  std::function<void(Error, AttemptProgress)> Failed;
};

/// Runs requests at backend servers.
class BackendPort {
public:
  virtual ~BackendPort() = default;

  /// Sends \p Work to the server at \p Address ("ip:port"). A model engine is
  /// always asked to stream and to resume after Work.ResumeTokenIds. \p
  /// RequestTag goes out as X-Request-Id, and an answer with another tag
  /// fails as Malformed.
  virtual AttemptId start(const std::string &Address, const Submit &Work,
                          bool IsModel, const std::string &RequestTag,
                          AttemptHandlers Handlers) = 0;

  /// Closes the attempt's connection, which cancels it at the server.
  virtual void cancel(AttemptId Id) = 0;

  virtual void fetchLoad(const std::string &Address,
                         std::function<void(Result<LoadReport>)> Done) = 0;

  virtual void fetchCacheEvents(
      const std::string &Address, std::uint64_t After,
      std::function<void(Result<std::vector<CacheEvent>>)> Done) = 0;
};

} // namespace turmericpass

#endif
