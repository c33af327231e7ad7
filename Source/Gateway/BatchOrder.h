#ifndef TURMERICPASS_GATEWAY_BATCHORDER_H
#define TURMERICPASS_GATEWAY_BATCHORDER_H

#include "Core/Error.h"
#include "Jobs/JobService.h"

#include <string>

namespace turmericpass {

struct CustomerSettings;
struct FleetSettings;

/// Returns whether \p Id has the form of a file or batch id. Such an id can
/// safely be part of a row key.
bool isObjectId(const std::string &Id);

/// Parses the body of POST /v1/batches. An empty \p ClassName selects the
/// customer's first class of kind batch. Errors: Malformed, InvalidArgument,
/// NotFound (file), Forbidden (class).
Result<JobRequest> readBatchRequest(const std::string &Body,
                                    const std::string &ClassName,
                                    const CustomerSettings &Customer,
                                    const FleetSettings &Settings);

/// Returns the JSON text of a batch object in the common API format.
std::string toBatchJson(const JobRecord &Job);

/// Returns the JSON text of a file object in the common API format.
std::string toFileJson(const FileRecord &File);

} // namespace turmericpass

#endif
