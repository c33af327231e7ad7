#ifndef TURMERICPASS_JOBS_BATCHSTATUS_H
#define TURMERICPASS_JOBS_BATCHSTATUS_H

#include <string>

namespace turmericpass {

/// Returns a message that says how many items of the batch have a result and
/// whether the results are partial. \p Batch is the gateway's JSON description
/// of the batch; missing fields are left out of the message.
std::string formatBatchStatus(const std::string &Batch);

} // namespace turmericpass

#endif
