#include "Loop/EventLoop.h"
#include "StandIns/ServerProgram.h"
#include "StandIns/StandInService.h"
#include "Telemetry/JsonLogger.h"

#include <cstdlib>

int main(int ArgumentCount, char **Arguments) {
  using namespace turmericpass;
  double DelayMs = 0;
  ServerArguments Common;
  boost::program_options::options_description Described("Service");
  Described.add_options()(
      "delay-ms", boost::program_options::value(&DelayMs)->default_value(20),
      "milliseconds before an execution");
  if (const std::optional<int> Status =
          parseArguments(ArgumentCount, Arguments,
                         "Stand-in for a plain service", Described, Common))
    return *Status;
  const BootClock Time;
  EventLoop Loop(Time);
  JsonLogger Log(Time, "StandInService", Common.Name, LogLevel::Info);
  StandInService Service(Loop, Log,
                         Duration(static_cast<std::int64_t>(DelayMs * 1000)),
                         [] { std::_Exit(EXIT_FAILURE); });
  return serve(Loop, Log, Common,
               [&Service](const std::string &Address, std::uint16_t Port) {
                 return Service.listen(Address, Port);
               });
}
