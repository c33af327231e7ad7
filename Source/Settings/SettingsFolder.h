#ifndef TURMERICPASS_SETTINGS_SETTINGSFOLDER_H
#define TURMERICPASS_SETTINGS_SETTINGSFOLDER_H

#include "Core/Error.h"
#include "Settings/FleetSettings.h"

#include <string>
#include <vector>

namespace turmericpass {

/// The name and the content of one file in a settings folder.
struct SettingsFile {
  /// The file name without the path of the folder.
  std::string Name;
  std::string Text;
};

/// One problem found in a settings folder.
struct SettingsProblem {
  std::string File;
  /// The line number, starting at 1; 0 if the problem has no line.
  std::uint32_t Line = 0;
  std::string Key;
  /// Descriptions of the invalid value and of the allowed values.
  std::string Found;
  std::string Allowed;

  /// Returns "file:line: key: found ...; allowed: ...".
  std::string toText() const;
};

/// The result of a check. Settings is valid only if Problems is empty.
struct SettingsCheck {
  FleetSettings Settings;
  std::vector<SettingsProblem> Problems;
};

/// Reads every *.toml file of \p Folder, sorted by name. Errors: NotFound if
/// the folder or a file cannot be read, or if the folder has no such file.
Result<std::vector<SettingsFile>> readSettingsFolder(const std::string &Folder);

/// Merges and validates \p Files, and reports every problem.
SettingsCheck checkSettings(const std::vector<SettingsFile> &Files);

/// Serializes \p Files into the document that is stored in the platform's
/// table.
std::string packSettings(const std::vector<SettingsFile> &Files);

/// Parses a document that packSettings() produced. Errors: Malformed.
Result<std::vector<SettingsFile>> unpackSettings(const std::string &Document);

} // namespace turmericpass

#endif
