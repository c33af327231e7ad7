#include "Loop/EventLoop.h"
#include "StandIns/ServerProgram.h"
#include "StandIns/StandInPlatform.h"
#include "Telemetry/JsonLogger.h"

namespace {

namespace options = boost::program_options;

options::options_description describe(turmericpass::PlatformOptions &Options) {
  options::options_description Described("Platform");
  Described.add_options()(
      "vm-lag-ms",
      options::value(&Options.VmLagMs)->default_value(Options.VmLagMs),
      "delay of changes to the VM list")(
      "weights-per-minute",
      options::value(&Options.WeightsPerMinute)
          ->default_value(Options.WeightsPerMinute),
      "reads of the weight store before it answers 429")(
      "weight-bytes",
      options::value(&Options.WeightBytes)->default_value(Options.WeightBytes),
      "bytes of every object of the weight store")(
      "delay-ms",
      options::value(&Options.DelayMs)->default_value(Options.DelayMs),
      "milliseconds before every answer")(
      "seed", options::value(&Options.Seed)->default_value(Options.Seed),
      "seeds the choice of lost replies");
  return Described;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  using namespace turmericpass;
  PlatformOptions Options;
  ServerArguments Common;
  if (const std::optional<int> Status =
          parseArguments(ArgumentCount, Arguments, "Stand-in for the platform",
                         describe(Options), Common))
    return *Status;
  const BootClock Time;
  EventLoop Loop(Time);
  JsonLogger Log(Time, "StandInPlatform", Common.Name, LogLevel::Info);
  StandInPlatform Platform(Loop, Log, Options);
  return serve(Loop, Log, Common,
               [&Platform](const std::string &Address, std::uint16_t Port) {
                 return Platform.listen(Address, Port);
               });
}
