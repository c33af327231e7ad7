#include "Http/PercentEncoding.h"
#include "Jobs/BatchStatus.h"
#include "Programs/CliCommands.h"
#include "Programs/CliSupport.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace turmericpass {

namespace {

constexpr int FirstErrorStatus = 300;

options::options_description describeGateway() {
  options::options_description Described("Options");
  Described.add_options()("gateway", options::value<std::string>()->required(),
                          "address of a gateway, ip:port")(
      "key", options::value<std::string>()->required(), "the API key");
  return Described;
}

/// Calls the gateway with the caller's key and returns the body. Errors name
/// the gateway's reason.
Result<std::string> callGateway(CliContext &Context,
                                const options::variables_map &Values,
                                HttpRequest Request) {
  Request.Headers.emplace_back("Authorization",
                               "Bearer " + Values["key"].as<std::string>());
  const auto Address = Values["gateway"].as<std::string>();
  Result<HttpReply> Reply = Context.call(Address, std::move(Request));
  if (!Reply)
    return tl::make_unexpected(Reply.error());
  if (Reply->Status < FirstErrorStatus)
    return std::move(Reply->Body);
  const auto Problem = nlohmann::json::parse(Reply->Body, nullptr, false);
  std::string Reason = "status " + std::to_string(Reply->Status);
  if (Problem.is_object())
    for (const char *Field : {"title", "detail", "execution"})
      if (Problem.contains(Field) && Problem[Field].is_string())
        Reason += ", " + Problem[Field].get<std::string>();
  return failure(ErrorCode::Unavailable,
                 "The gateway " + Address + " refused: " + Reason + ".");
}

Result<std::string> readField(const std::string &Body, const char *Field) {
  const auto Root = nlohmann::json::parse(Body, nullptr, false);
  if (!Root.is_object() || !Root.contains(Field) || !Root[Field].is_string())
    return failure(ErrorCode::Malformed,
                   std::string("The gateway's answer has no field ") + Field +
                       ".");
  return Root[Field].get<std::string>();
}

HttpRequest request(const char *Method, std::string Path) {
  HttpRequest Request;
  Request.Method = Method;
  Request.Path = std::move(Path);
  return Request;
}

std::string batchPath(const options::variables_map &Values) {
  return "/v1/batches/" + percentEncode(Values["ID"].as<std::string>());
}

Result<std::string> upload(CliContext &Context,
                           const options::variables_map &Values) {
  const auto Path = Values["FILE"].as<std::string>();
  std::ifstream In(Path, std::ios::binary);
  std::ostringstream Text;
  if (In.peek() != std::ifstream::traits_type::eof())
    Text << In.rdbuf();
  if (!In.is_open() || In.bad())
    return failure(ErrorCode::NotFound,
                   "The file " + Path + " cannot be read.");
  HttpRequest Upload = request("POST", "/v1/files");
  Upload.Headers = {{"Content-Type", "application/jsonl"}};
  Upload.Body = Text.str();
  const Result<std::string> Reply =
      callGateway(Context, Values, std::move(Upload));
  if (!Reply)
    return tl::make_unexpected(Reply.error());
  return readField(*Reply, "id");
}

} // namespace

ExitStatus runSubmit(const CliWords &Words) {
  options::options_description Described = describeGateway();
  Described.add_options()("FILE", options::value<std::string>()->required(),
                          "the items, one JSON object a line")(
      "class", options::value<std::string>(), "one of the customer's classes")(
      "endpoint",
      options::value<std::string>()->default_value("/v1/chat/completions"),
      "what each item calls")(
      "window", options::value<std::string>()->default_value("24h"),
      "time until items that have not begun expire")(
      "idempotency-key", options::value<std::string>(),
      "a second submission with the same key finds the first job");
  const auto Values = parseCommand("submit", "FILE", Described, Words);
  if (!Values)
    return Values.error();
  CliContext Context;
  const Result<std::string> File = upload(Context, *Values);
  if (!File)
    return refuse(File.error());
  HttpRequest Order = request("POST", "/v1/batches");
  const std::string Key = Values->count("idempotency-key") > 0
                              ? (*Values)["idempotency-key"].as<std::string>()
                              : Context.Ids.longId();
  Order.Headers = {{"Content-Type", "application/json"},
                   {"Idempotency-Key", Key}};
  if (Values->count("class") > 0)
    Order.Headers.emplace_back("Turmericpass-Class",
                               (*Values)["class"].as<std::string>());
  Order.Body =
      nlohmann::json(
          {{"input_file_id", *File},
           {"endpoint", (*Values)["endpoint"].as<std::string>()},
           {"completion_window", (*Values)["window"].as<std::string>()}})
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  const Result<std::string> Reply =
      callGateway(Context, *Values, std::move(Order));
  if (!Reply) {
    std::cerr << "To try again without a second job, give --idempotency-key "
              << Key << '\n';
    return refuse(Reply.error());
  }
  const Result<std::string> Id = readField(*Reply, "id");
  if (!Id)
    return refuse(Id.error());
  std::cout << *Id << '\n';
  return ExitStatus::Done;
}

ExitStatus runCancel(const CliWords &Words) {
  options::options_description Described = describeGateway();
  Described.add_options()("ID", options::value<std::string>()->required(),
                          "the batch job");
  const auto Values = parseCommand("cancel", "ID", Described, Words);
  if (!Values)
    return Values.error();
  CliContext Context;
  const Result<std::string> Reply = callGateway(
      Context, *Values, request("POST", batchPath(*Values) + "/cancel"));
  if (!Reply)
    return refuse(Reply.error());
  const Result<std::string> Status = readField(*Reply, "status");
  std::cout << (Status ? *Status : *Reply) << '\n';
  return ExitStatus::Done;
}

ExitStatus runResults(const CliWords &Words) {
  options::options_description Described = describeGateway();
  Described.add_options()("ID", options::value<std::string>()->required(),
                          "the batch job");
  const auto Values = parseCommand("results", "ID", Described, Words);
  if (!Values)
    return Values.error();
  CliContext Context;
  const Result<std::string> Job =
      callGateway(Context, *Values, request("GET", batchPath(*Values)));
  if (!Job)
    return refuse(Job.error());
  std::cerr << formatBatchStatus(*Job) << '\n';
  const Result<std::string> File = readField(*Job, "output_file_id");
  if (!File)
    return refuse(File.error());
  const Result<std::string> Text = callGateway(
      Context, *Values,
      request("GET", "/v1/files/" + percentEncode(*File) + "/content"));
  if (!Text)
    return refuse(Text.error());
  std::cout << *Text;
  return ExitStatus::Done;
}

} // namespace turmericpass
