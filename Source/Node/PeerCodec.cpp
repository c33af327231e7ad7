#include "Node/PeerCodec.h"

namespace turmericpass {

namespace {

constexpr std::uint32_t FieldsPerLoad = 3;
/// A crash record is an array of the fields of the suspect, and of two fields
/// for each server.
constexpr std::uint32_t CrashHeadFields = 7;
constexpr std::uint32_t FieldsPerCrash = 2;
constexpr std::uint32_t FieldsPerUse = 5;

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

std::vector<CrashRecord> readCrashes(const msgpack::object &Object) {
  std::vector<CrashRecord> Crashes;
  const msgpack::object_array &Records = checkedArray(Object, 1);
  Crashes.reserve(Records.size);
  for (std::uint32_t R = 0; R < Records.size; ++R) {
    const msgpack::object &Fields = Records.ptr[R];
    const std::uint32_t Size = checkedArray(Fields, 1).size;
    if (Size < CrashHeadFields ||
        (Size - CrashHeadFields) % FieldsPerCrash != 0)
      throw msgpack::type_error();
    CrashRecord &Record = Crashes.emplace_back();
    Record.Suspect = readField<std::uint64_t>(Fields, 0);
    Record.Resets = readField<std::uint32_t>(Fields, 1);
    Record.AgeSeconds = readField<std::uint32_t>(Fields, 2);
    Record.Stored = readField<bool>(Fields, 3);
    Record.IsPart = readField<bool>(Fields, 4);
    Record.Trials = readField<std::uint32_t>(Fields, 5);
    Record.Requests = readField<std::vector<std::uint32_t>>(Fields, 6);
    for (std::uint32_t I = CrashHeadFields; I < Size; I += FieldsPerCrash)
      Record.Servers.push_back({readField<std::uint32_t>(Fields, I),
                                readField<std::uint32_t>(Fields, I + 1)});
  }
  return Crashes;
}

std::vector<OrganisationUse> readUses(const msgpack::object &Object) {
  const std::uint32_t Size = checkedArray(Object, FieldsPerUse).size;
  if (Size > FieldsPerUse * RateLimits::MaxReportedUses)
    throw msgpack::type_error();
  std::vector<OrganisationUse> Uses;
  Uses.reserve(Size / FieldsPerUse);
  for (std::uint32_t I = 0; I < Size; I += FieldsPerUse) {
    OrganisationUse &Use = Uses.emplace_back();
    Use.Organisation = readField<OrganisationKey>(Object, I);
    Use.Admitted = readField<std::uint64_t>(Object, I + 1);
    Use.AdmittedRecently = readField<std::uint32_t>(Object, I + 2);
    Use.Balance = readField<std::int32_t>(Object, I + 3);
    Use.FleetRecently = readField<std::uint32_t>(Object, I + 4);
  }
  return Uses;
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
                 const std::vector<CrashRecord> &Crashes) {
  Out.pack_array(static_cast<std::uint32_t>(Crashes.size()));
  for (const CrashRecord &Record : Crashes) {
    Out.pack_array(static_cast<std::uint32_t>(
        CrashHeadFields + FieldsPerCrash * Record.Servers.size()));
    Out.pack(Record.Suspect);
    Out.pack(Record.Resets);
    Out.pack(Record.AgeSeconds);
    Out.pack(Record.Stored);
    Out.pack(Record.IsPart);
    Out.pack(Record.Trials);
    Out.pack(Record.Requests);
    for (const CrashRecord::ServerCrashes &Each : Record.Servers) {
      Out.pack(Each.Server);
      Out.pack(Each.Count);
    }
  }
}

void packUses(msgpack::packer<msgpack::sbuffer> &Out,
              const std::vector<OrganisationUse> &Uses) {
  Out.pack_array(static_cast<std::uint32_t>(FieldsPerUse * Uses.size()));
  for (const OrganisationUse &Use : Uses) {
    Out.pack(Use.Organisation);
    Out.pack(Use.Admitted);
    Out.pack(Use.AdmittedRecently);
    Out.pack(Use.Balance);
    Out.pack(Use.FleetRecently);
  }
}

} // namespace turmericpass
