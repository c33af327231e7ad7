#include "Gateway/BatchOrder.h"

#include "Completions/CallerJson.h"
#include "Settings/FleetSettings.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace turmericpass {

namespace {

using nlohmann::json;

constexpr std::size_t MaxIdLength = 128;
constexpr std::uint64_t MillisPerSecond = 1000;
constexpr std::uint64_t MillisPerHour = 3600 * MillisPerSecond;
/// Bounds the run time of a job: results must be kept for longer than any job
/// may run.
constexpr std::uint64_t MaxCompletionWindowMs = MillisPerHour * 24 * 14;
constexpr std::string_view ServicePrefix = "/services/";

tl::unexpected<Error> invalidField(const std::string &Field,
                                   const std::string &Allowed) {
  return failure(ErrorCode::InvalidArgument,
                 "Field \"" + Field + "\" must be " + Allowed + ".");
}

Result<std::string> readText(const json &Object, const std::string &Field) {
  const auto Found = Object.find(Field);
  if (Found == Object.end() || !Found->is_string())
    return invalidField(Field, "a text");
  return Found->get<std::string>();
}

std::uint64_t millisPerUnit(char Unit) {
  switch (Unit) {
  case 's':
    return MillisPerSecond;
  case 'm':
    return 60 * MillisPerSecond;
  case 'h':
    return MillisPerHour;
  case 'd':
    return 24 * MillisPerHour;
  default:
    return 0;
  }
}

/// Returns the completion window in milliseconds, or 0 if \p Text is invalid.
std::uint64_t parseCompletionWindow(const std::string &Text) {
  std::uint64_t Count = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, ParseError] = std::from_chars(Text.data(), End, Count);
  if (ParseError != std::errc() || Rest + 1 != End ||
      Count > MaxCompletionWindowMs)
    return 0;
  const std::uint64_t Window = Count * millisPerUnit(*Rest);
  return Window <= MaxCompletionWindowMs ? Window : 0;
}

std::string formatCompletionWindow(std::int64_t Millis) {
  const auto Value =
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, Millis));
  if (Value % MillisPerHour == 0)
    return std::to_string(Value / MillisPerHour) + "h";
  return std::to_string(Value / MillisPerSecond) + "s";
}

Result<void> checkEndpoint(const std::string &Endpoint,
                           const FleetSettings &Settings) {
  if (Endpoint == "/v1/chat/completions" || Endpoint == "/v1/completions")
    return {};
  if (Endpoint.starts_with(ServicePrefix)) {
    const std::string Rest = Endpoint.substr(ServicePrefix.size());
    const auto Service = Settings.Services.find(Rest.substr(0, Rest.find('/')));
    if (Service != Settings.Services.end() &&
        Service->second.Kind == ServiceKind::Plain &&
        Service->second.Repeatable)
      return {};
  }
  return invalidField("endpoint",
                      "/v1/chat/completions, /v1/completions or the path "
                      "of a plain service whose calls are repeatable");
}

Result<std::string> chooseClass(const std::string &Name,
                                const CustomerSettings &Customer,
                                const FleetSettings &Settings) {
  for (const std::string &Allowed : Customer.Classes) {
    const auto Class = Settings.Classes.find(Allowed);
    const bool IsBatch = Class != Settings.Classes.end() &&
                         Class->second.Kind == ClassKind::Batch;
    if (IsBatch && (Name.empty() || Name == Allowed))
      return Allowed;
  }
  return failure(ErrorCode::Forbidden,
                 Name.empty()
                     ? "The customer has no class of kind batch."
                     : "Header \"Turmericpass-Class\" names none of the "
                       "customer's classes of kind batch.");
}

} // namespace

bool isObjectId(const std::string &Id) {
  return !Id.empty() && Id.size() <= MaxIdLength &&
         std::all_of(Id.begin(), Id.end(), [](char Symbol) {
           return (Symbol >= 'a' && Symbol <= 'z') ||
                  (Symbol >= 'A' && Symbol <= 'Z') ||
                  (Symbol >= '0' && Symbol <= '9') || Symbol == '_' ||
                  Symbol == '-';
         });
}

Result<JobRequest> readBatchRequest(const std::string &Body,
                                    const std::string &ClassName,
                                    const CustomerSettings &Customer,
                                    const FleetSettings &Settings) {
  const Result<json> Object = parseCallerObject(Body);
  if (!Object)
    return tl::make_unexpected(Object.error());
  Result<std::string> File = readText(*Object, "input_file_id");
  if (!File)
    return tl::make_unexpected(File.error());
  if (!isObjectId(*File))
    return failure(ErrorCode::NotFound, "There is no such input file.");
  Result<std::string> Endpoint = readText(*Object, "endpoint");
  if (!Endpoint)
    return tl::make_unexpected(Endpoint.error());
  if (const Result<void> Status = checkEndpoint(*Endpoint, Settings); !Status)
    return tl::make_unexpected(Status.error());
  const Result<std::string> Window = readText(*Object, "completion_window");
  if (!Window)
    return tl::make_unexpected(Window.error());
  const std::uint64_t WindowMs = parseCompletionWindow(*Window);
  if (WindowMs == 0)
    return invalidField(
        "completion_window",
        "a whole number with s, m, h or d, such as \"24h\", and at "
        "most 14 days");
  Result<std::string> Class = chooseClass(ClassName, Customer, Settings);
  if (!Class)
    return tl::make_unexpected(Class.error());
  return JobRequest{Customer.Name,
                    std::move(*Class),
                    std::move(*File),
                    std::move(*Endpoint),
                    {},
                    WindowMs};
}

std::string toBatchJson(const JobRecord &Job) {
  const json Object = {
      {"id", Job.Id},
      {"object", "batch"},
      {"endpoint", Job.Endpoint},
      {"errors", nullptr},
      {"input_file_id", Job.InputFile},
      {"completion_window", formatCompletionWindow(Job.DueMs - Job.CreatedMs)},
      {"status", toName(Job.State)},
      {"output_file_id", Job.Id + "-output"},
      {"error_file_id", nullptr},
      {"created_at", Job.CreatedMs / 1000},
      {"expires_at", Job.DueMs / 1000},
      {"request_counts",
       {{"total", Job.TotalItems},
        {"completed", Job.CompletedItems},
        {"failed", Job.FailedItems}}}};
  return Object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string toFileJson(const FileRecord &File) {
  const json Object = {
      {"id", File.Id},         {"object", "file"},
      {"bytes", File.Bytes},   {"created_at", File.CreatedMs / 1000},
      {"filename", File.Name}, {"purpose", "batch"}};
  return Object.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace turmericpass
