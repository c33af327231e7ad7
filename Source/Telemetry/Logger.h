#ifndef TURMERICPASS_TELEMETRY_LOGGER_H
#define TURMERICPASS_TELEMETRY_LOGGER_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace turmericpass {

enum class LogLevel { Debug, Info, Warning, Error };

/// Returns "debug", "info", "warning" or "error".
std::string_view toName(LogLevel Level);

/// One named field of a log line.
struct LogField {
  std::string_view Name;
  std::variant<std::string, std::int64_t, double, bool> Value;

  LogField(std::string_view Name, std::string Text)
      : Name(Name), Value(std::move(Text)) {}
  LogField(std::string_view Name, std::string_view Text)
      : Name(Name), Value(std::string(Text)) {}
  LogField(std::string_view Name, const char *Text)
      : Name(Name), Value(std::string(Text)) {}
  LogField(std::string_view Name, bool Flag) : Name(Name), Value(Flag) {}
  LogField(std::string_view Name, double Number) : Name(Name), Value(Number) {}
  template <typename Integer>
  requires std::is_integral_v<Integer> LogField(std::string_view Name,
                                                Integer Number)
      : Name(Name), Value(static_cast<std::int64_t>(Number)) {}
};

/// Interface of the loggers.
class Logger {
public:
  using Fields = std::initializer_list<LogField>;

  virtual ~Logger() = default;

  /// Writes one line. \p Text is a full sentence; \p Values are written as
  /// separate fields.
  virtual void log(LogLevel Level, std::string_view Text,
                   Fields Values = {}) = 0;
};

/// Drops every line.
class NullLogger : public Logger {
public:
  void log(LogLevel, std::string_view, Fields) override {}
};

} // namespace turmericpass

#endif
