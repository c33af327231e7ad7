#include "Control/SettingsStore.h"
#include "Platform/HttpTable.h"
#include "Programs/CliCommands.h"
#include "Programs/CliFleet.h"
#include "Programs/CliSupport.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace turmericpass {

namespace {

/// Remembers in a folder which version it was read or applied as.
constexpr const char *VersionFile = ".turmericpass-version";
constexpr std::size_t HistoryLength = 20;
constexpr unsigned DefaultWaitSeconds = 30;

std::filesystem::path versionPath(const std::string &Folder) {
  return std::filesystem::path(Folder) / VersionFile;
}

/// Returns the version that the operator started from; 0 for a folder that
/// was never applied.
std::uint64_t startVersion(const std::string &Folder) {
  std::ifstream In(versionPath(Folder));
  std::uint64_t Version = 0;
  In >> Version;
  return In ? Version : 0;
}

bool writeText(const std::filesystem::path &Path, const std::string &Text) {
  std::ofstream Out(Path, std::ios::binary | std::ios::trunc);
  Out << Text;
  Out.close();
  return Out.good();
}

std::string userName() {
  const char *Name = std::getenv("USER");
  return Name && *Name ? Name : "unknown";
}

/// Returns whether every zone that answers has \p Version in force.
bool isInForce(const std::vector<CliZone> &Zones, std::uint64_t Version) {
  for (const CliZone &Zone : Zones)
    if (Zone.Answers && Zone.SettingsVersion < Version)
      return false;
  return true;
}

ExitStatus waitInForce(CliContext &Context, const FleetSettings &Settings,
                       std::uint64_t Version, unsigned Seconds) {
  const Instant End = Context.Time.now() + std::chrono::seconds(Seconds);
  std::vector<CliZone> Zones = askZones(Context, Settings);
  while (!isInForce(Zones, Version) && Context.Time.now() < End) {
    Context.wait([] { return false; }, std::chrono::milliseconds(200));
    Zones = askZones(Context, Settings);
  }
  bool Everywhere = true;
  for (const CliZone &Zone : Zones) {
    const bool InForce = Zone.Answers && Zone.SettingsVersion >= Version;
    Everywhere = Everywhere && InForce;
    std::cout << "zone " << Zone.Zone << ": ";
    if (!Zone.Answers)
      std::cout << "cut off, no controller answers\n";
    else if (InForce)
      std::cout << "in force\n";
    else
      std::cout << "still at version " << Zone.SettingsVersion << '\n';
  }
  return Everywhere ? ExitStatus::Done : ExitStatus::Refused;
}

void print(const SettingsManifest &Manifest) {
  std::cout << describe(Manifest) << '\n';
}

ExitStatus showHistory(CliContext &Context, SettingsStore &Store) {
  const auto Versions = Context.await<std::vector<SettingsManifest>>(
      [&](const SettingsStore::HistoryCallback &Done) {
        Store.history(HistoryLength, Done);
      });
  if (!Versions)
    return refuse(Versions.error());
  for (const SettingsManifest &Each : *Versions)
    print(Each);
  return ExitStatus::Done;
}

ExitStatus writeFolder(CliContext &Context, SettingsStore &Store,
                       const std::string &Folder) {
  const auto Stored = Context.await<StoredSettings>(
      [&](const SettingsStore::FetchCallback &Done) { Store.fetch({}, Done); });
  if (!Stored)
    return refuse(Stored.error());
  std::error_code Failure;
  std::filesystem::create_directories(Folder, Failure);
  if (!std::filesystem::is_empty(Folder, Failure) || Failure)
    return refuse({ErrorCode::InvalidArgument,
                   "The folder " + Folder +
                       " is not empty or cannot be made; name a new one."});
  bool Written = true;
  for (const SettingsFile &File : Stored->Files)
    Written = Written &&
              writeText(std::filesystem::path(Folder) / File.Name, File.Text);
  Written =
      Written && writeText(versionPath(Folder),
                           std::to_string(Stored->Manifest.Version) + "\n");
  if (!Written)
    return refuse(
        {ErrorCode::Internal, "The folder " + Folder + " cannot be written."});
  print(Stored->Manifest);
  return ExitStatus::Done;
}

} // namespace

