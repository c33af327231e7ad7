#ifndef TURMERICPASS_TELEMETRY_TRACER_H
#define TURMERICPASS_TELEMETRY_TRACER_H

#include "Core/IdSource.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace turmericpass {

class Clock;

/// The identifiers of a span, which are propagated to the next hop.
struct SpanContext {
  /// 32 lower-case hexadecimal digits.
  std::string TraceId;
  /// 16 lower-case hexadecimal digits.
  std::string SpanId;
};

/// Parses a W3C traceparent header. Returns nothing if it is invalid.
std::optional<SpanContext> parseTraceparent(std::string_view Header);

/// Returns the W3C traceparent header of \p Context.
std::string formatTraceparent(const SpanContext &Context);

/// Writes one JSON line for each span that has ended, with the field names of
/// OTLP.
class Tracer {
public:
  using SpanKey = std::uint64_t;

  /// If \p Sampled is false, spans have ids but are not written.
  Tracer(const Clock &Time, IdSource &Ids, std::string Program,
         std::string Node, bool Sampled);

  /// Starts a span. A span without a parent starts a new trace.
  SpanKey start(std::string Name, const std::optional<SpanContext> &Parent);

  /// Returns the context that the next hop uses as its parent.
  SpanContext contextOf(SpanKey Key) const;

  void setAttribute(SpanKey Key, std::string Name, std::string Value);

  /// Ends the span and writes it. Unknown keys are ignored.
  void end(SpanKey Key, bool Ok);

private:
  struct Span {
    std::string Name;
    SpanContext Context;
    std::string ParentId;
    std::int64_t StartMillis = 0;
    std::int64_t StartMicros = 0;
    std::map<std::string, std::string> Attributes;
  };

  const Clock &Time;
  IdSource &Ids;
  std::string Program;
  std::string Node;
  bool Sampled;
  std::map<SpanKey, Span> OpenSpans;
  SpanKey NextKey = 1;
};

} // namespace turmericpass

#endif
