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
constexpr std::uint64_t StoreRetryMs = 1000;

bool isUnder(const std::string &Path, std::string_view Root) {
  return Path.starts_with(Root) &&
         (Path.size() == Root.size() || Path[Root.size()] == '/');
}

/// The parts of a path below its root: an id and what is wanted of it.
struct Target {
  std::string Id;
  std::string Part;
};

Target targetOf(const std::string &Path, std::string_view Root) {
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

BatchApi::BatchApi(GatewayPorts Ports, const RequestReader &Reader,
                   OnlineCalls &Online)
    : Ports(std::move(Ports)), Reader(Reader), Online(Online) {}

bool BatchApi::serves(const std::string &Path) {
  return isUnder(Path, FilesPath) || isUnder(Path, BatchesPath);
}

void BatchApi::refuse(ExchangeId Exchange, const Error &Reason, Execution Ran) {
  Problem Value = toProblem(Reason);
  Value.Ran = Ran;
  // The store's own words name its row and address.
  if (Reason.Code == ErrorCode::NotFound)
    Value.Detail = "The customer has no file or batch with this id.";
  if (Reason.Code == ErrorCode::Unavailable)
    Value.RetryAfterMs = StoreRetryMs;
  this->Online.refuse(Exchange, Value);
}

void BatchApi::reply(ExchangeId Exchange, std::string Body,
                     const std::string &ContentType) {
  this->Ports.Http.reply(
      Exchange, {200, {{"Content-Type", ContentType}}, std::move(Body)});
}

void BatchApi::handle(ExchangeId Exchange, HttpRequest Request) {
  const Result<const CustomerSettings *> Customer =
      this->Reader.customerOf(Request);
  if (!Customer)
    return this->refuse(Exchange, Customer.error(), Execution::NotRun);
  if (!this->Ports.Jobs)
    return this->refuse(
        Exchange,
        {ErrorCode::Unavailable, "This gateway has no store for batch jobs."},
        Execution::NotRun);
  if (const Result<void> Sized = this->Reader.checkSize(Request); !Sized)
    return this->refuse(Exchange, Sized.error(), Execution::NotRun);
  if (!this->Online.takeRequest(Exchange, (*Customer)->Name, 0))
    return;
  this->Ports.Stats.add("gateway_batch_api_total");
  if (isUnder(Request.Path, FilesPath))
    this->handleFiles(Exchange, std::move(Request), **Customer);
  else
    this->handleBatches(Exchange, Request, **Customer);
}

void BatchApi::handleFiles(ExchangeId Exchange, HttpRequest Request,
                           const CustomerSettings &Customer) {
  const Target Wanted = targetOf(Request.Path, FilesPath);
  if (Wanted.Id.empty()) {
    if (Request.Method != "POST")
      return this->Online.refuse(Exchange, wrongMethod("POST"));
    return this->putFile(Exchange, std::move(Request), Customer);
  }
  if (!isObjectId(Wanted.Id) ||
      (!Wanted.Part.empty() && Wanted.Part != "content"))
    return this->refuse(Exchange,
                        {ErrorCode::NotFound, "There is no such file."},
                        Execution::NotRun);
  if (Request.Method != "GET")
    return this->Online.refuse(Exchange, wrongMethod("GET"));
  this->getFile(Exchange, Customer, Wanted.Id, !Wanted.Part.empty());
}

void BatchApi::putFile(ExchangeId Exchange, HttpRequest Request,
                       const CustomerSettings &Customer) {
  Result<FormField> File = readUpload(std::move(Request));
  if (!File)
    return this->refuse(Exchange, File.error(), Execution::NotRun);
  this->Ports.Jobs->putFile(
      Customer.Name, File->FileName, std::move(File->Bytes),
      [this, Exchange](const Result<FileRecord> &Stored) {
        // A file by itself runs nothing, whatever became of it.
        if (Stored)
          this->reply(Exchange, toFileJson(*Stored), "application/json");
        else
          this->refuse(Exchange, Stored.error(), Execution::NotRun);
      });
}

void BatchApi::getFile(ExchangeId Exchange, const CustomerSettings &Customer,
                       const std::string &Id, bool Content) {
  if (!Content)
    return this->Ports.Jobs->findFile(
        Customer.Name, Id, [this, Exchange](const Result<FileRecord> &File) {
          if (File)
            this->reply(Exchange, toFileJson(*File), "application/json");
          else
            this->refuse(Exchange, File.error(), Execution::NotRun);
        });
  this->Ports.Jobs->readFile(
      Customer.Name, Id, [this, Exchange](const Result<std::string> &Text) {
        if (Text)
          this->reply(Exchange, *Text, "application/jsonl");
        else
          this->refuse(Exchange, Text.error(), Execution::NotRun);
      });
}

JobService::JobDone BatchApi::answerWith(ExchangeId Exchange,
                                         Execution OnFailure) {
  return [this, Exchange, OnFailure](const Result<JobRecord> &Job) {
    if (Job)
      return this->reply(Exchange, toBatchJson(*Job), "application/json");
    // Only a store that may have taken the change leaves it open.
    const bool IsOpen = Job.error().Code == ErrorCode::Unavailable ||
                        Job.error().Code == ErrorCode::Timeout;
    this->refuse(Exchange, Job.error(), IsOpen ? OnFailure : Execution::NotRun);
  };
}

void BatchApi::handleBatches(ExchangeId Exchange, const HttpRequest &Request,
                             const CustomerSettings &Customer) {
  const Target Wanted = targetOf(Request.Path, BatchesPath);
  if (Wanted.Id.empty()) {
    if (Request.Method != "POST")
      return this->Online.refuse(Exchange, wrongMethod("POST"));
    return this->submit(Exchange, Request, Customer);
  }
  if (!isObjectId(Wanted.Id) ||
      (!Wanted.Part.empty() && Wanted.Part != "cancel"))
    return this->refuse(Exchange,
                        {ErrorCode::NotFound, "There is no such batch."},
                        Execution::NotRun);
  if (Wanted.Part.empty()) {
    if (Request.Method != "GET")
      return this->Online.refuse(Exchange, wrongMethod("GET"));
    return this->Ports.Jobs->find(
        Customer.Name, Wanted.Id,
        this->answerWith(Exchange, Execution::NotRun));
  }
  if (Request.Method != "POST")
    return this->Online.refuse(Exchange, wrongMethod("POST"));
  this->Ports.Jobs->cancel(Customer.Name, Wanted.Id,
                           this->answerWith(Exchange, Execution::Unknown));
}

void BatchApi::submit(ExchangeId Exchange, const HttpRequest &Request,
                      const CustomerSettings &Customer) {
  Result<JobRequest> Order = readBatchOrder(
      Request.Body, findHeader(Request.Headers, "Turmericpass-Class"), Customer,
      this->Ports.Fleet.settings());
  if (!Order)
    return this->refuse(Exchange, Order.error(), Execution::NotRun);
  const Result<std::string> Key = readIdempotencyKey(Request);
  if (!Key)
    return this->refuse(Exchange, Key.error(), Execution::NotRun);
  Order->IdempotencyKey = *Key;
  const auto Answer = this->answerWith(Exchange, Execution::Unknown);
  this->Ports.Jobs->submit(
      *Order, [this, Exchange, Answer](const Result<JobRecord> &Job) {
        if (!Job && Job.error().Code == ErrorCode::Conflict)
          return this->Online.refuse(
              Exchange, keyReused("Header \"Idempotency-Key\" was used with "
                                  "another batch; send a new key."));
        Answer(Job);
      });
}

} // namespace turmericpass
