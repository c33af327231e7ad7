#ifndef TURMERICPASS_JOBS_BATCHSTATUS_H
#define TURMERICPASS_JOBS_BATCHSTATUS_H

#include <string>

namespace turmericpass {

/// Tells a reader of results how far the batch is, and whether the results are
/// partial. \p Batch is the gateway's JSON description of the batch; fields
/// that it lacks are left out.
std::string formatBatchStatus(const std::string &Batch);

} // namespace turmericpass

#endif
