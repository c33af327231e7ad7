#ifndef TURMERICPASS_PROGRAMS_CLISUPPORT_H
#define TURMERICPASS_PROGRAMS_CLISUPPORT_H

#include "Core/Clock.h"
#include "Core/IdSource.h"
#include "Daemon/DaemonOptions.h"
#include "Loop/EventLoop.h"
#include "RawHttp/ChannelHttpClient.h"
#include "RawHttp/TcpBackendChannels.h"

#include <boost/program_options.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace turmericpass {

namespace options = boost::program_options;

/// What one command of the command line has: a loop that is turned until an
/// answer is there, an HTTP client and a source of ids.
class CliContext {
public:
  CliContext();

  /// Sends \p Request and waits for the whole answer.
  Result<HttpReply> call(const std::string &Address, HttpRequest Request);

  /// Turns the loop until \p Holds, for at most \p Limit. Returns whether it
  /// holds.
  bool wait(const std::function<bool()> &Holds, Duration Limit);

  /// Starts something that answers through a callback, and waits for it.
  /// Errors: Timeout after a minute.
  template <typename T>
  Result<T>
  await(const std::function<void(std::function<void(Result<T>)>)> &Start) {
    // The answer may come after the wait was given up.
    auto Answer = std::make_shared<std::optional<Result<T>>>();
    Start([Answer](Result<T> Got) { *Answer = std::move(Got); });
    if (!this->wait([Answer] { return Answer->has_value(); },
                    std::chrono::minutes(1)))
      return failure(ErrorCode::Timeout, "No answer within a minute.");
    return std::move(**Answer);
  }

  BootClock Time;
  EventLoop Loop;
  IdSource Ids;
  TcpBackendChannels Channels;
  ChannelHttpClient Client;
};

/// A folder that was read and checked.
struct CliFolder {
  std::vector<SettingsFile> Files;
  FleetSettings Settings;
};

/// Reads and checks \p Folder and prints every problem to standard error.
std::optional<CliFolder> loadFolder(const std::string &Folder);

/// Prints \p Reason to standard error and returns Refused.
ExitStatus refuse(const Error &Reason);

/// Reads the options of one command. \p Positional names the option that a
/// bare word sets, empty for none. Gives the status with which the command
/// ends at once if --help was asked for or the words are wrong.
tl::expected<options::variables_map, ExitStatus>
parseCommand(const std::string &Command, const std::string &Positional,
             const options::options_description &Described,
             const std::vector<std::string> &Words);

/// Returns the "ip:port" of the controller's admin server on \p Node.
std::string controllerAdmin(const NodeSettings &Node);

} // namespace turmericpass

#endif
