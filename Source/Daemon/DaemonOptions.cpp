#include "Daemon/DaemonOptions.h"

#include <boost/program_options.hpp>
#include <exception>
#include <iostream>
#include <utility>

namespace turmericpass {

namespace {

namespace po = boost::program_options;

DaemonStart ended(ExitStatus Status) { return {std::nullopt, Status}; }

DaemonStart load(const po::variables_map &Values) {
  const auto Folder = Values["settings"].as<std::string>();
  const auto Name = Values["node"].as<std::string>();
  Result<std::vector<SettingsFile>> Files = readSettingsFolder(Folder);
  if (!Files) {
    std::cerr << Files.error().Message << '\n';
    return ended(ExitStatus::Refused);
  }
  SettingsCheck Check = checkSettings(*Files);
  for (const SettingsProblem &Problem : Check.Problems)
    std::cerr << Problem.toText() << '\n';
  if (!Check.Problems.empty())
    return ended(ExitStatus::Refused);
  const auto Node = Check.Settings.Nodes.find(Name);
  if (Node == Check.Settings.Nodes.end()) {
    std::cerr << Folder << ": no [nodes." << Name
              << "]; name a node of the folder with --node\n";
    return ended(ExitStatus::Refused);
  }
  DaemonOptions Options;
  Options.Node = Node->second;
  Options.Settings = std::move(Check.Settings);
  Options.Files = std::move(*Files);
  Options.Debug = Values.count("debug") > 0;
  Options.Trace = Values.count("no-trace") == 0;
  return {std::move(Options), ExitStatus::Done};
}

} // namespace

DaemonStart readDaemonOptions(const std::string &Program,
                              const std::string &Purpose, int ArgCount,
                              const char *const *Args) {
  po::options_description Description("Options");
  Description.add_options()("settings", po::value<std::string>()->required(),
                            "the settings folder")(
      "node", po::value<std::string>()->required(),
      "the name of this node in the settings")("debug",
                                               "write debug lines to the log")(
      "no-trace", "write no spans to the log")("help,h", "print this text")(
      "version", "print the version");
  po::variables_map Values;
  try {
    po::store(po::parse_command_line(ArgCount, Args, Description), Values);
    if (Values.count("help")) {
      std::cout << Program << ": " << Purpose << "\n\nUsage: " << Program
                << " --settings DIR --node NAME\n\n"
                << Description;
      return ended(ExitStatus::Done);
    }
    if (Values.count("version")) {
      std::cout << Program << ' ' << TURMERICPASS_VERSION << '\n';
      return ended(ExitStatus::Done);
    }
    po::notify(Values);
  } catch (const std::exception &Failure) {
    std::cerr << Program << ": " << Failure.what() << "; see --help\n";
    return ended(ExitStatus::Usage);
  }
  return load(Values);
}

} // namespace turmericpass
