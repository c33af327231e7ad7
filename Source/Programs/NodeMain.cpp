#include "Loop/EventLoop.h"
#include "Node/ServingNode.h"
#include "RawHttp/TcpBackendChannels.h"
#include "Telemetry/BoundedLogger.h"
#include "Telemetry/JsonLogger.h"
#include "Telemetry/LogSink.h"
#include "platform/PlatformAdapter.h"
#include "platform/PlatformRowStore.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>
#include <utility>

using namespace turmericpass;

namespace {

constexpr int ExitRefused = 1;

/// The busiest recorded second of a node had some 60 lines.
constexpr int LogLinesPerSecond = 200;

/// How often the settings file is looked at.
constexpr Duration FileCheckPeriod = std::chrono::seconds(2);

/// Returns when \p Path was written, or the least time if that is not known.
std::filesystem::file_time_type writeTime(const std::string &Path) {
  std::error_code Ignored;
  return std::filesystem::last_write_time(Path, Ignored);
}

int runNode(const std::string &Path) {
  const BootClock Time;
  const Result<NodeConfig> Config = readNodeConfig(Path);
  if (!Config) {
    std::cerr << Config.error().Message << '\n';
    return ExitRefused;
  }
  JsonLogger Lines(Time, "turmericpass-node", Config->Name, LogLevel::Info);
  BoundedLogger Log(Time, Lines, LogLinesPerSecond, standardOutputIsReady);
  EventLoop Loop(Time);
  TcpBackendChannels Channels(Loop);
  const PlatformAdapter Adapter;
  PlatformRowStore Store(Loop, Channels, Config->StoreAddress,
                         Config->StoreRowBytes);
  IdSource Ids(IdSource::randomSeed());
  ServingNode Node({Loop, Channels, Store, Adapter, Ids, Log}, *Config);
  if (const Result<void> Started = Node.start(); !Started) {
    Log.log(LogLevel::Error, Started.error().Message);
    return ExitRefused;
  }
  Loop.onSignal(SIGTERM, [&] { Node.stop(); });
  Loop.onSignal(SIGINT, [&] { Node.stop(); });
  const auto Reload = [&] {
    if (const Result<NodeConfig> Changed = readNodeConfig(Path))
      Node.reload(*Changed);
    else
      Log.log(LogLevel::Error, Changed.error().Message,
              {{"kept", "the settings before"}});
  };
  Loop.onSignal(SIGHUP, Reload);
  // The file may also change without a signal.
  std::filesystem::file_time_type ReadAt = writeTime(Path);
  Loop.every(FileCheckPeriod, [&] {
    const auto WrittenAt = writeTime(Path);
    if (std::exchange(ReadAt, WrittenAt) != WrittenAt)
      Reload();
  });
  Loop.run();
  return 0;
}

} // namespace

int main(int ArgCount, char **Args) {
  const char *Path = std::getenv(PlatformAdapter::SettingsVariable);
  if (ArgCount > 2 || (!Path && ArgCount < 2)) {
    std::cerr << "usage: turmericpass-node [SETTINGS]\n"
              << "Without SETTINGS the path is read from "
              << PlatformAdapter::SettingsVariable << ".\n";
    return 2;
  }
  logToStandardOutput();
  return runNode(ArgCount == 2 ? Args[1] : Path);
}
