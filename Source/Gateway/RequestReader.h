#ifndef TURMERICPASS_GATEWAY_REQUESTREADER_H
#define TURMERICPASS_GATEWAY_REQUESTREADER_H

#include "Admission/CustomerIndex.h"
#include "Core/Error.h"
#include "Gateway/OnlineRequest.h"
#include "Http/HttpTypes.h"

#include <string>

namespace turmericpass {

class FleetSource;

/// Returns the value of the Idempotency-Key header, or an empty text if there
/// is none. Errors: InvalidArgument for a value that cannot be a row key.
Result<std::string> readIdempotencyKey(const HttpRequest &Request);

/// Validates callers' requests and converts them to messages for dispatchers.
/// An error always means that nothing ran.
class RequestReader {
public:
  RequestReader(const FleetSource &Fleet, const CustomerIndex &Index)
      : Fleet(Fleet), Index(Index) {}

  /// Parses a request to /v1/chat/completions or /v1/completions. Errors:
  /// Unauthenticated, Forbidden (class), Malformed, InvalidArgument, NotFound
  /// (model), TooLarge.
  Result<OnlineRequest> readCompletion(const HttpRequest &Request,
                                       bool Chat) const;

  /// Parses a request to /services/NAME/... The errors are those of
  /// readCompletion(), with NotFound for an unknown service.
  Result<OnlineRequest> readServiceCall(const HttpRequest &Request) const;

  /// Checks the size of the body. Errors: TooLarge if it exceeds
  /// limits.body_bytes.
  Result<void> checkBodySize(const HttpRequest &Request) const;

  /// Returns the customer to whom the API key of \p Request belongs. Errors:
  /// Unauthenticated.
  Result<const CustomerSettings *>
  authenticateCustomer(const HttpRequest &Request) const;

private:
  /// Sets the fields that requests of all kinds have in common.
  Result<OnlineRequest> readCommonFields(const HttpRequest &Request) const;
  /// Sets the fields that depend on \p Service, and checks the idempotency key.
  Result<void> addServiceFields(OnlineRequest &Parsed,
                                const HttpRequest &Request,
                                const ServiceSettings &Service) const;

  const FleetSource &Fleet;
  const CustomerIndex &Index;
};

} // namespace turmericpass

#endif
