#ifndef TURMERICPASS_PLATFORM_PLATFORMCALL_H
#define TURMERICPASS_PLATFORM_PLATFORMCALL_H

#include "Core/Error.h"
#include "Http/HttpClient.h"

#include <functional>
#include <string>

namespace turmericpass {

/// Sends one request to a service of the platform and passes the body of a
/// successful reply to \p Done. Errors: Unavailable (the service was not
/// reached or replied 503; the request had no effect), Timeout (the reply was
/// lost or has another status from 500 to 599; the request may have taken
/// effect), Conflict (409), NotFound (404), \p TooManyRequestsCode (429; the
/// request had no effect), InvalidArgument (other statuses below 500).
void callPlatform(HttpClient &Client, const std::string &Address,
                  HttpRequest Request,
                  const std::function<void(Result<std::string>)> &Done,
                  ErrorCode TooManyRequestsCode = ErrorCode::Unavailable);

} // namespace turmericpass

#endif
