#ifndef TURMERICPASS_CONTROL_SETTINGSMANIFEST_H
#define TURMERICPASS_CONTROL_SETTINGSMANIFEST_H

#include "Core/Error.h"
#include "Settings/SettingsFolder.h"

#include <cstdint>
#include <string>
#include <vector>

namespace turmericpass {

/// One file of an applied version. Its text stands in a row of its own, so
/// that a change to one file writes and moves only that file.
struct ManifestFile {
  std::string Name;
  /// SHA-256 of the text.
  std::string Hash;
  /// The version that wrote the text.
  std::uint64_t Since = 0;
};

/// An applied version: who, when, what.
struct SettingsManifest {
  /// 0 if nothing was ever applied.
  std::uint64_t Version = 0;
  std::string By;
  /// Milliseconds since 1970.
  std::int64_t AtMs = 0;
  /// The files that it changed, as a phrase.
  std::string Summary;
  std::vector<ManifestFile> Files;
};

std::string toJson(const SettingsManifest &Manifest);

/// Errors: Malformed.
Result<SettingsManifest> parseManifest(const std::string &Json);

/// Returns the manifest that follows \p Base when \p Files are applied.
SettingsManifest nextManifest(const SettingsManifest &Base,
                              const std::vector<SettingsFile> &Files);

/// Returns "version 7, applied by anna at 2026-12-04T06:00:00Z (changed ...)".
std::string describe(const SettingsManifest &Manifest);

} // namespace turmericpass

#endif
