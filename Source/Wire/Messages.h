#ifndef TURMERICPASS_WIRE_MESSAGES_H
#define TURMERICPASS_WIRE_MESSAGES_H

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace turmericpass {

/// Whether a piece of work ran at a backend server.
enum class Execution { NotRun, Ran, Unknown };

/// Returns "not_run", "ran" or "unknown".
std::string_view toName(Execution Value);

/// How a piece of work ended.
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
  /// The server was lost and the work may not be repeated.
  ServerLost,
  InvalidRequest,
};

std::string_view toName(FinishCode Value);

/// Trace context after W3C: 32 and 16 lower-case hexadecimal digits.
struct TraceContext {
  std::string TraceId;
  std::string SpanId;
};

/// Asks a dispatcher to run one piece of work.
struct Submit {
  std::string RequestId;
  /// Raised by each new submission of the same request to another dispatcher.
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
  /// Passed on to the backend server; empty if the caller gave none.
  std::string IdempotencyKey;
  /// Names equal requests of one customer, for quarantine.
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
  /// Slots of the dispatcher's usable servers that nothing online holds.
  std::uint32_t FreeSlots = 0;
  std::uint32_t QueuedOnline = 0;
  std::uint32_t QueuedBatch = 0;
  /// How long new online work would wait, in milliseconds.
  std::uint32_t ExpectedWaitMs = 0;
};

/// Tells that a dispatcher holds the request.
struct Accepted {
  std::string RequestId;
  std::uint32_t Attempt = 0;
  LoadHint Load;
};

/// A piece of a streamed answer.
struct Chunk {
  std::string RequestId;
  std::uint32_t Attempt = 0;
  /// Counts the tokens delivered before this chunk, from the first token of
  /// the whole answer. A receiver drops what it already has.
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
  /// The whole answer for work that does not stream.
  std::string Body;
  /// The finish reason of a stream, such as "stop" or "length".
  std::string Reason;
  /// A sentence for the caller when Code is not Ok.
  std::string Detail;
  std::uint64_t TotalTokens = 0;
  /// Milliseconds after which a resend makes sense; 0 if unknown.
  std::uint64_t RetryAfterMs = 0;
  LoadHint Load;
};

/// Withdraws a request. The dispatcher answers with Finish, whether or not it
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

/// What a node tells its peers of the fleet; only changed entries are sent.
struct Digest {
  std::string Node;
  std::string Zone;
  /// Differs after each start of the sender.
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  /// Entries has what changed after this sequence. A receiver that does not
  /// have all up to it acknowledges nothing.
  std::uint64_t Base = 0;
  /// The highest sequence of the receiver that the sender has.
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

/// Tells the daemons of one VM what the controller there knows: settings,
/// live dispatchers, leaving servers and quarantined fingerprints.
struct FleetView {
  std::uint64_t SettingsVersion = 0;
  /// Empty if the receiver's version, as last reported, is the same.
  std::string SettingsDocument;
  std::vector<std::string> LiveNodes;
  std::vector<std::string> LeavingServers;
  std::vector<std::string> QuarantinedFingerprints;
};

/// A daemon's report to the controller of its VM, each second.
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
