#include "Telemetry/Tracer.h"

#include "Core/Clock.h"
#include "Telemetry/LogSink.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace turmericpass {

namespace {

constexpr std::size_t TraceIdDigits = 32;
constexpr std::size_t SpanIdDigits = 16;
constexpr std::size_t TraceparentLength = 55;

bool isLowerHex(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](char Digit) {
    return (Digit >= '0' && Digit <= '9') || (Digit >= 'a' && Digit <= 'f');
  });
}

bool isAllZero(std::string_view Text) {
  return Text.find_first_not_of('0') == std::string_view::npos;
}

} // namespace

std::optional<SpanContext> parseTraceparent(std::string_view Header) {
  if (Header.size() < TraceparentLength || Header[2] != '-' ||
      Header[35] != '-' || Header[52] != '-' || Header.substr(0, 2) == "ff")
    return std::nullopt;
  const std::string_view Trace = Header.substr(3, TraceIdDigits);
  const std::string_view Parent = Header.substr(36, SpanIdDigits);
  if (!isLowerHex(Trace) || !isLowerHex(Parent) || isAllZero(Trace) ||
      isAllZero(Parent))
    return std::nullopt;
  return SpanContext{std::string(Trace), std::string(Parent)};
}

std::string formatTraceparent(const SpanContext &Context) {
  return "00-" + Context.TraceId + "-" + Context.SpanId + "-01";
}

Tracer::Tracer(const Clock &Time, IdSource &Ids, std::string Program,
               std::string Node, bool Sampled)
    : Time(Time), Ids(Ids), Program(std::move(Program)), Node(std::move(Node)),
      Sampled(Sampled) {}

Tracer::SpanKey Tracer::start(std::string Name,
                              const std::optional<SpanContext> &Parent) {
  Span NewSpan;
  NewSpan.Name = std::move(Name);
  NewSpan.Context.TraceId = Parent ? Parent->TraceId : this->Ids.longId();
  NewSpan.Context.SpanId = this->Ids.shortId();
  NewSpan.ParentId = Parent ? Parent->SpanId : std::string();
  NewSpan.StartMillis = this->Time.wallMillis();
  NewSpan.StartMicros = this->Time.now().time_since_epoch().count();
  const SpanKey Key = this->NextKey++;
  this->OpenSpans.emplace(Key, std::move(NewSpan));
  return Key;
}

SpanContext Tracer::contextOf(SpanKey Key) const {
  const auto Found = this->OpenSpans.find(Key);
  return Found == this->OpenSpans.end() ? SpanContext{} : Found->second.Context;
}

void Tracer::setAttribute(SpanKey Key, std::string Name, std::string Value) {
  const auto Found = this->OpenSpans.find(Key);
  if (Found != this->OpenSpans.end())
    Found->second.Attributes[std::move(Name)] = std::move(Value);
}

void Tracer::end(SpanKey Key, bool Ok) {
  const auto Found = this->OpenSpans.find(Key);
  if (Found == this->OpenSpans.end())
    return;
  const Span Ended = std::move(Found->second);
  this->OpenSpans.erase(Found);
  if (!this->Sampled)
    return;
  constexpr std::int64_t NanosPerMilli = 1000000;
  constexpr std::int64_t NanosPerMicro = 1000;
  const std::int64_t StartNanos = Ended.StartMillis * NanosPerMilli;
  const std::int64_t Micros =
      this->Time.now().time_since_epoch().count() - Ended.StartMicros;
  nlohmann::ordered_json Line = {
      {"span", Ended.Name},
      {"traceId", Ended.Context.TraceId},
      {"spanId", Ended.Context.SpanId},
      {"parentSpanId", Ended.ParentId},
      {"startTimeUnixNano", StartNanos},
      {"endTimeUnixNano", StartNanos + Micros * NanosPerMicro},
      {"status", Ok ? "STATUS_CODE_OK" : "STATUS_CODE_ERROR"},
      {"service.name", this->Program},
      {"host.name", this->Node},
      {"attributes", Ended.Attributes},
  };
  writeLogLine(
      Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace turmericpass
