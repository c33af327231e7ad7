#include "Gateway/BatchApi.h"

#include "Admission/FleetSource.h"
#include "Gateway/BatchOrder.h"
#include "Gateway/Multipart.h"
#include "Settings/FleetSettings.h"
#include "Telemetry/Metrics.h"

#include <strings.h>
#include <utility>

namespace turmericpass {

namespace {

constexpr std::string_view FilesPath = "/v1/files";
constexpr std::string_view BatchesPath = "/v1/batches";
constexpr std::string_view FormType = "multipart/form-data";
constexpr std::uint64_t StoreRetryAfterMs = 1000;

bool isUnder(const std::string &Path, std::string_view Root) {
  return Path.starts_with(Root) &&
         (Path.size() == Root.size() || Path[Root.size()] == '/');
}

/// The segments of a path below its root: the id of an object and, optionally,
/// the name of a subresource or an action.
struct ResourcePath {
  std::string Id;
  std::string Subresource;
};

ResourcePath splitResourcePath(const std::string &Path, std::string_view Root) {
  if (Path.size() <= Root.size() + 1)
    return {};
  const std::string Rest = Path.substr(Root.size() + 1);
  const std::size_t Slash = Rest.find('/');
  if (Slash == std::string::npos)
    return {Rest, {}};
  return {Rest.substr(0, Slash), Rest.substr(Slash + 1)};
}

Result<FormField> readUpload(HttpRequest Request) {
  const std::string Type = findHeader(Request.Headers, "Content-Type");
  if (strncasecmp(Type.c_str(), FormType.data(), FormType.size()) != 0)
    return FormField{"file", "input.jsonl", std::move(Request.Body)};
  Result<std::vector<FormField>> Fields = parseForm(Type, Request.Body);
  if (!Fields)
    return tl::make_unexpected(Fields.error());
  FormField *File = nullptr;
  for (FormField &Field : *Fields) {
    if (Field.Name == "file")
      File = &Field;
    else if (Field.Name == "purpose" && Field.Bytes != "batch")
      return failure(ErrorCode::InvalidArgument,
                     "Field \"purpose\" must be \"batch\".");
  }
  if (!File)
    return failure(ErrorCode::InvalidArgument,
                   "The form has no field \"file\".");
  return std::move(*File);
}

} // namespace

BatchApi::BatchApi(GatewayDependencies Dependencies,
                   const RequestReader &Reader, OnlineCalls &Online)
    : Dependencies(std::move(Dependencies)), Reader(Reader), Online(Online) {}

bool BatchApi::serves(const std::string &Path) {
  return isUnder(Path, FilesPath) || isUnder(Path, BatchesPath);
}

void BatchApi::refuse(ExchangeId Exchange, const Error &Reason, Execution Ran) {
  Problem Value = toProblem(Reason);
  Value.Ran = Ran;
  // The error message of the store contains its row keys and its address,
  // which callers must not see.
  if (Reason.Code == ErrorCode::NotFound)
    Value.Detail = "The customer has no file or batch with this id.";
  if (Reason.Code == ErrorCode::Unavailable)
    Value.RetryAfterMs = StoreRetryAfterMs;
  this->Online.refuse(Exchange, Value);
}

void BatchApi::reply(ExchangeId Exchange, std::string Body,
                     const std::string &ContentType) {
  this->Dependencies.Http.reply(
      Exchange, {200, {{"Content-Type", ContentType}}, std::move(Body)});
}

void BatchApi::handle(ExchangeId Exchange, HttpRequest Request) {
  const Result<const CustomerSettings *> Customer =
      this->Reader.authenticateCustomer(Request);
  if (!Customer)
    return this->refuse(Exchange, Customer.error(), Execution::NotRun);
  if (!this->Dependencies.Jobs)
    return this->refuse(
        Exchange,
        {ErrorCode::Unavailable, "This gateway has no store for batch jobs."},
        Execution::NotRun);
  if (const Result<void> Status = this->Reader.checkBodySize(Request); !Status)
    return this->refuse(Exchange, Status.error(), Execution::NotRun);
  if (!this->Online.takeFromQuota(Exchange, (*Customer)->Name, 0))
    return;
  this->Dependencies.Stats.add("gateway_batch_api_total");
  if (isUnder(Request.Path, FilesPath))
    this->handleFiles(Exchange, std::move(Request), **Customer);
  else
    this->handleBatches(Exchange, Request, **Customer);
}

void BatchApi::handleFiles(ExchangeId Exchange, HttpRequest Request,
                           const CustomerSettings &Customer) {
  const ResourcePath Target = splitResourcePath(Request.Path, FilesPath);
  if (Target.Id.empty()) {
    if (Request.Method != "POST")
      return this->Online.refuse(Exchange, makeMethodNotAllowedProblem("POST"));
    return this->putFile(Exchange, std::move(Request), Customer);
  }
  if (!isObjectId(Target.Id) ||
      (!Target.Subresource.empty() && Target.Subresource != "content"))
    return this->refuse(Exchange,
                        {ErrorCode::NotFound, "There is no such file."},
                        Execution::NotRun);
  if (Request.Method != "GET")
    return this->Online.refuse(Exchange, makeMethodNotAllowedProblem("GET"));
  this->getFile(Exchange, Customer, Target.Id, !Target.Subresource.empty());
}

void BatchApi::putFile(ExchangeId Exchange, HttpRequest Request,
                       const CustomerSettings &Customer) {
  Result<FormField> File = readUpload(std::move(Request));
  if (!File)
    return this->refuse(Exchange, File.error(), Execution::NotRun);
  this->Dependencies.Jobs->putFile(
      Customer.Name, File->FileName, std::move(File->Bytes),
      [this, Exchange](const Result<FileRecord> &Stored) {
        // Storing a file never runs anything, even if its result is unknown.
        if (Stored)
          this->reply(Exchange, toFileJson(*Stored), "application/json");
        else
          this->refuse(Exchange, Stored.error(), Execution::NotRun);
      });
}

void BatchApi::getFile(ExchangeId Exchange, const CustomerSettings &Customer,
                       const std::string &Id, bool WithContent) {
  if (!WithContent)
    return this->Dependencies.Jobs->findFile(
        Customer.Name, Id, [this, Exchange](const Result<FileRecord> &File) {
          if (File)
            this->reply(Exchange, toFileJson(*File), "application/json");
          else
            this->refuse(Exchange, File.error(), Execution::NotRun);
        });
  this->Dependencies.Jobs->readFile(
      Customer.Name, Id, [this, Exchange](const Result<std::string> &Text) {
        if (Text)
          this->reply(Exchange, *Text, "application/jsonl");
        else
          this->refuse(Exchange, Text.error(), Execution::NotRun);
      });
}

JobService::JobDone BatchApi::makeJobCallback(ExchangeId Exchange,
                                              Execution OnFailure) {
  return [this, Exchange, OnFailure](const Result<JobRecord> &Job) {
    if (Job)
      return this->reply(Exchange, toBatchJson(*Job), "application/json");
    // Only after these errors may the store have applied the change.
    const bool IsOutcomeUnknown = Job.error().Code == ErrorCode::Unavailable ||
                                  Job.error().Code == ErrorCode::Timeout;
    this->refuse(Exchange, Job.error(),
                 IsOutcomeUnknown ? OnFailure : Execution::NotRun);
  };
}

void BatchApi::handleBatches(ExchangeId Exchange, const HttpRequest &Request,
                             const CustomerSettings &Customer) {
  const ResourcePath Target = splitResourcePath(Request.Path, BatchesPath);
  if (Target.Id.empty()) {
    if (Request.Method != "POST")
      return this->Online.refuse(Exchange, makeMethodNotAllowedProblem("POST"));
    return this->submitBatch(Exchange, Request, Customer);
  }
  if (!isObjectId(Target.Id) ||
      (!Target.Subresource.empty() && Target.Subresource != "cancel"))
    return this->refuse(Exchange,
                        {ErrorCode::NotFound, "There is no such batch."},
                        Execution::NotRun);
  if (Target.Subresource.empty()) {
    if (Request.Method != "GET")
      return this->Online.refuse(Exchange, makeMethodNotAllowedProblem("GET"));
    return this->Dependencies.Jobs->find(
        Customer.Name, Target.Id,
        this->makeJobCallback(Exchange, Execution::NotRun));
  }
  if (Request.Method != "POST")
    return this->Online.refuse(Exchange, makeMethodNotAllowedProblem("POST"));
  this->Dependencies.Jobs->cancel(
      Customer.Name, Target.Id,
      this->makeJobCallback(Exchange, Execution::Unknown));
}

void BatchApi::submitBatch(ExchangeId Exchange, const HttpRequest &Request,
                           const CustomerSettings &Customer) {
  Result<JobRequest> BatchRequest = readBatchRequest(
      Request.Body, findHeader(Request.Headers, "Turmericpass-Class"), Customer,
      this->Dependencies.Fleet.settings());
  if (!BatchRequest)
    return this->refuse(Exchange, BatchRequest.error(), Execution::NotRun);
  const Result<std::string> Key = readIdempotencyKey(Request);
  if (!Key)
    return this->refuse(Exchange, Key.error(), Execution::NotRun);
  BatchRequest->IdempotencyKey = *Key;
  const auto Answer = this->makeJobCallback(Exchange, Execution::Unknown);
  this->Dependencies.Jobs->submit(
      *BatchRequest, [this, Exchange, Answer](const Result<JobRecord> &Job) {
        if (!Job && Job.error().Code == ErrorCode::Conflict)
          return this->Online.refuse(
              Exchange,
              makeKeyReusedProblem("Header \"Idempotency-Key\" was used with "
                                   "another batch; send a new key."));
        Answer(Job);
      });
}

} // namespace turmericpass
