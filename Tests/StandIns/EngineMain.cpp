#include "Loop/EventLoop.h"
#include "StandIns/ServerProgram.h"
#include "StandIns/StandInEngine.h"
#include "Telemetry/JsonLogger.h"

#include <cstdlib>

namespace {

namespace options = boost::program_options;

options::options_description describe(turmericpass::EngineOptions &Options) {
  options::options_description Described("Engine");
  Described.add_options()(
      "model", options::value(&Options.Model)->default_value(Options.Model),
      "name of the model in answers")(
      "slots", options::value(&Options.Slots)->default_value(Options.Slots),
      "requests in the batch at once")(
      "token-ms",
      options::value(&Options.TokenMs)->default_value(Options.TokenMs),
      "milliseconds of a step")("prefill-ms-per-token",
                                options::value(&Options.PrefillMsPerToken)
                                    ->default_value(Options.PrefillMsPerToken),
                                "milliseconds of prefill for a prompt token")(
      "load-lag-ms",
      options::value(&Options.LoadLagMs)->default_value(Options.LoadLagMs),
      "age limit of load reports")(
      "cache-lag-ms",
      options::value(&Options.CacheLagMs)->default_value(Options.CacheLagMs),
      "delay of cache events")("cache-gap-every",
                               options::value(&Options.CacheGapEvery)
                                   ->default_value(Options.CacheGapEvery),
                               "each Nth cache event is lost; 0 loses none")(
      "cache-blocks",
      options::value(&Options.CacheBlocks)->default_value(Options.CacheBlocks),
      "blocks that the prefix cache holds")(
      "kv-tokens",
      options::value(&Options.KvTokens)->default_value(Options.KvTokens),
      "tokens that fill the KV cache")(
      "check-fencing", options::bool_switch(&Options.CheckFencing),
      "refuse orders with an old fencing number");
  return Described;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  using namespace turmericpass;
  EngineOptions Options;
  ServerArguments Common;
  if (const std::optional<int> Status = parseArguments(
          ArgumentCount, Arguments, "Stand-in for a model engine",
          describe(Options), Common))
    return *Status;
  const BootClock Time;
  EventLoop Loop(Time);
  JsonLogger Log(Time, "StandInEngine", Common.Name, LogLevel::Info);
  StandInEngine Engine(Loop, Log, Options, [] { std::_Exit(EXIT_FAILURE); });
  return serve(Loop, Log, Common,
               [&Engine](const std::string &Address, std::uint16_t Port) {
                 return Engine.listen(Address, Port);
               });
}
