#include "Control/SettingsManifest.h"

#include "Core/Hash.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <nlohmann/json.hpp>

namespace turmericpass {

namespace {

const ManifestFile *findFile(const SettingsManifest &Manifest,
                             const std::string &Name) {
  for (const ManifestFile &File : Manifest.Files)
    if (File.Name == Name)
      return &File;
  return nullptr;
}

void appendPhrase(std::string &Text, const std::string &Verb,
                  const std::vector<std::string> &Names) {
  if (Names.empty())
    return;
  Text += (Text.empty() ? "" : "; ") + Verb;
  for (std::size_t I = 0; I < Names.size(); ++I)
    Text += (I == 0 ? " " : ", ") + Names[I];
}

std::string toUtc(std::int64_t Millis) {
  constexpr std::int64_t MillisPerSecond = 1000;
  const std::time_t Seconds = Millis / MillisPerSecond;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 32> Text{};
  const std::size_t Length =
      std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return {Text.data(), Length};
}

} // namespace

std::string toJson(const SettingsManifest &Manifest) {
  nlohmann::json Files = nlohmann::json::array();
  for (const ManifestFile &File : Manifest.Files)
    Files.push_back({{"name", File.Name},
                     {"hash", File.Hash},
                     {"since", File.WrittenInVersion}});
  return nlohmann::json({{"version", Manifest.Version},
                         {"by", Manifest.Operator},
                         {"at_ms", Manifest.AppliedAtMs},
                         {"summary", Manifest.Summary},
                         {"files", std::move(Files)}})
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<SettingsManifest> parseManifest(const std::string &Json) {
  try {
    const nlohmann::json Root = nlohmann::json::parse(Json);
    SettingsManifest Manifest;
    Manifest.Version = Root.at("version").get<std::uint64_t>();
    Manifest.Operator = Root.at("by").get<std::string>();
    Manifest.AppliedAtMs = Root.at("at_ms").get<std::int64_t>();
    Manifest.Summary = Root.at("summary").get<std::string>();
    for (const nlohmann::json &File : Root.at("files"))
      Manifest.Files.push_back({File.at("name").get<std::string>(),
                                File.at("hash").get<std::string>(),
                                File.at("since").get<std::uint64_t>()});
    return Manifest;
  } catch (const nlohmann::json::exception &Thrown) {
    return failure(ErrorCode::Malformed,
                   "A settings row in the table is malformed: " +
                       std::string(Thrown.what()) + ".");
  }
}

SettingsManifest nextManifest(const SettingsManifest &Base,
                              const std::vector<SettingsFile> &Files) {
  SettingsManifest Next;
  Next.Version = Base.Version + 1;
  std::vector<std::string> Added;
  std::vector<std::string> Changed;
  std::vector<std::string> Removed;
  for (const SettingsFile &File : Files) {
    ManifestFile Entry{File.Name, sha256Hex(File.Text), Next.Version};
    const ManifestFile *Old = findFile(Base, File.Name);
    if (!Old)
      Added.push_back(File.Name);
    else if (Old->Hash == Entry.Hash)
      Entry.WrittenInVersion = Old->WrittenInVersion;
    else
      Changed.push_back(File.Name);
    Next.Files.push_back(std::move(Entry));
  }
  for (const ManifestFile &Old : Base.Files)
    if (!findFile(Next, Old.Name))
      Removed.push_back(Old.Name);
  appendPhrase(Next.Summary, "changed", Changed);
  appendPhrase(Next.Summary, "added", Added);
  appendPhrase(Next.Summary, "removed", Removed);
  if (Next.Summary.empty())
    Next.Summary = "changed nothing";
  return Next;
}

std::string describe(const SettingsManifest &Manifest) {
  return "version " + std::to_string(Manifest.Version) + ", applied by " +
         Manifest.Operator + " at " + toUtc(Manifest.AppliedAtMs) + " (" +
         Manifest.Summary + ")";
}

} // namespace turmericpass
