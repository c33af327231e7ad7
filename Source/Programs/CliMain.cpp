#include "Programs/CliCommands.h"

#include <array>
#include <iostream>
#include <string_view>

using namespace turmericpass;

namespace {

struct Command {
  std::string_view Name;
  ExitStatus (*Run)(const CliWords &Words);
  const char *Usage;
};

constexpr std::array<Command, 9> Commands = {{
    {"check", runCheck, "check FOLDER: validate a settings folder"},
    {"apply", runApply,
     "apply FOLDER [--from VERSION] [--wait]: put a folder in force"},
    {"show", runShow,
     "show FOLDER [--history] [--out DIR]: the settings in the platform"},
    {"status", runStatus, "status FOLDER: the zones and their nodes"},
    {"explain", runExplain,
     "explain ID --settings FOLDER | --logs FILE...: what was decided about "
     "something"},
    {"drain", runDrain,
     "drain NAME --settings FOLDER [--undo]: no new work for a server or node"},
    {"submit", runSubmit,
     "submit FILE --gateway IP:PORT --key KEY: start a batch job"},
    {"cancel", runCancel,
     "cancel ID --gateway IP:PORT --key KEY: stop a batch job"},
    {"results", runResults,
     "results ID --gateway IP:PORT --key KEY: print a batch job's results"},
}};

void printUsage(std::ostream &Out) {
  Out << "Usage: turmericpass COMMAND ...\n\n";
  for (const Command &Each : Commands)
    Out << "  turmericpass " << Each.Usage << '\n';
  Out << "\nExit status: 0 done, 1 refused or invalid, 2 wrong usage.\n";
}

} // namespace

int main(int ArgCount, char **Args) {
  const std::string_view Name = ArgCount > 1 ? Args[1] : "";
  if (Name == "--help" || Name == "-h" || Name == "help") {
    printUsage(std::cout);
    return static_cast<int>(ExitStatus::Done);
  }
  if (Name == "--version") {
    std::cout << "turmericpass " << TURMERICPASS_VERSION << '\n';
    return static_cast<int>(ExitStatus::Done);
  }
  for (const Command &Each : Commands)
    if (Each.Name == Name)
      return static_cast<int>(Each.Run(CliWords(Args + 2, Args + ArgCount)));
  if (!Name.empty())
    std::cerr << "turmericpass: no command " << Name << "\n\n";
  printUsage(std::cerr);
  return static_cast<int>(ExitStatus::Usage);
}
