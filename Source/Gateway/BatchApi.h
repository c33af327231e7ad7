#ifndef TURMERICPASS_GATEWAY_BATCHAPI_H
#define TURMERICPASS_GATEWAY_BATCHAPI_H

#include "Gateway/GatewayPorts.h"
#include "Gateway/OnlineCalls.h"
#include "Gateway/RequestReader.h"
#include "Jobs/JobService.h"

#include <functional>
#include <string>

namespace turmericpass {

/// The files-and-batches API over JobService. An accepted file, batch or
/// cancellation is durable before the caller learns of it.
class BatchApi {
public:
  BatchApi(GatewayPorts Ports, const RequestReader &Reader,
           OnlineCalls &Online);

  /// Returns whether \p Path belongs to this API.
  static bool serves(const std::string &Path);

  void handle(ExchangeId Exchange, HttpRequest Request);

private:
  void putFile(ExchangeId Exchange, HttpRequest Request,
               const CustomerSettings &Customer);
  void getFile(ExchangeId Exchange, const CustomerSettings &Customer,
               const std::string &Id, bool Content);
  void submit(ExchangeId Exchange, const HttpRequest &Request,
              const CustomerSettings &Customer);
  void handleFiles(ExchangeId Exchange, HttpRequest Request,
                   const CustomerSettings &Customer);
  void handleBatches(ExchangeId Exchange, const HttpRequest &Request,
                     const CustomerSettings &Customer);
  void refuse(ExchangeId Exchange, const Error &Reason, Execution Ran);
  void reply(ExchangeId Exchange, std::string Body,
             const std::string &ContentType);
  JobService::JobDone answerWith(ExchangeId Exchange, Execution OnFailure);

  GatewayPorts Ports;
  const RequestReader &Reader;
  OnlineCalls &Online;
};

} // namespace turmericpass

#endif
