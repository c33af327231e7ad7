#include "Gateway/RequestReader.h"

#include "Admission/FleetSource.h"
#include "Admission/PromptShape.h"
#include "Completions/CompletionCall.h"
#include "Telemetry/Tracer.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace turmericpass {

namespace {

constexpr std::string_view ServicePrefix = "/services/";
/// An idempotency key is used as a row key in the table, whose size is limited.
constexpr std::size_t MaxIdempotencyKeyBytes = 255;
constexpr std::uint64_t MaxDeadlineMs = 3'600'000;
/// The tokens reserved for an answer whose length the request does not limit.
/// The actual number is charged when the answer ends.
constexpr std::uint32_t DefaultReservedAnswerTokens = 512;

Result<std::uint64_t> readDeadline(const HttpRequest &Request,
                                   std::uint64_t Default) {
  const std::string Text = findHeader(Request.Headers, "Turmericpass-Deadline");
  if (Text.empty())
    return Default;
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, ParseError] = std::from_chars(Text.data(), End, Value);
  if (ParseError != std::errc() || Rest != End || Value < 1 ||
      Value > MaxDeadlineMs)
    return failure(ErrorCode::InvalidArgument,
                   "Header \"Turmericpass-Deadline\" must be a whole number "
                   "of milliseconds from 1 to " +
                       std::to_string(MaxDeadlineMs) + ".");
  return Value;
}

Result<std::string> readClass(const HttpRequest &Request,
                              const CustomerSettings &Customer) {
  const std::string Name = findHeader(Request.Headers, "Turmericpass-Class");
  const auto &Allowed = Customer.Classes;
  if (Name.empty() && !Allowed.empty())
    return Allowed.front();
  if (std::find(Allowed.begin(), Allowed.end(), Name) != Allowed.end())
    return Name;
  std::string List;
  for (const std::string &Entry : Allowed)
    List += (List.empty() ? "" : ", ") + Entry;
  return failure(ErrorCode::Forbidden,
                 "Header \"Turmericpass-Class\" names none of the customer's "
                 "classes; allowed: " +
                     List + ".");
}

bool isPrintable(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char Symbol) { return Symbol > ' ' && Symbol < 127; });
}

} // namespace

Result<std::string> readIdempotencyKey(const HttpRequest &Request) {
  std::string Key = findHeader(Request.Headers, "Idempotency-Key");
  if (Key.size() > MaxIdempotencyKeyBytes || !isPrintable(Key))
    return failure(ErrorCode::InvalidArgument,
                   "Header \"Idempotency-Key\" must be at most " +
                       std::to_string(MaxIdempotencyKeyBytes) +
                       " printable ASCII characters without spaces.");
  return Key;
}

Result<const CustomerSettings *>
RequestReader::authenticateCustomer(const HttpRequest &Request) const {
  const Result<std::string> Name =
      this->Index.authenticate(findHeader(Request.Headers, "Authorization"));
  if (!Name)
    return tl::make_unexpected(Name.error());
  const auto &Customers = this->Fleet.settings().Customers;
  const auto Found = Customers.find(*Name);
  if (Found == Customers.end())
    return failure(ErrorCode::Unauthenticated,
                   "The customer of this API key was removed.");
  return &Found->second;
}

Result<void> RequestReader::checkBodySize(const HttpRequest &Request) const {
  const std::size_t MaxBytes = this->Fleet.settings().Limits.BodyBytes;
  if (Request.Body.size() <= MaxBytes)
    return {};
  return failure(ErrorCode::TooLarge,
                 "The body exceeds limits.body_bytes, which is " +
                     std::to_string(MaxBytes) + ".");
}

Result<OnlineRequest>
RequestReader::readCommonFields(const HttpRequest &Request) const {
  const FleetSettings &Settings = this->Fleet.settings();
  const Result<const CustomerSettings *> Customer =
      this->authenticateCustomer(Request);
  if (!Customer)
    return tl::make_unexpected(Customer.error());
  if (const Result<void> Status = this->checkBodySize(Request); !Status)
    return tl::make_unexpected(Status.error());
  const Result<std::string> ClassName = readClass(Request, **Customer);
  if (!ClassName)
    return tl::make_unexpected(ClassName.error());
  const auto Class = Settings.Classes.find(*ClassName);
  if (Class == Settings.Classes.end())
    return failure(ErrorCode::Forbidden,
                   "Class \"" + *ClassName + "\" is not in the settings.");
  const Result<std::uint64_t> Deadline =
      readDeadline(Request, Class->second.DeadlineMs);
  if (!Deadline)
    return tl::make_unexpected(Deadline.error());
  OnlineRequest Parsed;
  Parsed.TimeLimit = std::chrono::milliseconds(*Deadline);
  Parsed.Class = Class->second.Kind;
  Parsed.Work.Customer = (*Customer)->Name;
  Parsed.Work.Class = *ClassName;
  Parsed.Work.Method = Request.Method;
  Parsed.Work.ContentType = findHeader(Request.Headers, "Content-Type");
  Parsed.Work.Body = Request.Body;
  if (const std::optional<SpanContext> Parent =
          parseTraceparent(findHeader(Request.Headers, "traceparent")))
    Parsed.Parent = {Parent->TraceId, Parent->SpanId};
  return Parsed;
}