ExitStatus runCheck(const CliWords &Words) {
  options::options_description Described("Options");
  Described.add_options()("FOLDER", options::value<std::string>()->required(),
                          "the settings folder");
  const auto Values = parseCommand("check", "FOLDER", Described, Words);
  if (!Values)
    return Values.error();
  const auto Name = (*Values)["FOLDER"].as<std::string>();
  const std::optional<CliFolder> Folder = loadFolder(Name);
  if (!Folder)
    return ExitStatus::Refused;
  const FleetSettings &Settings = Folder->Settings;
  std::cout << Name << " is valid: " << Settings.Zones.size() << " zones, "
            << Settings.Nodes.size() << " nodes, " << Settings.Services.size()
            << " services, " << Settings.Servers.size() << " servers, "
            << Settings.Customers.size() << " customers\n";
  return ExitStatus::Done;
}

ExitStatus runApply(const CliWords &Words) {
  options::options_description Described("Options");
  Described.add_options()("FOLDER", options::value<std::string>()->required(),
                          "the settings folder")(
      "from", options::value<std::uint64_t>(),
      "the version that the folder was made from; without it the one that "
      "show --out or the last apply noted in the folder")(
      "by", options::value<std::string>()->default_value(userName()),
      "who applies, for the history")(
      "wait", options::value<unsigned>()->implicit_value(DefaultWaitSeconds),
      "wait at most so many seconds until the version is in force, and name "
      "the zones where it is not");
  const auto Values = parseCommand("apply", "FOLDER", Described, Words);
  if (!Values)
    return Values.error();
  const auto Name = (*Values)["FOLDER"].as<std::string>();
  const std::optional<CliFolder> Folder = loadFolder(Name);
  if (!Folder)
    return ExitStatus::Refused;
  const std::uint64_t From = Values->count("from") > 0
                                 ? (*Values)["from"].as<std::uint64_t>()
                                 : startVersion(Name);
  CliContext Context;
  HttpTable Rows(Context.Client, Folder->Settings.Platform.Table);
  SettingsStore Store(Rows, Context.Ids, Context.Time);
  const auto Applied = Context.await<SettingsManifest>(
      [&](const SettingsStore::ManifestCallback &Done) {
        Store.apply(From, (*Values)["by"].as<std::string>(), Folder->Files,
                    Done);
      });
  if (!Applied)
    return refuse(Applied.error());
  if (!writeText(versionPath(Name), std::to_string(Applied->Version) + "\n"))
    std::cerr << "The version could not be noted in " << Name
              << "; give --from " << Applied->Version << " next time.\n";
  print(*Applied);
  if (Values->count("wait") == 0)
    return ExitStatus::Done;
  return waitInForce(Context, Folder->Settings, Applied->Version,
                     (*Values)["wait"].as<unsigned>());
}

ExitStatus runShow(const CliWords &Words) {
  options::options_description Described("Options");
  Described.add_options()("settings", options::value<std::string>()->required(),
                          "a settings folder, for the platform's address")(
      "history", "list the latest versions, the newest first")(
      "out", options::value<std::string>(),
      "write the newest version into this new folder");
  const auto Values = parseCommand("show", "settings", Described, Words);
  if (!Values)
    return Values.error();
  const std::optional<CliFolder> Folder =
      loadFolder((*Values)["settings"].as<std::string>());
  if (!Folder)
    return ExitStatus::Refused;
  CliContext Context;
  HttpTable Rows(Context.Client, Folder->Settings.Platform.Table);
  SettingsStore Store(Rows, Context.Ids, Context.Time);
  if (Values->count("history") > 0)
    return showHistory(Context, Store);
  if (Values->count("out") > 0)
    return writeFolder(Context, Store, (*Values)["out"].as<std::string>());
  const auto Head = Context.await<SettingsManifest>(
      [&](const SettingsStore::ManifestCallback &Done) {
        Store.readHead(Done);
      });
  if (!Head)
    return refuse(Head.error());
  if (Head->Version == 0)
    std::cout << "nothing was applied yet\n";
  else
    print(*Head);
  return ExitStatus::Done;
}

} // namespace turmericpass
