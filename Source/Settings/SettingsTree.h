#ifndef TURMERICPASS_SETTINGS_SETTINGSTREE_H
#define TURMERICPASS_SETTINGS_SETTINGSTREE_H

#include "Settings/SettingsFolder.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmericpass {

enum class SettingKind { Text, Integer, Real, Flag, List, Other };

/// The location of a value or a table in a settings folder.
struct SettingLocation {
  std::string File;
  /// The line number, starting at 1.
  std::uint32_t Line = 0;
};

/// The value of one key, with its location for problem reports.
struct SettingValue {
  SettingKind Kind = SettingKind::Other;
  SettingLocation Location;
  std::string Text;
  std::int64_t Integer = 0;
  double Real = 0;
  bool Flag = false;
  std::vector<SettingValue> Items;
  /// The value in TOML syntax, truncated for problem reports.
  std::string DisplayText;
  /// The complete value in TOML syntax, used to compare two definitions.
  std::string FullText;
};

/// The keys of one table such as [nodes.a1].
struct SettingGroup {
  SettingLocation Location;
  std::map<std::string, SettingValue> Values;
};

/// All files of a folder, merged into one tree. A section with named tables
/// ([nodes.NAME]) has one group for each name; [platform] and [limits] each
/// have one group whose name is empty.
struct SettingsTree {
  std::map<std::string, std::map<std::string, SettingGroup>> Sections;
  std::vector<SettingsProblem> Problems;
  /// Whether a file failed to parse, so that its definitions are missing.
  bool HasParseErrors = false;
};

/// Parses and merges \p Files.
SettingsTree mergeSettings(const std::vector<SettingsFile> &Files);

} // namespace turmericpass

#endif
