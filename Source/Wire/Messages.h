#ifndef TURMERICPASS_WIRE_MESSAGES_H
#define TURMERICPASS_WIRE_MESSAGES_H

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace turmericpass {

/// Whether a request ran on a backend server.
enum class Execution { NotRun, Ran, Unknown };

/// Returns "not_run", "ran" or "unknown".
std::string_view toName(Execution Value);

/// The outcome of a request.
enum class FinishCode {
  Ok,
  /// The backend server answered with an error of its own.
  ServerError,
  Cancelled,
  DeadlineExceeded,
  Overloaded,
  /// No server of the service can be used.
  NoServer,
  /// The request's fingerprint is in quarantine.
  Quarantined,
  /// The server was lost and the request is not repeatable.
  ServerLost,
  InvalidRequest,
};

std::string_view toName(FinishCode Value);

/// W3C trace context: ids of 32 and 16 lower-case hexadecimal digits.
struct TraceContext {
  std::string TraceId;
  std::string SpanId;
};

/// Asks a dispatcher to run one request.
struct Submit {
  std::string RequestId;
  /// Incremented by each submission of the same request to another dispatcher.
  std::uint32_t Attempt = 0;
  std::string Customer;
  std::string Service;
  std::string Class;
  std::string Method;
  /// The path and query at the backend server, such as /v1/chat/completions.
  std::string Path;
  std::string ContentType;
  std::string Body;
  /// Time left, in milliseconds; clocks of two VMs are never compared.
  std::uint64_t RemainingMs = 0;
  /// False for work that must run at most once: no retry, hedge or resumption.
  bool Repeatable = true;
  bool Stream = false;
  /// Forwarded to the backend server; empty if the caller sent none.
  std::string IdempotencyKey;
  /// Identifies equal requests of one customer, for quarantine.
  std::string Fingerprint;
  /// Hashes of the prompt's leading blocks, for prefix affinity.
  std::vector<std::uint64_t> PrefixHashes;
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxTokens = 0;
  /// Tokens that an earlier attempt already delivered.
  std::vector<std::uint32_t> ResumeTokenIds;
  TraceContext Trace;
};

/// A dispatcher's state for one service, sent along with its answers so that
/// gateways choose among dispatchers without messages of their own.
struct LoadHint {
  std::string Service;
  /// Slots of the dispatcher's usable servers without an online request.
  std::uint32_t FreeSlots = 0;
  std::uint32_t QueuedOnline = 0;
  std::uint32_t QueuedBatch = 0;
  /// The expected wait of a new online request, in milliseconds.
  std::uint32_t ExpectedWaitMs = 0;
};

/// Confirms that a dispatcher has accepted the request.
struct Accepted {
  std::string RequestId;
  std::uint32_t Attempt = 0;
  LoadHint Load;
};

/// A part of a streamed answer.
struct Chunk {
  std::string RequestId;
  std::uint32_t Attempt = 0;
  /// Counts the tokens delivered before this chunk, from the first token of
  /// the whole answer. A receiver drops tokens that it already has.
  std::uint64_t Offset = 0;
  std::vector<std::uint32_t> TokenIds;
  /// The text of each token, as many as TokenIds.
  std::vector<std::string> Texts;
};

/// Ends a request; exactly one is sent for each accepted submission.
struct Finish {
  std::string RequestId;
  std::uint32_t Attempt = 0;
  FinishCode Code = FinishCode::Ok;
  Execution Ran = Execution::Unknown;
  /// The backend server's HTTP status, or 0 if there was no answer.
  std::uint32_t Status = 0;
  std::string ContentType;
  /// The complete answer of a request that does not stream.
  std::string Body;
  /// The finish reason of a stream, such as "stop" or "length".
  std::string Reason;
  /// A sentence for the caller when Code is not Ok.
  std::string Detail;
  std::uint64_t TotalTokens = 0;
  /// Milliseconds after which the caller should retry; 0 if unknown.
  std::uint64_t RetryAfterMs = 0;
  LoadHint Load;
};

/// Cancels a request. The dispatcher answers with Finish, whether or not it
/// knows the request, and remembers the id so that a late Submit does not run.
struct Cancel {
  std::string RequestId;
  std::uint32_t Attempt = 0;
};

/// One entry of a membership digest: a named value with a version.
struct DigestEntry {
  /// Such as "node/a1", "leaving/engine-3" or "quarantine/<fingerprint>".
  std::string Key;
  std::uint64_t Version = 0;
  std::string Value;
};

/// The state of the fleet that a node sends to its peers. Only changed entries
/// are sent.
struct Digest {
  std::string Node;
  std::string Zone;
  /// Differs after each start of the sender.
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  /// Entries contains the changes after this sequence. A receiver that lacks
  /// earlier changes acknowledges nothing.
  std::uint64_t Base = 0;
  /// The highest sequence that the sender has received from the receiver.
  std::uint64_t Acknowledged = 0;
  std::uint64_t SettingsVersion = 0;
  std::vector<DigestEntry> Entries;
};

/// Asks a peer for its settings document; sent by a restarted node.
struct SettingsRequest {
  std::uint64_t KnownVersion = 0;
};

struct SettingsReply {
  std::uint64_t Version = 0;
  std::string Document;
};

/// The state that the controller of a VM sends to the daemons there: settings,
/// live dispatchers, leaving servers and quarantined fingerprints.
struct FleetView {
  std::uint64_t SettingsVersion = 0;
  /// Empty if the receiver last reported the same version.
  std::string SettingsDocument;
  std::vector<std::string> LiveNodes;
  std::vector<std::string> LeavingServers;
  std::vector<std::string> QuarantinedFingerprints;
};

/// The report that a daemon sends to the controller of its VM each second.
struct NodeReport {
  /// "gateway", "dispatcher" or "batcher".
  std::string Role;
  std::uint64_t SettingsVersion = 0;
  bool Draining = false;
  std::vector<std::string> LeavingServers;
  std::vector<std::string> QuarantinedFingerprints;
};

using Message =
    std::variant<Submit, Accepted, Chunk, Finish, Cancel, Digest,
                 SettingsRequest, SettingsReply, FleetView, NodeReport>;

} // namespace turmericpass

#endif
