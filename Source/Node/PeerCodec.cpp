#include "Node/PeerCodec.h"

namespace turmericpass {

namespace {

constexpr std::uint32_t FieldsPerLoad = 3;
constexpr std::uint32_t FieldsPerCrash = 2;

} // namespace

const msgpack::object_array &checkedArray(const msgpack::object &Object,
                                          std::uint32_t GroupSize) {
  if (Object.type != msgpack::type::ARRAY ||
      Object.via.array.size % GroupSize != 0)
    throw msgpack::type_error();
  return Object.via.array;
}

LoadsByServer readLoads(const msgpack::object &Object) {
  LoadsByServer Loads;
  const std::uint32_t Size = checkedArray(Object, FieldsPerLoad).size;
  for (std::uint32_t I = 0; I < Size; I += FieldsPerLoad)
    Loads[readField<ServerKey>(Object, I)] = {readField<int>(Object, I + 1),
                                              readField<int>(Object, I + 2)};
  return Loads;
}

std::vector<CrashCounter::Entry> readCrashes(const msgpack::object &Object) {
  std::vector<CrashCounter::Entry> Crashes;
  const std::uint32_t Size = checkedArray(Object, FieldsPerCrash).size;
  for (std::uint32_t I = 0; I < Size; I += FieldsPerCrash)
    Crashes.push_back({readField<std::uint64_t>(Object, I),
                       readField<unsigned>(Object, I + 1)});
  return Crashes;
}

void packLoads(msgpack::packer<msgpack::sbuffer> &Out,
               const LoadsByServer &Loads) {
  Out.pack_array(static_cast<std::uint32_t>(FieldsPerLoad * Loads.size()));
  for (const auto &[Server, Load] : Loads) {
    Out.pack(Server);
    Out.pack(Load.Online);
    Out.pack(Load.Batch);
  }
}

void packCrashes(msgpack::packer<msgpack::sbuffer> &Out,
                 const std::vector<CrashCounter::Entry> &Crashes) {
  Out.pack_array(static_cast<std::uint32_t>(FieldsPerCrash * Crashes.size()));
  for (const CrashCounter::Entry &Crash : Crashes) {
    Out.pack(Crash.Fingerprint);
    Out.pack(Crash.Count);
  }
}

} // namespace turmericpass
