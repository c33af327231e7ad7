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
/// An idempotency key is a row's key in the table, so its size is bounded.
constexpr std::size_t MaxKeyBytes = 255;
constexpr std::uint64_t MaxDeadlineMs = 3'600'000;
/// Charged for an answer whose size the caller does not bound; the rest is
/// charged when the answer ends.
constexpr std::uint32_t UnboundedAnswerTokens = 512;

Result<std::uint64_t> readDeadline(const HttpRequest &Request,
                                   std::uint64_t Default) {
  const std::string Text = findHeader(Request.Headers, "Turmericpass-Deadline");
  if (Text.empty())
    return Default;
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Fault] = std::from_chars(Text.data(), End, Value);
  if (Fault != std::errc() || Rest != End || Value < 1 || Value > MaxDeadlineMs)
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
  if (Key.size() > MaxKeyBytes || !isPrintable(Key))
    return failure(ErrorCode::InvalidArgument,
                   "Header \"Idempotency-Key\" must be at most " +
                       std::to_string(MaxKeyBytes) +
                       " printable ASCII characters without spaces.");
  return Key;
}

Result<const CustomerSettings *>
RequestReader::customerOf(const HttpRequest &Request) const {
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

Result<void> RequestReader::checkSize(const HttpRequest &Request) const {
  const std::size_t Most = this->Fleet.settings().Limits.BodyBytes;
  if (Request.Body.size() <= Most)
    return {};
  return failure(ErrorCode::TooLarge,
                 "The body exceeds limits.body_bytes, which is " +
                     std::to_string(Most) + ".");
}

Result<OnlineRequest>
RequestReader::readHead(const HttpRequest &Request) const {
  const FleetSettings &Settings = this->Fleet.settings();
  const Result<const CustomerSettings *> Customer = this->customerOf(Request);
  if (!Customer)
    return tl::make_unexpected(Customer.error());
  if (const Result<void> Sized = this->checkSize(Request); !Sized)
    return tl::make_unexpected(Sized.error());
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
  OnlineRequest Read;
  Read.Limit = std::chrono::milliseconds(*Deadline);
  Read.Class = Class->second.Kind;
  Read.Work.Customer = (*Customer)->Name;
  Read.Work.Class = *ClassName;
  Read.Work.Method = Request.Method;
  Read.Work.ContentType = findHeader(Request.Headers, "Content-Type");
  Read.Work.Body = Request.Body;
  if (const std::optional<SpanContext> Parent =
          parseTraceparent(findHeader(Request.Headers, "traceparent")))
    Read.Parent = {Parent->TraceId, Parent->SpanId};
  return Read;
}

Result<void> RequestReader::addService(OnlineRequest &Read,
                                       const HttpRequest &Request,
                                       const ServiceSettings &Service) const {
  Read.Work.Service = Service.Name;
  Read.Work.Repeatable = Service.Repeatable;
  Read.Kind = Service.Kind;
  Result<std::string> Key = readIdempotencyKey(Request);
  if (!Key)
    return tl::make_unexpected(Key.error());
  Read.Work.IdempotencyKey = std::move(*Key);
  if (Read.Work.IdempotencyKey.empty() && !Service.Repeatable)
    return failure(ErrorCode::InvalidArgument,
                   "Service \"" + Service.Name +
                       "\" runs each call at most once; send an "
                       "\"Idempotency-Key\" header.");
  Read.Work.Fingerprint = computeFingerprint(
      Read.Work.Customer, Service.Name, Read.Work.Method + ' ' + Read.Work.Path,
      Read.Work.Body);
  return {};
}

Result<OnlineRequest> RequestReader::readCompletion(const HttpRequest &Request,
                                                    bool Chat) const {
  Result<OnlineRequest> Read = this->readHead(Request);
  if (!Read)
    return Read;
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
  const std::uint32_t Most = Service->second.MaxTokens;
  if (Call->MaxTokens > Most)
    return failure(ErrorCode::InvalidArgument,
                   "The request allows " + std::to_string(Call->MaxTokens) +
                       " tokens; the service allows at most " +
                       std::to_string(Most) + ".");
  Submit &Work = Read->Work;
  Work.Path = Request.Path;
  // The gateway always takes the tokens one by one: with them it continues an
  // answer at another dispatcher, and it writes the whole answer itself.
  Work.Stream = true;
  Work.MaxTokens = Call->MaxTokens ? Call->MaxTokens : Most;
  Work.PromptTokens = estimateTokens(Call->Prompt);
  Work.PrefixHashes = hashPrefixBlocks(Call->Prompt);
  Read->Chat = Chat;
  Read->Stream = Call->Stream;
  Read->IncludeUsage = Call->IncludeUsage;
  Read->Model = Call->Model;
  Read->ReservedTokens =
      Work.PromptTokens + (Call->MaxTokens
                               ? Call->MaxTokens
                               : std::min(Most, UnboundedAnswerTokens));
  if (Result<void> Added = this->addService(*Read, Request, Service->second);
      !Added)
    return tl::make_unexpected(Added.error());
  return Read;
}

Result<OnlineRequest>
RequestReader::readServiceCall(const HttpRequest &Request) const {
  Result<OnlineRequest> Read = this->readHead(Request);
  if (!Read)
    return Read;
  const std::string Rest = Request.Path.substr(ServicePrefix.size());
  const std::size_t Slash = std::min(Rest.find('/'), Rest.size());
  const auto &Services = this->Fleet.settings().Services;
  const auto Service = Services.find(Rest.substr(0, Slash));
  if (Service == Services.end() || Service->second.Kind != ServiceKind::Plain)
    return failure(ErrorCode::NotFound, "There is no plain service \"" +
                                            Rest.substr(0, Slash) + "\".");
  Read->Work.Path = Slash < Rest.size() ? Rest.substr(Slash) : "/";
  if (!Request.Query.empty())
    Read->Work.Path += '?' + Request.Query;
  if (Result<void> Added = this->addService(*Read, Request, Service->second);
      !Added)
    return tl::make_unexpected(Added.error());
  return Read;
}

} // namespace turmericpass
