#ifndef TURMERICPASS_PLATFORM_PLATFORMCALL_H
#define TURMERICPASS_PLATFORM_PLATFORMCALL_H

#include "Core/Error.h"
#include "Http/HttpClient.h"

#include <functional>
#include <string>

namespace turmericpass {

/// Sends one request to a service of the platform and gives the body of a
/// successful reply. Errors: Unavailable (not reached, or refused with 503:
/// no effect), Timeout (the reply was lost or says 500 to 599: the request may
/// have taken effect), Conflict (409), NotFound (404), \p TooMany (429, which
/// has no effect), InvalidArgument (other statuses from 400 to 499).
void callPlatform(HttpClient &Client, const std::string &Address,
                  HttpRequest Request,
                  const std::function<void(Result<std::string>)> &Done,
                  ErrorCode TooMany = ErrorCode::Unavailable);

} // namespace turmericpass

#endif
