#include "Serving/CallRecord.h"

#include "Telemetry/Logger.h"
#include "Telemetry/Metrics.h"

namespace turmericpass {

void recordEndOfCall(const OnlineCall &Call, int Status,
                     std::string_view Outcome, Instant Now, Logger &Log,
                     Metrics &Stats) {
  const double FirstByteMs =
      Call.FirstByteAt ? toMillis(*Call.FirstByteAt - Call.ArrivedAt) : -1.0;
  Log.log(LogLevel::Info, "A request ended.",
          {{"request", Call.RequestId},
           {"route", Call.Route.Name},
           {"settings_version", Call.Route.SettingsVersion},
           {"service", Call.Service},
           {"server", Call.Server},
           {"copy_server", Call.Hedge.CopyServer},
           {"copy_won", Call.Hedge.CopyWon},
           {"possible_runs", Call.PossibleRuns},
           {"refusals", Call.Refusals},
           {"status", Status},
           {"outcome", Outcome},
           {"first_byte_ms", FirstByteMs},
           {"total_ms", toMillis(Now - Call.ArrivedAt)}});
  const std::string Label = "{route=\"" + Call.Route.Name + "\",status=\"" +
                            std::to_string(Status) + "\"}";
  Stats.add("requests_total" + Label);
  Stats.observe("request_seconds{route=\"" + Call.Route.Name + "\"}",
                toMillis(Now - Call.ArrivedAt) / 1000.0);
}

} // namespace turmericpass
