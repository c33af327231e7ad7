#ifndef TURMERICPASS_BACKENDS_BACKENDPORT_H
#define TURMERICPASS_BACKENDS_BACKENDPORT_H

#include "Core/Error.h"
#include "Wire/Messages.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace turmericpass {

/// Identifies one attempt to run a request on one backend server.
using AttemptId = std::uint64_t;

/// How far an attempt is known to have progressed when it ended.
enum class AttemptProgress {
  /// The request was not run: no byte was written, or the server refused the
  /// request before admission.
  NotSent,
  /// At least part of the request was written, so the server may have run it.
  Sent,
  /// The server began to send its answer.
  Admitted,
};

/// Returns "not_sent", "sent" or "admitted".
std::string_view toName(AttemptProgress Progress);

/// Consecutive tokens of a model engine's answer. Ids and Texts have the same
/// length.
struct TokenBatch {
  std::vector<std::uint32_t> Ids;
  std::vector<std::string> Texts;
};

/// The complete answer of a backend server. If the answer was streamed, Body is
/// empty and Reason is the finish reason of the stream.
struct BackendReply {
  int Status = 200;
  std::string ContentType;
  std::string Body;
  std::string Reason;
};

/// The load that a server reports. The report lags behind the actual load.
struct LoadReport {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  /// The share of the KV cache that is in use, from 0 to 1.
  double KvCacheUsage = 0;
  std::uint64_t AgeMs = 0;
};

/// The insertion of a prefix block into a server's cache, or its eviction.
struct CacheEvent {
  std::uint64_t Sequence = 0;
  std::uint64_t BlockHash = 0;
  bool Stored = true;
};

/// Callbacks for the events of one attempt. Exactly one of Done and Failed is
/// called, as the last callback. No callback is called after cancel().
struct AttemptHandlers {
  std::function<void(TokenBatch)> Tokens;
  std::function<void(BackendReply)> Done;
  std::function<void(Error, AttemptProgress)> Failed;
};

/// Runs requests on backend servers.
class BackendPort {
public:
  virtual ~BackendPort() = default;

  /// Sends \p Work to the server at \p Address ("ip:port"). A model engine is
  /// always asked to stream its answer and to resume after Work.ResumeTokenIds.
  /// \p RequestTag is sent as X-Request-Id; if the answer carries a different
  /// tag, the attempt fails with Malformed.
  virtual AttemptId start(const std::string &Address, const Submit &Work,
                          bool IsModel, const std::string &RequestTag,
                          AttemptHandlers Handlers) = 0;

  /// Closes the connection of the attempt, which makes the server cancel the
  /// request.
  virtual void cancel(AttemptId Id) = 0;

  virtual void fetchLoad(const std::string &Address,
                         std::function<void(Result<LoadReport>)> Done) = 0;

  virtual void fetchCacheEvents(
      const std::string &Address, std::uint64_t After,
      std::function<void(Result<std::vector<CacheEvent>>)> Done) = 0;
};

} // namespace turmericpass

#endif
