#include "Wire/Codec.h"

#include <exception>
#include <msgpack.hpp>
#include <utility>

MSGPACK_ADD_ENUM(turmericpass::Execution);
MSGPACK_ADD_ENUM(turmericpass::FinishCode);

namespace turmericpass {

namespace {

/// Visits the fields of each message, for both encoding and decoding.
template <typename F> void visitFields(Submit &M, F Visit) {
  Visit(M.RequestId, M.Attempt, M.Customer, M.Service, M.Class, M.Method,
        M.Path, M.ContentType, M.Body, M.RemainingMs, M.Repeatable, M.Stream,
        M.IdempotencyKey, M.Fingerprint, M.PrefixHashes, M.PromptTokens,
        M.MaxTokens, M.ResumeTokenIds, M.Trace.TraceId, M.Trace.SpanId);
}
template <typename F> void visitFields(LoadHint &M, F Visit) {
  Visit(M.Service, M.FreeSlots, M.QueuedOnline, M.QueuedBatch,
        M.ExpectedWaitMs);
}
template <typename F> void visitFields(Accepted &M, F Visit) {
  Visit(M.RequestId, M.Attempt, M.Load);
}
template <typename F> void visitFields(Chunk &M, F Visit) {
  Visit(M.RequestId, M.Attempt, M.Offset, M.TokenIds, M.Texts);
}
template <typename F> void visitFields(Finish &M, F Visit) {
  Visit(M.RequestId, M.Attempt, M.Code, M.Ran, M.Status, M.ContentType, M.Body,
        M.Reason, M.Detail, M.TotalTokens, M.RetryAfterMs, M.Load);
}
template <typename F> void visitFields(Cancel &M, F Visit) {
  Visit(M.RequestId, M.Attempt);
}
template <typename F> void visitFields(DigestEntry &M, F Visit) {
  Visit(M.Key, M.Version, M.Value);
}
template <typename F> void visitFields(Digest &M, F Visit) {
  Visit(M.Node, M.Zone, M.Incarnation, M.Sequence, M.Base, M.Acknowledged,
        M.SettingsVersion, M.Entries);
}
template <typename F> void visitFields(SettingsRequest &M, F Visit) {
  Visit(M.KnownVersion);
}
template <typename F> void visitFields(SettingsReply &M, F Visit) {
  Visit(M.Version, M.Document);
}
template <typename F> void visitFields(FleetView &M, F Visit) {
  Visit(M.SettingsVersion, M.SettingsDocument, M.LiveNodes, M.LeavingServers,
        M.QuarantinedFingerprints);
}
template <typename F> void visitFields(NodeReport &M, F Visit) {
  Visit(M.Role, M.SettingsVersion, M.Draining, M.LeavingServers,
        M.QuarantinedFingerprints);
}

using Packer = msgpack::packer<msgpack::sbuffer>;

template <typename T> void packValue(Packer &Out, const T &Value) {
  Out.pack(Value);
}

template <typename M> void packFields(Packer &Out, M &Body);

void packValue(Packer &Out, LoadHint Hint) { packFields(Out, Hint); }

void packValue(Packer &Out, const std::vector<DigestEntry> &Entries) {
  Out.pack_array(static_cast<std::uint32_t>(Entries.size()));
  for (DigestEntry Entry : Entries)
    packFields(Out, Entry);
}

template <typename M> void packFields(Packer &Out, M &Body) {
  visitFields(Body, [&Out](auto &...Fields) {
    Out.pack_array(sizeof...(Fields));
    (packValue(Out, Fields), ...);
  });
}

template <typename T> void unpackValue(const msgpack::object &From, T &Value) {
  From.convert(Value);
}

template <typename M> void unpackFields(const msgpack::object &From, M &Body);

void unpackValue(const msgpack::object &From, LoadHint &Hint) {
  unpackFields(From, Hint);
}

void unpackValue(const msgpack::object &From,
                 std::vector<DigestEntry> &Entries) {
  if (From.type != msgpack::type::ARRAY)
    throw msgpack::type_error();
  Entries.resize(From.via.array.size);
  for (std::uint32_t I = 0; I < From.via.array.size; ++I)
    unpackFields(From.via.array.ptr[I], Entries[I]);
}

template <typename M> void unpackFields(const msgpack::object &From, M &Body) {
  visitFields(Body, [&From](auto &...Fields) {
    if (From.type != msgpack::type::ARRAY ||
        From.via.array.size != sizeof...(Fields))
      throw msgpack::type_error();
    const msgpack::object *Next = From.via.array.ptr;
    (unpackValue(*Next++, Fields), ...);
  });
}

template <std::size_t Index = 0>
Message unpackMessage(std::size_t Type, const msgpack::object &From) {
  if constexpr (Index < std::variant_size_v<Message>) {
    if (Type != Index)
      return unpackMessage<Index + 1>(Type, From);
    std::variant_alternative_t<Index, Message> Body;
    unpackFields(From, Body);
    return Body;
  } else {
    throw msgpack::type_error();
  }
}

/// Returns whether all enumerators are in range; msgpack does not check them.
bool hasKnownEnumerators(const Message &Body) {
  const auto *FinishBody = std::get_if<Finish>(&Body);
  return !FinishBody || (toName(FinishBody->Code) != "unknown" &&
                         FinishBody->Ran >= Execution::NotRun &&
                         FinishBody->Ran <= Execution::Unknown);
}

constexpr std::uint32_t EnvelopeFields = 4;

Envelope decodeOrThrow(std::string_view Bytes) {
  // The limits prevent huge allocations for the arrays of a short message.
  const msgpack::unpack_limit Limits(1U << 20U, 16, MaxMessageBytes,
                                     MaxMessageBytes, 0, 8);
  std::size_t Used = 0;
  const msgpack::object_handle Handle = msgpack::unpack(
      Bytes.data(), Bytes.size(), Used, nullptr, nullptr, Limits);
  const msgpack::object &Root = Handle.get();
  if (Used != Bytes.size() || Root.type != msgpack::type::ARRAY ||
      Root.via.array.size != EnvelopeFields)
    throw msgpack::type_error();
  const msgpack::object *Fields = Root.via.array.ptr;
  if (Fields[0].as<std::uint32_t>() != ProtocolVersion)
    throw msgpack::type_error();
  Envelope Received;
  Received.From = Fields[1].as<std::string>();
  Received.Body = unpackMessage(Fields[2].as<std::uint32_t>(), Fields[3]);
  if (!hasKnownEnumerators(Received.Body))
    throw msgpack::type_error();
  return Received;
}

} // namespace

Result<std::string> encode(const Envelope &Sent) {
  msgpack::sbuffer Buffer;
  Packer Out(Buffer);
  Out.pack_array(EnvelopeFields);
  Out.pack(ProtocolVersion);
  Out.pack(Sent.From);
  Out.pack(static_cast<std::uint32_t>(Sent.Body.index()));
  std::visit(
      [&Out](const auto &Body) {
        // visitFields() serves both directions and needs a mutable message.
        packFields(Out, const_cast<std::decay_t<decltype(Body)> &>(Body));
      },
      Sent.Body);
  if (Buffer.size() > MaxMessageBytes)
    return failure(ErrorCode::TooLarge, "The message exceeds " +
                                            std::to_string(MaxMessageBytes) +
                                            " bytes.");
  return std::string(Buffer.data(), Buffer.size());
}

Result<Envelope> decode(std::string_view Bytes) {
  if (Bytes.size() > MaxMessageBytes)
    return failure(ErrorCode::TooLarge, "The message is too large.");
  try {
    return decodeOrThrow(Bytes);
  } catch (const std::exception &) {
    return failure(ErrorCode::Malformed,
                   "The bytes are not one whole message of protocol version " +
                       std::to_string(ProtocolVersion) + ".");
  }
}

} // namespace turmericpass
