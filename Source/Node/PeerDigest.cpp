#include "Node/PeerDigest.h"

#include "Node/PeerCodec.h"

#include <exception>

namespace turmericpass {

namespace {

/// The first field of each digest. It is incremented when the fields change.
constexpr unsigned ProtocolVersion = 6;
constexpr std::uint32_t FieldCount = 14;

PeerDigest readDigest(const msgpack::object &Object) {
  if (checkedArray(Object, FieldCount).size != FieldCount ||
      readField<unsigned>(Object, 0) != ProtocolVersion)
    throw msgpack::type_error();
  PeerDigest Digest;
  Digest.Incarnation = readField<std::string>(Object, 1);
  Digest.Zone = readField<std::string>(Object, 2);
  Digest.Sequence = readField<std::uint64_t>(Object, 3);
  Digest.SettingsVersion = readField<std::uint64_t>(Object, 4);
  Digest.Stopping = readField<bool>(Object, 5);
  Digest.HasStoreView = readField<bool>(Object, 6);
  Digest.ServerLoads = readLoads(Object.via.array.ptr[7]);
  Digest.Crashes = readCrashes(Object.via.array.ptr[8]);
  Digest.AvoidedServers = readField<std::vector<ServerKey>>(Object, 9);
  Digest.HasUrgentItems = readField<bool>(Object, 10);
  Digest.WaitingItems = readField<int>(Object, 11);
  Digest.Uses.Informed = readField<bool>(Object, 12);
  Digest.Uses.Uses = readUses(Object.via.array.ptr[13]);
  return Digest;
}

} // namespace

std::string encodeDigest(const PeerDigest &Digest) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Out(Buffer);
  Out.pack_array(FieldCount);
  Out.pack(ProtocolVersion);
  Out.pack(Digest.Incarnation);
  Out.pack(Digest.Zone);
  Out.pack(Digest.Sequence);
  Out.pack(Digest.SettingsVersion);
  Out.pack(Digest.Stopping);
  Out.pack(Digest.HasStoreView);
  packLoads(Out, Digest.ServerLoads);
  packCrashes(Out, Digest.Crashes);
  Out.pack(Digest.AvoidedServers);
  Out.pack(Digest.HasUrgentItems);
  Out.pack(Digest.WaitingItems);
  Out.pack(Digest.Uses.Informed);
  packUses(Out, Digest.Uses.Uses);
  return {Buffer.data(), Buffer.size()};
}

Result<PeerDigest> decodeDigest(std::string_view Bytes) {
  try {
    const msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size());
    return readDigest(Handle.get());
  } catch (const std::exception &Thrown) {
    return failure(ErrorCode::Malformed,
                   std::string("Cannot decode a digest: ") + Thrown.what() +
                       ".");
  }
}

} // namespace turmericpass
