#ifndef TURMERICPASS_HTTP_EVHTTPSUPPORT_H
#define TURMERICPASS_HTTP_EVHTTPSUPPORT_H

#include "Http/HttpTypes.h"

#include <string>

struct evbuffer;
struct evhttp_request;
struct evkeyvalq;

namespace turmericpass {

/// Returns a copy of the headers in \p From.
HttpHeaders copyHeaders(const evkeyvalq *From);

/// Appends \p Headers to \p To.
void addHeaders(evkeyvalq *To, const HttpHeaders &Headers);

/// Removes all bytes from \p Buffer and returns them.
std::string drainBuffer(evbuffer *Buffer);

/// Returns the name of the method of \p Request.
std::string methodName(evhttp_request *Request);

} // namespace turmericpass

#endif
