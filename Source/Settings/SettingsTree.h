#ifndef TURMERICPASS_SETTINGS_SETTINGSTREE_H
#define TURMERICPASS_SETTINGS_SETTINGSTREE_H

#include "Settings/SettingsFolder.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace turmericpass {

enum class SettingKind { Text, Integer, Real, Flag, List, Other };

/// Where something stands in a settings folder.
struct SettingPlace {
  std::string File;
  /// Counted from 1.
  std::uint32_t Line = 0;
};

/// The value of one key, with its place for error messages.
struct SettingValue {
  SettingKind Kind = SettingKind::Other;
  SettingPlace Place;
  std::string Text;
  std::int64_t Integer = 0;
  double Real = 0;
  bool Flag = false;
  std::vector<SettingValue> Items;
  /// The value as the file has it, shortened.
  std::string Shown;
  /// The whole value, by which two occurrences are compared.
  std::string Whole;
};

/// The keys of one table such as [nodes.a1].
struct SettingGroup {
  SettingPlace Place;
  std::map<std::string, SettingValue> Values;
};

/// The files of a folder merged into one tree. A section with named tables
/// ([nodes.NAME]) has one group for each name; [platform] and [limits] have
/// one group with the empty name.
struct SettingsTree {
  std::map<std::string, std::map<std::string, SettingGroup>> Sections;
  std::vector<SettingsProblem> Problems;
  /// True if a file is not TOML, so that references into it are unknown.
  bool Incomplete = false;
};

/// Parses and merges \p Files.
SettingsTree mergeSettings(const std::vector<SettingsFile> &Files);

} // namespace turmericpass

#endif
