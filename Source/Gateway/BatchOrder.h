#ifndef TURMERICPASS_GATEWAY_BATCHORDER_H
#define TURMERICPASS_GATEWAY_BATCHORDER_H

#include "Core/Error.h"
#include "Jobs/JobService.h"

#include <string>

namespace turmericpass {

struct CustomerSettings;
struct FleetSettings;

/// Returns whether \p Id can be the id of a file or a batch, so that it can be
/// a part of a row's key.
bool isObjectId(const std::string &Id);

/// Reads the body of POST /v1/batches. \p ClassName may be empty for the
/// customer's first class of kind batch. Errors: Malformed, InvalidArgument,
/// NotFound (file), Forbidden (class).
Result<JobRequest> readBatchOrder(const std::string &Body,
                                  const std::string &ClassName,
                                  const CustomerSettings &Customer,
                                  const FleetSettings &Settings);

/// Returns the JSON text of a batch in the common format.
std::string toBatchJson(const JobRecord &Job);

/// Returns the JSON text of a file in the common format.
std::string toFileJson(const FileRecord &File);

} // namespace turmericpass

#endif
