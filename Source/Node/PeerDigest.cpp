#include "Node/PeerDigest.h"

#include <exception>
#include <msgpack.hpp>

namespace turmericpass {

namespace {

/// The first field of each digest. It is incremented when the fields change.
constexpr unsigned ProtocolVersion = 3;
constexpr std::uint32_t FieldCount = 11;

template <typename T>
T field(const msgpack::object &Object, std::uint32_t Index) {
  return Object.via.array.ptr[Index].as<T>();
}

/// Returns the array in \p Object. Throws if its size is not a multiple of
/// \p GroupSize.
const msgpack::object_array &checkedArray(const msgpack::object &Object,
                                          std::uint32_t GroupSize) {
  if (Object.type != msgpack::type::ARRAY ||
      Object.via.array.size % GroupSize != 0)
    throw msgpack::type_error();
  return Object.via.array;
}

PeerDigest readDigest(const msgpack::object &Object) {
  if (checkedArray(Object, FieldCount).size != FieldCount ||
      field<unsigned>(Object, 0) != ProtocolVersion)
    throw msgpack::type_error();
  PeerDigest Digest;
  Digest.Incarnation = field<std::string>(Object, 1);
  Digest.Zone = field<std::string>(Object, 2);
  Digest.Sequence = field<std::uint64_t>(Object, 3);
  Digest.SettingsVersion = field<std::uint64_t>(Object, 4);
  Digest.Stopping = field<bool>(Object, 5);
  Digest.HasStoreView = field<bool>(Object, 6);
  const msgpack::object &ServerLoads = Object.via.array.ptr[7];
  for (std::uint32_t I = 0; I < checkedArray(ServerLoads, 3).size; I += 3)
    Digest.ServerLoads[field<ServerKey>(ServerLoads, I)] = {
        field<int>(ServerLoads, I + 1), field<int>(ServerLoads, I + 2)};
  const msgpack::object &Crashes = Object.via.array.ptr[8];
  for (std::uint32_t I = 0; I < checkedArray(Crashes, 2).size; I += 2)
    Digest.Crashes.push_back(
        {field<std::uint64_t>(Crashes, I), field<unsigned>(Crashes, I + 1)});
  Digest.AvoidedServers = field<std::vector<ServerKey>>(Object, 9);
  Digest.HasUrgentItems = field<bool>(Object, 10);
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
  Out.pack_array(static_cast<std::uint32_t>(3 * Digest.ServerLoads.size()));
  for (const auto &[Server, Load] : Digest.ServerLoads) {
    Out.pack(Server);
    Out.pack(Load.Online);
    Out.pack(Load.Batch);
  }
  Out.pack_array(static_cast<std::uint32_t>(2 * Digest.Crashes.size()));
  for (const CrashCounter::Entry &Crash : Digest.Crashes) {
    Out.pack(Crash.Fingerprint);
    Out.pack(Crash.Count);
  }
  Out.pack(Digest.AvoidedServers);
  Out.pack(Digest.HasUrgentItems);
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
