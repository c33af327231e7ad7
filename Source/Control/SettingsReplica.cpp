#include "Control/SettingsReplica.h"

#include <utility>

namespace turmericpass {

SettingsReplica::SettingsReplica(FleetSettings Initial,
                                 std::vector<SettingsFile> InitialFiles)
    : Current(std::move(Initial)), Files(std::move(InitialFiles)),
      Document(packSettings(this->Files)) {}

Result<bool> SettingsReplica::adoptIfNewer(std::uint64_t Version,
                                           std::vector<SettingsFile> NewFiles) {
  if (Version <= this->Current.Version)
    return false;
  SettingsCheck Check = checkSettings(NewFiles);
  if (!Check.Problems.empty())
    return failure(ErrorCode::InvalidArgument,
                   "Settings version " + std::to_string(Version) +
                       " is invalid: " + Check.Problems.front().toText() + ".");
  this->Current = std::move(Check.Settings);
  this->Current.Version = Version;
  this->Files = std::move(NewFiles);
  this->Document = packSettings(this->Files);
  return true;
}

Result<bool> SettingsReplica::adoptIfNewer(std::uint64_t Version,
                                           const std::string &NewDocument) {
  if (Version <= this->Current.Version)
    return false;
  Result<std::vector<SettingsFile>> Unpacked = unpackSettings(NewDocument);
  if (!Unpacked)
    return tl::make_unexpected(Unpacked.error());
  return this->adoptIfNewer(Version, std::move(*Unpacked));
}

} // namespace turmericpass
