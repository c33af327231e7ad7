#ifndef TURMERICPASS_CONTROL_SETTINGSMANIFEST_H
#define TURMERICPASS_CONTROL_SETTINGSMANIFEST_H

#include "Core/Error.h"
#include "Settings/SettingsFolder.h"

#include <cstdint>
#include <string>
#include <vector>

namespace turmericpass {

/// One file of an applied version. Its text is stored in a row of its own, so
/// that a change to one file writes and transfers only that file.
struct ManifestFile {
  std::string Name;
  /// The SHA-256 hash of the text.
  std::string Hash;
  /// The version that wrote the text.
  std::uint64_t WrittenInVersion = 0;
};

/// The description of an applied settings version.
struct SettingsManifest {
  /// 0 if no version has ever been applied.
  std::uint64_t Version = 0;
  std::string Operator;
  /// Milliseconds since 1970.
  std::int64_t AppliedAtMs = 0;
  /// A phrase that lists the files that the version changed.
  std::string Summary;
  std::vector<ManifestFile> Files;
};

std::string toJson(const SettingsManifest &Manifest);

/// Parses the output of toJson. Errors: Malformed.
Result<SettingsManifest> parseManifest(const std::string &Json);

/// Returns the manifest of the version that applies \p Files on top of \p Base.
/// The operator and the time are not set.
SettingsManifest nextManifest(const SettingsManifest &Base,
                              const std::vector<SettingsFile> &Files);

/// Returns "version 7, applied by anna at 2026-12-04T06:00:00Z (changed ...)".
std::string describe(const SettingsManifest &Manifest);

} // namespace turmericpass

#endif