Result<void>
RequestReader::addServiceFields(OnlineRequest &Parsed,
                                const HttpRequest &Request,
                                const ServiceSettings &Service) const {
  Parsed.Work.Service = Service.Name;
  Parsed.Work.Repeatable = Service.Repeatable;
  Parsed.Kind = Service.Kind;
  Result<std::string> Key = readIdempotencyKey(Request);
  if (!Key)
    return tl::make_unexpected(Key.error());
  Parsed.Work.IdempotencyKey = std::move(*Key);
  if (Parsed.Work.IdempotencyKey.empty() && !Service.Repeatable)
    return failure(ErrorCode::InvalidArgument,
                   "Service \"" + Service.Name +
                       "\" runs each call at most once; send an "
                       "\"Idempotency-Key\" header.");
  Parsed.Work.Fingerprint = computeFingerprint(
      Parsed.Work.Customer, Service.Name,
      Parsed.Work.Method + ' ' + Parsed.Work.Path, Parsed.Work.Body);
  return {};
}

Result<OnlineRequest> RequestReader::readCompletion(const HttpRequest &Request,
                                                    bool Chat) const {
  Result<OnlineRequest> Parsed = this->readCommonFields(Request);
  if (!Parsed)
    return Parsed;
  const Result<CompletionCall> Call = parseCompletionCall(Chat, Request.Body);
  if (!Call)
    return tl::make_unexpected(Call.error());
  const std::string *Name = this->Index.findServiceOfModel(Call->Model);
  const auto &Services = this->Fleet.settings().Services;
  const auto Service = Name ? Services.find(*Name) : Services.end();
  if (Service == Services.end())
    return failure(ErrorCode::NotFound,
                   "There is no model \"" + Call->Model +
                       "\"; GET /v1/models lists the models.");
  const std::uint32_t MaxTokens = Service->second.MaxTokens;
  if (Call->MaxTokens > MaxTokens)
    return failure(ErrorCode::InvalidArgument,
                   "The request allows " + std::to_string(Call->MaxTokens) +
                       " tokens; the service allows at most " +
                       std::to_string(MaxTokens) + ".");
  Submit &Work = Parsed->Work;
  Work.Path = Request.Path;
  // The gateway always requests a stream of tokens. The tokens let it resume an
  // answer at another dispatcher; it assembles an answer that is not streamed
  // to the caller itself.
  Work.Stream = true;
  Work.MaxTokens = Call->MaxTokens ? Call->MaxTokens : MaxTokens;
  Work.PromptTokens = estimateTokens(Call->Prompt);
  Work.PrefixHashes = hashPrefixBlocks(Call->Prompt);
  Parsed->Chat = Chat;
  Parsed->Stream = Call->Stream;
  Parsed->IncludeUsage = Call->IncludeUsage;
  Parsed->Model = Call->Model;
  Parsed->ReservedTokens =
      Work.PromptTokens +
      (Call->MaxTokens ? Call->MaxTokens
                       : std::min(MaxTokens, DefaultReservedAnswerTokens));
  if (Result<void> Status =
          this->addServiceFields(*Parsed, Request, Service->second);
      !Status)
    return tl::make_unexpected(Status.error());
  return Parsed;
}

Result<OnlineRequest>
RequestReader::readServiceCall(const HttpRequest &Request) const {
  Result<OnlineRequest> Parsed = this->readCommonFields(Request);
  if (!Parsed)
    return Parsed;
  const std::string Rest = Request.Path.substr(ServicePrefix.size());
  const std::size_t Slash = std::min(Rest.find('/'), Rest.size());
  const auto &Services = this->Fleet.settings().Services;
  const auto Service = Services.find(Rest.substr(0, Slash));
  if (Service == Services.end() || Service->second.Kind != ServiceKind::Plain)
    return failure(ErrorCode::NotFound, "There is no plain service \"" +
                                            Rest.substr(0, Slash) + "\".");
  Parsed->Work.Path = Slash < Rest.size() ? Rest.substr(Slash) : "/";
  if (!Request.Query.empty())
    Parsed->Work.Path += '?' + Request.Query;
  if (Result<void> Status =
          this->addServiceFields(*Parsed, Request, Service->second);
      !Status)
    return tl::make_unexpected(Status.error());
  return Parsed;
}

} // namespace turmericpass
