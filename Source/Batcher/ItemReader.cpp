#include "Batcher/ItemReader.h"

#include "Admission/PromptShape.h"
#include "Completions/CompletionCall.h"
#include "Jobs/BatchItem.h"
#include "Jobs/BatchWorker.h"

#include <algorithm>

namespace turmericpass {

namespace {

constexpr std::string_view ServicePrefix = "/services/";
constexpr std::string_view ChatUrl = "/v1/chat/completions";
constexpr std::string_view TextUrl = "/v1/completions";

const ServiceSettings *serviceOfModel(const FleetSettings &Settings,
                                      const std::string &Model) {
  for (const auto &[Name, Service] : Settings.Services)
    if (Service.Kind == ServiceKind::Model && Service.Model == Model)
      return &Service;
  return nullptr;
}

Result<void> addCompletion(ItemRequest &Read, const BatchItem &Line,
                           const FleetSettings &Settings) {
  Read.Chat = Line.Url == ChatUrl;
  const Result<CompletionCall> Call = parseCompletionCall(Read.Chat, Line.Body);
  if (!Call)
    return tl::make_unexpected(Call.error());
  const ServiceSettings *Service = serviceOfModel(Settings, Call->Model);
  if (!Service)
    return failure(ErrorCode::NotFound,
                   "There is no model \"" + Call->Model + "\".");
  Read.Model = Call->Model;
  Submit &Work = Read.Work;
  Work.Service = Service->Name;
  Work.Path = Line.Url;
  Work.Stream = true;
  Work.Repeatable = Service->Repeatable;
  Work.MaxTokens = Call->MaxTokens
                       ? std::min(Call->MaxTokens, Service->MaxTokens)
                       : Service->MaxTokens;
  Work.PromptTokens = estimateTokens(Call->Prompt);
  Work.PrefixHashes = hashPrefixBlocks(Call->Prompt);
  return {};
}

Result<void> addServiceCall(ItemRequest &Read, const BatchItem &Line,
                            const FleetSettings &Settings) {
  if (!Line.Url.starts_with(ServicePrefix))
    return failure(ErrorCode::InvalidArgument,
                   "The url \"" + Line.Url +
                       "\" must be /v1/chat/completions, /v1/completions or "
                       "/services/NAME/...");
  const std::string Rest = Line.Url.substr(ServicePrefix.size());
  const std::size_t Slash = std::min(Rest.find('/'), Rest.size());
  const auto Service = Settings.Services.find(Rest.substr(0, Slash));
  if (Service == Settings.Services.end() ||
      Service->second.Kind != ServiceKind::Plain)
    return failure(ErrorCode::NotFound, "There is no plain service \"" +
                                            Rest.substr(0, Slash) + "\".");
  Read.Kind = ServiceKind::Plain;
  Read.Work.Service = Service->first;
  Read.Work.Repeatable = Service->second.Repeatable;
  Read.Work.Path = Slash < Rest.size() ? Rest.substr(Slash) : "/";
  return {};
}

} // namespace

Result<ItemRequest> readItem(const WorkItem &Item,
                             const FleetSettings &Settings) {
  const Result<BatchItem> Line = parseItem(Item.Line);
  if (!Line)
    return tl::make_unexpected(Line.error());
  ItemRequest Read;
  Read.CustomId = Line->CustomId;
  Submit &Work = Read.Work;
  Work.Customer = Item.Customer;
  Work.Class = Item.Class;
  Work.Method = Line->Method;
  Work.ContentType = "application/json";
  Work.Body = Line->Body;
  const bool IsCompletion = Line->Url == ChatUrl || Line->Url == TextUrl;
  const Result<void> Added = IsCompletion
                                 ? addCompletion(Read, *Line, Settings)
                                 : addServiceCall(Read, *Line, Settings);
  if (!Added)
    return tl::make_unexpected(Added.error());
  Work.IdempotencyKey = Item.Name;
  Work.Fingerprint = computeFingerprint(
      Work.Customer, Work.Service, Work.Method + ' ' + Work.Path, Work.Body);
  return Read;
}

} // namespace turmericpass
