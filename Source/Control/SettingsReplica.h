#ifndef TURMERICPASS_CONTROL_SETTINGSREPLICA_H
#define TURMERICPASS_CONTROL_SETTINGSREPLICA_H

#include "Core/Error.h"
#include "Settings/SettingsFolder.h"

#include <cstdint>
#include <string>
#include <vector>

namespace turmericpass {

/// The settings that are in force on this node. Only a higher version replaces
/// them, so a late or repeated message never restores an old version.
class SettingsReplica {
public:
  /// \p Initial and \p Files are the contents of the folder that the process
  /// started with.
  SettingsReplica(FleetSettings Initial, std::vector<SettingsFile> Files);

  const FleetSettings &settings() const { return this->Current; }
  std::uint64_t version() const { return this->Current.Version; }
  const std::vector<SettingsFile> &files() const { return this->Files; }
  /// Returns the files as one document, packed by packSettings.
  const std::string &document() const { return this->Document; }

  /// Adopts \p NewFiles as version \p Version and returns true, or returns
  /// false if the version is not higher than the current one. Errors: Malformed
  /// or InvalidArgument if the settings are invalid; the current settings then
  /// stay in force.
  Result<bool> adoptIfNewer(std::uint64_t Version,
                            std::vector<SettingsFile> NewFiles);

  /// The same for a document that packSettings has created.
  Result<bool> adoptIfNewer(std::uint64_t Version,
                            const std::string &NewDocument);

private:
  FleetSettings Current;
  std::vector<SettingsFile> Files;
  std::string Document;
};

} // namespace turmericpass

#endif
