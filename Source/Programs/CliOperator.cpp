#include "Control/DrainMarks.h"
#include "Http/PercentEncoding.h"
#include "Platform/HttpTable.h"
#include "Programs/CliCommands.h"
#include "Programs/CliFleet.h"
#include "Programs/CliSupport.h"
#include "Telemetry/LogStory.h"

#include <array>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

namespace turmericpass {

namespace {

constexpr std::array<const char *, 4> Roles = {"gateway", "dispatcher",
                                               "batcher", "controller"};
constexpr int OkStatus = 200;

/// Prints what \p Files say about \p Id. Lines that name it are marked.
ExitStatus explainFromLogs(const std::string &Id,
                           const std::vector<std::string> &Files) {
  LogStory Story(Id);
  for (const std::string &File : Files) {
    std::ifstream In(File);
    if (!In)
      return refuse(
          {ErrorCode::NotFound, "The log " + File +
                                    " cannot be read; name files that "
                                    "hold the standard output of nodes."});
    Story.read(In);
  }
  const std::vector<LogStory::Entry> Told = Story.tell();
  if (Told.empty())
    return refuse({ErrorCode::NotFound,
                   "No line names " + Id + "; give the logs of all nodes."});
  for (const LogStory::Entry &Each : Told)
    std::cout << (Each.Direct ? "* " : "  ") << std::setw(8) << std::showpos
              << Each.TimeMillis - Told.front().TimeMillis << std::noshowpos
              << " ms  " << Each.Node << "  " << Each.Message << ' '
              << Each.Details << '\n';
  if (Story.skipped() > 0)
    std::cerr << Story.skipped() << " lines were no log lines.\n";
  return ExitStatus::Done;
}

options::options_description describeSettings() {
  options::options_description Described("Options");
  Described.add_options()("settings", options::value<std::string>()->required(),
                          "the settings folder");
  return Described;
}

void printZone(const CliZone &Zone, std::size_t Nodes) {
  std::cout << "zone " << Zone.Zone << ": ";
  if (!Zone.Answers) {
    std::cout << "cut off, no controller answers\n";
    return;
  }
  std::cout << Zone.LiveNodes.size() << " of " << Nodes
            << " nodes live, settings version " << Zone.SettingsVersion
            << " in force\n";
  for (const std::string &Name : Zone.Leaving)
    std::cout << "  leaving: " << Name << '\n';
  if (Zone.Quarantined > 0)
    std::cout << "  requests in quarantine: " << Zone.Quarantined << '\n';
}

/// Prints the decisions that one daemon has about \p Id. Returns whether the
/// daemon answered.
bool printDecisions(CliContext &Context, const std::string &Address,
                    const std::string &Label, const std::string &Id,
                    std::size_t &Count) {
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = "/explain";
  Request.Query = "id=" + percentEncode(Id);
  const Result<HttpReply> Reply = Context.call(Address, std::move(Request));
  if (!Reply)
    return false;
  const auto Records = nlohmann::json::parse(Reply->Body, nullptr, false);
  if (Reply->Status != OkStatus || !Records.is_array())
    return true;
  for (const nlohmann::json &Record : Records) {
    ++Count;
    std::cout << Label << ' ' << Record.value("at_ms", std::int64_t{0}) << ' '
              << Record.value("kind", "") << ": " << Record.value("text", "")
              << '\n';
  }
  return true;
}

ExitStatus changeMark(const CliFolder &Folder, const std::string &Name,
                      bool Undo) {
  CliContext Context;
  HttpTable Rows(Context.Client, Folder.Settings.Platform.Table);
  DrainMarks Marks(Rows, Context.Ids);
  const char *User = std::getenv("USER");
  const auto Done =
      Context.await<void>([&](const DrainMarks::DoneCallback &Action) {
        if (Undo)
          Marks.clear(Name, Action);
        else
          Marks.mark(Name, User ? User : "unknown", Action);
      });
  if (!Done)
    return refuse(Done.error());
  std::cout << Name
            << (Undo ? " gets new work again within a minute\n"
                     : " gets no new work after a few seconds\n");
  return ExitStatus::Done;
}

} // namespace

ExitStatus runStatus(const CliWords &Words) {
  const auto Values =
      parseCommand("status", "settings", describeSettings(), Words);
  if (!Values)
    return Values.error();
  const std::optional<CliFolder> Folder =
      loadFolder((*Values)["settings"].as<std::string>());
  if (!Folder)
    return ExitStatus::Refused;
  CliContext Context;
  bool Complete = true;
  for (const CliZone &Zone : askZones(Context, Folder->Settings)) {
    std::size_t Nodes = 0;
    for (const auto &[Name, Node] : Folder->Settings.Nodes)
      Nodes += Node.Zone == Zone.Zone ? 1 : 0;
    printZone(Zone, Nodes);
    Complete = Complete && Zone.Answers;
  }
  return Complete ? ExitStatus::Done : ExitStatus::Refused;
}

ExitStatus runExplain(const CliWords &Words) {
  options::options_description Described("Options");
  Described.add_options()("ID", options::value<std::string>()->required(),
                          "a request, job, item, server or node")(
      "settings", options::value<std::string>(),
      "the settings folder of daemons to ask")(
      "logs", options::value<std::vector<std::string>>()->multitoken(),
      "files with the logs of nodes to read instead");
  const auto Values = parseCommand("explain", "ID", Described, Words);
  if (!Values)
    return Values.error();
  if (Values->count("logs") > 0)
    return explainFromLogs((*Values)["ID"].as<std::string>(),
                           (*Values)["logs"].as<std::vector<std::string>>());
  if (Values->count("settings") == 0) {
    std::cerr << "turmericpass explain: give --settings or --logs\n";
    return ExitStatus::Usage;
  }
  const std::optional<CliFolder> Folder =
      loadFolder((*Values)["settings"].as<std::string>());
  if (!Folder)
    return ExitStatus::Refused;
  const auto Id = (*Values)["ID"].as<std::string>();
  CliContext Context;
  std::size_t Count = 0;
  for (const auto &[Name, Node] : Folder->Settings.Nodes)
    for (std::size_t Role = 0; Role < Roles.size(); ++Role) {
      const std::string Address =
          Node.Address + ":" + std::to_string(Node.AdminPort + Role);
      const std::string Label = Name + " " + Roles[Role];
      if (!printDecisions(Context, Address, Label, Id, Count))
        std::cerr << Label << ": no answer\n";
    }
  if (Count > 0)
    return ExitStatus::Done;
  return refuse({ErrorCode::NotFound,
                 "No daemon that answers has a decision about " + Id + "."});
}

ExitStatus runDrain(const CliWords &Words) {
  options::options_description Described = describeSettings();
  Described.add_options()("NAME", options::value<std::string>()->required(),
                          "a backend server or a node")(
      "undo", "let it have new work again");
  const auto Values = parseCommand("drain", "NAME", Described, Words);
  if (!Values)
    return Values.error();
  const std::optional<CliFolder> Folder =
      loadFolder((*Values)["settings"].as<std::string>());
  if (!Folder)
    return ExitStatus::Refused;
  const auto Name = (*Values)["NAME"].as<std::string>();
  if (Folder->Settings.Servers.count(Name) == 0 &&
      Folder->Settings.Nodes.count(Name) == 0)
    return refuse({ErrorCode::NotFound,
                   "The settings have no server and no node " + Name + "."});
  return changeMark(*Folder, Name, Values->count("undo") > 0);
}

} // namespace turmericpass
