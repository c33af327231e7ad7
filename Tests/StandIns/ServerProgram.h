#ifndef TURMERICPASS_TESTS_STANDINS_SERVERPROGRAM_H
#define TURMERICPASS_TESTS_STANDINS_SERVERPROGRAM_H

#include "Core/Error.h"
#include "Http/HttpTypes.h"

#include <boost/program_options.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace turmericpass {

class EventLoop;
class Logger;

/// What every stand-in takes from its command line.
struct ServerArguments {
  std::string Name;
  std::string Address;
  std::uint16_t Port = 0;
};

/// Reads the command line into \p Options and \p Common. Returns the status to
/// exit with if the program has nothing more to do: 0 after --help, 2 for
/// arguments that are not valid.
std::optional<int>
parseArguments(int ArgumentCount, char **Arguments, const char *Title,
               const boost::program_options::options_description &Options,
               ServerArguments &Common);

/// Serves until SIGTERM or SIGINT and returns the status to exit with. \p
/// Listen starts the server and returns its port.
int serve(EventLoop &Loop, Logger &Log, const ServerArguments &Common,
          const std::function<Result<std::uint16_t>(
              const std::string &Address, std::uint16_t Port)> &Listen);

} // namespace turmericpass

#endif
