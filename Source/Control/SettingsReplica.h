#ifndef TURMERICPASS_CONTROL_SETTINGSREPLICA_H
#define TURMERICPASS_CONTROL_SETTINGSREPLICA_H

#include "Core/Error.h"
#include "Settings/SettingsFolder.h"

#include <cstdint>
#include <string>
#include <vector>

namespace turmericpass {

/// The settings that are in force here. Only a higher version replaces them,
/// so that a late or repeated message never brings an old one back.
class SettingsReplica {
public:
  /// \p Initial and \p Files are the folder that the process started with.
  SettingsReplica(FleetSettings Initial, std::vector<SettingsFile> Files);

  const FleetSettings &settings() const { return this->Current; }
  std::uint64_t version() const { return this->Current.Version; }
  const std::vector<SettingsFile> &files() const { return this->Files; }
  /// Returns the files as one document of packSettings.
  const std::string &document() const { return this->Document; }

  /// Adopts \p Offered as version \p Version and returns true, or returns
  /// false if the version is not higher. Errors: Malformed or InvalidArgument
  /// if the settings cannot be used; the present ones stay in force.
  Result<bool> adoptIfNewer(std::uint64_t Version,
                            std::vector<SettingsFile> Offered);

  /// The same for a document of packSettings.
  Result<bool> adoptIfNewer(std::uint64_t Version, const std::string &Offered);

private:
  FleetSettings Current;
  std::vector<SettingsFile> Files;
  std::string Document;
};

} // namespace turmericpass

#endif
