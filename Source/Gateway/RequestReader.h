#ifndef TURMERICPASS_GATEWAY_REQUESTREADER_H
#define TURMERICPASS_GATEWAY_REQUESTREADER_H

#include "Admission/CustomerIndex.h"
#include "Core/Error.h"
#include "Gateway/OnlineRequest.h"
#include "Http/HttpTypes.h"

#include <string>

namespace turmericpass {

class FleetSource;

/// Returns the Idempotency-Key header, empty if there is none. Errors:
/// InvalidArgument for one that cannot be a row's key.
Result<std::string> readIdempotencyKey(const HttpRequest &Request);

/// Checks callers' requests and turns them into work for dispatchers. Every
/// error means that nothing ran.
class RequestReader {
public:
  RequestReader(const FleetSource &Fleet, const CustomerIndex &Index)
      : Fleet(Fleet), Index(Index) {}

  /// Reads a request to /v1/chat/completions or /v1/completions. Errors:
  /// Unauthenticated, Forbidden (class), Malformed, InvalidArgument, NotFound
  /// (model), TooLarge.
  Result<OnlineRequest> readCompletion(const HttpRequest &Request,
                                       bool Chat) const;

  /// Reads a request to /services/NAME/... Errors as above.
  Result<OnlineRequest> readServiceCall(const HttpRequest &Request) const;

  /// Errors: TooLarge for a body above limits.body_bytes.
  Result<void> checkSize(const HttpRequest &Request) const;

  /// Returns the customer of \p Request. Errors: Unauthenticated.
  Result<const CustomerSettings *> customerOf(const HttpRequest &Request) const;

private:
  /// Reads what all requests have in common.
  Result<OnlineRequest> readHead(const HttpRequest &Request) const;
  Result<void> addService(OnlineRequest &Read, const HttpRequest &Request,
                          const ServiceSettings &Service) const;

  const FleetSource &Fleet;
  const CustomerIndex &Index;
};

} // namespace turmericpass

#endif
