#include "Platform/PlatformCall.h"

#include <utility>

namespace turmericpass {

namespace {

using namespace std::chrono_literals;

/// A platform service that sends nothing for this long is considered
/// unavailable; normal replies take milliseconds.
constexpr Duration PlatformIdleLimit = 5s;

ErrorCode toErrorCode(int Status, ErrorCode TooManyRequestsCode) {
  switch (Status) {
  case 404:
    return ErrorCode::NotFound;
  case 409:
    return ErrorCode::Conflict;
  case 429:
    return TooManyRequestsCode;
  case 503:
    return ErrorCode::Unavailable;
  default:
    return Status < 500 ? ErrorCode::InvalidArgument : ErrorCode::Timeout;
  }
}

} // namespace

void callPlatform(HttpClient &Client, const std::string &Address,
                  HttpRequest Request,
                  const std::function<void(Result<std::string>)> &Done,
                  ErrorCode TooManyRequestsCode) {
  const std::string CallDescription =
      Request.Method + " " + Request.Path + " at " + Address;
  HttpCallHandlers Handlers;
  Handlers.Done = [CallDescription, Done,
                   TooManyRequestsCode](HttpReply Reply) {
    if (Reply.Status >= 200 && Reply.Status < 300)
      Done(std::move(Reply.Body));
    else
      Done(failure(toErrorCode(Reply.Status, TooManyRequestsCode),
                   CallDescription + " was answered with status " +
                       std::to_string(Reply.Status) + "."));
  };
  Handlers.Failed = [CallDescription, Done](const Error &Reason,
                                            HttpProgress Progress) {
    Done(failure(Progress == HttpProgress::NotSent ? ErrorCode::Unavailable
                                                   : ErrorCode::Timeout,
                 CallDescription + " failed: " + Reason.Message));
  };
  Client.call(Address, std::move(Request), PlatformIdleLimit,
              std::move(Handlers));
}

} // namespace turmericpass
