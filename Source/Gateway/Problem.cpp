#include "Gateway/Problem.h"

#include <nlohmann/json.hpp>

namespace turmericpass {

namespace {

constexpr std::uint64_t MillisPerSecond = 1000;

struct ProblemType {
  int Status;
  const char *Kind;
  const char *Title;
};

ProblemType problemTypeOf(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::InvalidArgument:
  case ErrorCode::Malformed:
    return {400, "invalid-request", "The request is not valid"};
  case ErrorCode::NotFound:
    return {404, "not-found", "There is no such thing"};
  case ErrorCode::Conflict:
    return {409, "conflict", "The request conflicts with an earlier one"};
  case ErrorCode::TooLarge:
    return {413, "too-large", "The request is too large"};
  case ErrorCode::Unauthenticated:
    return {401, "unauthenticated", "The API key is missing or wrong"};
  case ErrorCode::Forbidden:
    return {403, "forbidden", "The customer may not do this"};
  case ErrorCode::RateLimited:
    return {429, "quota-exceeded", "The customer's quota is used up"};
  case ErrorCode::Unavailable:
  case ErrorCode::Timeout:
  case ErrorCode::Cancelled:
    return {503, "unavailable", "The service is not available now"};
  case ErrorCode::Internal:
    break;
  }
  return {500, "internal", "The gateway failed"};
}

ProblemType problemTypeOf(const Finish &Ending) {
  switch (Ending.Code) {
  case FinishCode::Overloaded:
    return {503, "overloaded", "The service is overloaded"};
  case FinishCode::NoServer:
    return {503, "no-server", "No server of the service can be used"};
  case FinishCode::Cancelled:
    return {503, "cancelled", "The request was withdrawn"};
  case FinishCode::DeadlineExceeded:
    return {504, "deadline-exceeded", "The deadline passed"};
  case FinishCode::Quarantined:
    return {422, "quarantined", "Equal requests made servers crash"};
  case FinishCode::ServerLost:
    return {502, "server-lost", "A server was lost while it had the request"};
  case FinishCode::InvalidRequest:
    return {400, "invalid-request", "The request is not valid"};
  case FinishCode::ServerError:
  case FinishCode::Ok:
    break;
  }
  const bool IsError = Ending.Status >= 400 && Ending.Status <= 599;
  return {IsError ? static_cast<int>(Ending.Status) : 502, "server-error",
          "The server answered with an error"};
}

} // namespace

std::string toJson(const Problem &Value) {
  const nlohmann::json Document = {
      {"type", "urn:turmericpass:problem:" + Value.Kind},
      {"title", Value.Title},
      {"status", Value.Status},
      {"detail", Value.Detail},
      {"execution", toName(Value.Ran)}};
  return Document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

HttpReply toReply(const Problem &Value) {
  HttpReply Reply;
  Reply.Status = Value.Status;
  Reply.Headers = {{"Content-Type", "application/problem+json"}};
  if (Value.RetryAfterMs > 0)
    Reply.Headers.emplace_back(
        "Retry-After",
        std::to_string((Value.RetryAfterMs + MillisPerSecond - 1) /
                       MillisPerSecond));
  if (Value.Status == 401)
    Reply.Headers.emplace_back("WWW-Authenticate", "Bearer");
  Reply.Body = toJson(Value);
  return Reply;
}

Problem toProblem(const Error &Reason) {
  const ProblemType Type = problemTypeOf(Reason.Code);
  return {Type.Status,    Type.Kind,         Type.Title,
          Reason.Message, Execution::NotRun, 0};
}

Problem makeMethodNotAllowedProblem(const std::string &Allowed) {
  return {405,
          "method-not-allowed",
          "The method is not allowed",
          "This path takes " + Allowed + ".",
          Execution::NotRun,
          0};
}

Problem makeKeyReusedProblem(const std::string &Detail) {
  return {422,    "key-reused",      "The idempotency key was used before",
          Detail, Execution::NotRun, 0};
}

Problem makeQuotaExceededProblem(Duration Wait) {
  const auto Millis = std::chrono::ceil<std::chrono::milliseconds>(Wait);
  return {429,
          "quota-exceeded",
          "The customer's quota is used up",
          "The customer's requests or tokens per second are used up.",
          Execution::NotRun,
          static_cast<std::uint64_t>(Millis.count())};
}

Problem toProblem(const Finish &Ending) {
  const ProblemType Type = problemTypeOf(Ending);
  return {Type.Status,   Type.Kind,  Type.Title,
          Ending.Detail, Ending.Ran, Ending.RetryAfterMs};
}

} // namespace turmericpass
