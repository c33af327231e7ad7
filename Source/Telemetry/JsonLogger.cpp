#include "Telemetry/JsonLogger.h"

#include "Core/Clock.h"
#include "Core/EnumTable.h"
#include "Telemetry/LogSink.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace turmericpass {

namespace {

constexpr auto LogLevelNames = makeEnumTable<LogLevel>({
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
});

} // namespace

std::string_view toName(LogLevel Level) { return LogLevelNames.nameOf(Level); }

JsonLogger::JsonLogger(const Clock &Time, std::string Program, std::string Node,
                       LogLevel MinimumLevel)
    : Time(Time), Program(std::move(Program)), Node(std::move(Node)),
      MinimumLevel(MinimumLevel) {}

void JsonLogger::log(LogLevel Level, std::string_view Text, Fields Values) {
  if (Level < this->MinimumLevel)
    return;
  nlohmann::ordered_json Line = {
      {"time_ms", this->Time.wallMillis()},
      {"level", toName(Level)},
      {"program", this->Program},
      {"node", this->Node},
      {"message", Text},
  };
  for (const LogField &Field : Values)
    std::visit(
        [&](const auto &Value) { Line[std::string(Field.Name)] = Value; },
        Field.Value);
  // Values may contain invalid UTF-8 from a caller. With the default error
  // handler, dump() would throw on it.
  writeLogLine(
      Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace turmericpass
