#include "Node/ZoneSummary.h"

#include "Core/Hash.h"
#include "Node/PeerCodec.h"
#include "RawHttp/SocketOptions.h"

#include <arpa/inet.h>
#include <array>
#include <cstring>
#include <exception>

namespace turmericpass {

namespace {

/// The first field of each summary. It differs from the versions of digests,
/// and is incremented when the fields change.
constexpr unsigned ProtocolVersion = 66;
constexpr std::uint32_t FieldCount = 13;
constexpr std::uint32_t FieldsPerMember = 5;
/// The first byte of a msgpack array with fewer than 16 elements is this value
/// plus the number of elements.
constexpr unsigned char SmallArrayMark = 0x90;

constexpr unsigned StoppingFlag = 1;
constexpr unsigned StoreViewFlag = 2;
constexpr unsigned NewestSettingsFlag = 4;

/// The binary form of an address: four bytes for the IP and two for the port.
constexpr std::size_t PackedAddressBytes = 6;

std::string packAddress(const std::string &Address) {
  const Result<sockaddr_in> Parsed = parseSocketAddress(Address);
  std::string Packed(PackedAddressBytes, '\0');
  if (Parsed) {
    std::memcpy(Packed.data(), &Parsed->sin_addr, 4);
    std::memcpy(Packed.data() + 4, &Parsed->sin_port, 2);
  }
  return Packed;
}

std::string unpackAddress(const std::string &Packed) {
  if (Packed.size() != PackedAddressBytes)
    throw msgpack::type_error();
  in_addr Ip{};
  in_port_t Port = 0;
  std::memcpy(&Ip, Packed.data(), 4);
  std::memcpy(&Port, Packed.data() + 4, 2);
  std::array<char, INET_ADDRSTRLEN> Text{};
  inet_ntop(AF_INET, &Ip, Text.data(), Text.size());
  return std::string(Text.data()) + ":" + std::to_string(ntohs(Port));
}

ZoneSummary readSummary(const msgpack::object &Object) {
  if (checkedArray(Object, FieldCount).size != FieldCount ||
      readField<unsigned>(Object, 0) != ProtocolVersion)
    throw msgpack::type_error();
  ZoneSummary Summary;
  Summary.Zone = readField<std::string>(Object, 1);
  Summary.Aggregator = readField<NodeKey>(Object, 2);
  Summary.Sequence = readField<std::uint64_t>(Object, 3);
  Summary.Loads = readLoads(Object.via.array.ptr[4]);
  const msgpack::object &Members = Object.via.array.ptr[5];
  const std::uint32_t Size = checkedArray(Members, FieldsPerMember).size;
  for (std::uint32_t I = 0; I < Size; I += FieldsPerMember) {
    ZoneMember Member;
    Member.Key = readField<NodeKey>(Members, I);
    Member.Address = unpackAddress(readField<std::string>(Members, I + 1));
    Member.Sequence = readField<std::uint64_t>(Members, I + 2);
    Member.Weight = readField<int>(Members, I + 3);
    const auto Flags = readField<unsigned>(Members, I + 4);
    Member.Stopping = (Flags & StoppingFlag) != 0;
    Member.HasStoreView = (Flags & StoreViewFlag) != 0;
    Member.HasNewestSettings = (Flags & NewestSettingsFlag) != 0;
    Summary.Members.push_back(std::move(Member));
  }
  Summary.HasUrgentItems = readField<bool>(Object, 6);
  Summary.AvoidedServers = readField<std::vector<ServerKey>>(Object, 7);
  Summary.Crashes = readCrashes(Object.via.array.ptr[8]);
  Summary.WaitingItems = readField<int>(Object, 9);
  Summary.SettingsVersion = readField<std::uint64_t>(Object, 10);
  Summary.Uses.Informed = readField<bool>(Object, 11);
  Summary.Uses.Uses = readUses(Object.via.array.ptr[12]);
  return Summary;
}

} // namespace

NodeKey nodeKey(std::string_view Incarnation) { return hash64(Incarnation); }

bool isZoneSummary(std::string_view Bytes) {
  return Bytes.size() > 1 &&
         static_cast<unsigned char>(Bytes[0]) == SmallArrayMark + FieldCount &&
         static_cast<unsigned char>(Bytes[1]) == ProtocolVersion;
}

std::string encodeSummary(const ZoneSummary &Summary) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Out(Buffer);
  Out.pack_array(FieldCount);
  Out.pack(ProtocolVersion);
  Out.pack(Summary.Zone);
  Out.pack(Summary.Aggregator);
  Out.pack(Summary.Sequence);
  packLoads(Out, Summary.Loads);
  Out.pack_array(
      static_cast<std::uint32_t>(FieldsPerMember * Summary.Members.size()));
  for (const ZoneMember &Member : Summary.Members) {
    Out.pack(Member.Key);
    Out.pack(packAddress(Member.Address));
    Out.pack(Member.Sequence);
    Out.pack(Member.Weight);
    Out.pack((Member.Stopping ? StoppingFlag : 0) |
             (Member.HasStoreView ? StoreViewFlag : 0) |
             (Member.HasNewestSettings ? NewestSettingsFlag : 0));
  }
  Out.pack(Summary.HasUrgentItems);
  Out.pack(Summary.AvoidedServers);
  packCrashes(Out, Summary.Crashes);
  Out.pack(Summary.WaitingItems);
  Out.pack(Summary.SettingsVersion);
  Out.pack(Summary.Uses.Informed);
  packUses(Out, Summary.Uses.Uses);
  return {Buffer.data(), Buffer.size()};
}

Result<ZoneSummary> decodeSummary(std::string_view Bytes) {
  try {
    const msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size());
    return readSummary(Handle.get());
  } catch (const std::exception &Thrown) {
    return failure(ErrorCode::Malformed,
                   std::string("Cannot decode a zone summary: ") +
                       Thrown.what() + ".");
  }
}

} // namespace turmericpass
