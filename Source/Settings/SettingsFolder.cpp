#include "Settings/SettingsFolder.h"

#include "Settings/SettingsReader.h"
#include "Settings/SettingsRules.h"
#include "Settings/SettingsTree.h"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <string_view>
#include <tuple>

namespace turmericpass {

namespace {

constexpr std::string_view DocumentHeader = "turmericpass settings 1\n";

/// Removes a decimal number and the following \p After character from the front
/// of \p Rest and returns the number.
std::optional<std::size_t> consumeNumber(std::string_view &Rest, char After) {
  std::size_t Number = 0;
  const char *Last = Rest.data() + Rest.size();
  const auto [End, Failure] = std::from_chars(Rest.data(), Last, Number);
  if (Failure != std::errc() || End == Last || *End != After)
    return std::nullopt;
  Rest.remove_prefix(static_cast<std::size_t>(End - Rest.data()) + 1);
  return Number;
}

/// Removes one serialized file from the front of \p Rest and returns it.
std::optional<SettingsFile> consumeFile(std::string_view &Rest) {
  const std::optional<std::size_t> NameBytes = consumeNumber(Rest, ' ');
  if (!NameBytes)
    return std::nullopt;
  const std::optional<std::size_t> TextBytes = consumeNumber(Rest, '\n');
  if (!TextBytes || *NameBytes > Rest.size() ||
      *TextBytes > Rest.size() - *NameBytes)
    return std::nullopt;
  SettingsFile File;
  File.Name = Rest.substr(0, *NameBytes);
  File.Text = Rest.substr(*NameBytes, *TextBytes);
  Rest.remove_prefix(*NameBytes + *TextBytes);
  return File;
}

} // namespace

std::string SettingsProblem::toText() const {
  std::string Text = this->File;
  if (this->Line > 0)
    Text += ":" + std::to_string(this->Line);
  for (const std::string &Part : {this->Key, "found " + this->Found})
    if (!Part.empty())
      Text += (Text.empty() ? "" : ": ") + Part;
  return Text + "; allowed: " + this->Allowed;
}

Result<std::vector<SettingsFile>>
readSettingsFolder(const std::string &Folder) {
  std::error_code Failure;
  std::filesystem::directory_iterator Entries(Folder, Failure);
  if (Failure)
    return failure(ErrorCode::NotFound,
                   "The settings folder " + Folder +
                       " cannot be read: " + Failure.message() + ".");
  std::vector<SettingsFile> Files;
  for (const std::filesystem::directory_entry &Entry : Entries) {
    if (Entry.path().extension() != ".toml" || Entry.is_directory(Failure))
      continue;
    std::ifstream In(Entry.path(), std::ios::binary);
    std::ostringstream Text;
    if (In.peek() != std::ifstream::traits_type::eof())
      Text << In.rdbuf();
    if (In.bad() || !In.is_open())
      return failure(ErrorCode::NotFound, "The settings file " +
                                              Entry.path().string() +
                                              " cannot be read.");
    Files.push_back({Entry.path().filename().string(), Text.str()});
  }
  if (Files.empty())
    return failure(ErrorCode::NotFound,
                   "The settings folder " + Folder + " has no *.toml file.");
  std::sort(Files.begin(), Files.end(),
            [](const SettingsFile &Left, const SettingsFile &Right) {
              return Left.Name < Right.Name;
            });
  return Files;
}

SettingsCheck checkSettings(const std::vector<SettingsFile> &Files) {
  SettingsTree Tree = mergeSettings(Files);
  SettingsCheck Check;
  Check.Settings = readSettings(Tree);
  // The definitions in a file that failed to parse are unknown, so valid
  // references to them would be reported as problems.
  if (!Tree.HasParseErrors)
    SettingsRules(Tree, Check.Settings).check();
  Check.Problems = std::move(Tree.Problems);
  std::stable_sort(
      Check.Problems.begin(), Check.Problems.end(),
      [](const SettingsProblem &Left, const SettingsProblem &Right) {
        return std::tie(Left.File, Left.Line, Left.Key) <
               std::tie(Right.File, Right.Line, Right.Key);
      });
  return Check;
}

std::string packSettings(const std::vector<SettingsFile> &Files) {
  std::string Document(DocumentHeader);
  for (const SettingsFile &File : Files)
    Document += std::to_string(File.Name.size()) + " " +
                std::to_string(File.Text.size()) + "\n" + File.Name + File.Text;
  return Document;
}

Result<std::vector<SettingsFile>> unpackSettings(const std::string &Document) {
  std::string_view Rest = Document;
  if (!Rest.starts_with(DocumentHeader))
    return failure(ErrorCode::Malformed,
                   "The settings document does not begin with its format.");
  Rest.remove_prefix(DocumentHeader.size());
  std::vector<SettingsFile> Files;
  while (!Rest.empty()) {
    std::optional<SettingsFile> File = consumeFile(Rest);
    if (!File)
      return failure(ErrorCode::Malformed,
                     "The settings document is cut short or damaged.");
    Files.push_back(std::move(*File));
  }
  return Files;
}

} // namespace turmericpass
