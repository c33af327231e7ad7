#include "StandIns/ServerProgram.h"

#include "Loop/EventLoop.h"
#include "Telemetry/Logger.h"

#include <csignal>
#include <iostream>

namespace turmericpass {

namespace options = boost::program_options;

std::optional<int> parseArguments(int ArgumentCount, char **Arguments,
                                  const char *Title,
                                  const options::options_description &Options,
                                  ServerArguments &Common) {
  options::options_description All(Title);
  All.add_options()("help", "print this text")(
      "name", options::value(&Common.Name)->default_value("stand-in"),
      "name in log lines")(
      "address", options::value(&Common.Address)->default_value("127.0.0.1"),
      "IP address to listen on")(
      "port", options::value(&Common.Port)->required(),
      "port to listen on; 0 takes a free one, which the log names");
  All.add(Options);
  try {
    options::variables_map Values;
    options::store(options::parse_command_line(ArgumentCount, Arguments, All),
                   Values);
    if (Values.count("help") > 0) {
      std::cout << All;
      return 0;
    }
    options::notify(Values);
  } catch (const options::error &Wrong) {
    std::cerr << Wrong.what() << "\n" << All;
    return 2;
  }
  return std::nullopt;
}

int serve(EventLoop &Loop, Logger &Log, const ServerArguments &Common,
          const std::function<Result<std::uint16_t>(
              const std::string &Address, std::uint16_t Port)> &Listen) {
  const Result<std::uint16_t> Port = Listen(Common.Address, Common.Port);
  if (!Port) {
    Log.log(LogLevel::Error, Port.error().Message);
    return 1;
  }
  Log.log(LogLevel::Info, "Listening.",
          {{"address", Common.Address}, {"port", *Port}});
  Loop.onSignal(SIGTERM, [&Loop] { Loop.stop(); });
  Loop.onSignal(SIGINT, [&Loop] { Loop.stop(); });
  Loop.run();
  Log.log(LogLevel::Info, "Stopped.");
  return 0;
}

} // namespace turmericpass
