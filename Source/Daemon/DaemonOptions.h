#ifndef TURMERICPASS_DAEMON_DAEMONOPTIONS_H
#define TURMERICPASS_DAEMON_DAEMONOPTIONS_H

#include "Settings/FleetSettings.h"
#include "Settings/SettingsFolder.h"

#include <optional>
#include <string>
#include <vector>

namespace turmericpass {

/// The exit status of every program.
enum class ExitStatus : int {
  Done = 0,
  /// The settings or the request were refused, or a port was taken.
  Refused = 1,
  /// The command line is wrong.
  Usage = 2,
};

/// The start of a daemon as its command line and settings folder describe it.
struct DaemonOptions {
  FleetSettings Settings;
  std::vector<SettingsFile> Files;
  NodeSettings Node;
  bool Debug = false;
  /// Whether spans are written.
  bool Trace = true;
};

/// The options, or the status with which the program ends at once.
struct DaemonStart {
  std::optional<DaemonOptions> Options;
  ExitStatus Status = ExitStatus::Done;
};

/// Reads the command line of \p Program, loads and checks the settings
/// folder, and finds the node in it. Every problem is printed.
DaemonStart readDaemonOptions(const std::string &Program,
                              const std::string &Purpose, int ArgCount,
                              const char *const *Args);

} // namespace turmericpass

#endif
