#ifndef TURMERICPASS_GATEWAY_BATCHAPI_H
#define TURMERICPASS_GATEWAY_BATCHAPI_H

#include "Gateway/GatewayDependencies.h"
#include "Gateway/OnlineCalls.h"
#include "Gateway/RequestReader.h"
#include "Jobs/JobService.h"

#include <functional>
#include <string>

namespace turmericpass {

/// Serves the files and batches API on top of JobService. A file, batch or
/// cancellation is stored durably before the caller is told that it was
/// accepted.
class BatchApi {
public:
  BatchApi(GatewayDependencies Dependencies, const RequestReader &Reader,
           OnlineCalls &Online);

  /// Returns whether \p Path is served by this API.
  static bool serves(const std::string &Path);

  void handle(ExchangeId Exchange, HttpRequest Request);

private:
  void putFile(ExchangeId Exchange, HttpRequest Request,
               const CustomerSettings &Customer);
  void getFile(ExchangeId Exchange, const CustomerSettings &Customer,
               const std::string &Id, bool WithContent);
  void submitBatch(ExchangeId Exchange, const HttpRequest &Request,
                   const CustomerSettings &Customer);
  void handleFiles(ExchangeId Exchange, HttpRequest Request,
                   const CustomerSettings &Customer);
  void handleBatches(ExchangeId Exchange, const HttpRequest &Request,
                     const CustomerSettings &Customer);
  void refuse(ExchangeId Exchange, const Error &Reason, Execution Ran);
  void reply(ExchangeId Exchange, std::string Body,
             const std::string &ContentType);
  JobService::JobDone makeJobCallback(ExchangeId Exchange, Execution OnFailure);

  GatewayDependencies Dependencies;
  const RequestReader &Reader;
  OnlineCalls &Online;
};

} // namespace turmericpass

#endif
