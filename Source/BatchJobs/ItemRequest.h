#ifndef TURMERICPASS_BATCHJOBS_ITEMREQUEST_H
#define TURMERICPASS_BATCHJOBS_ITEMREQUEST_H

#include "BatchJobs/OwnedJob.h"
#include "Serving/BackendProtocol.h"
#include "Serving/BackendServer.h"

namespace turmericpass {

/// Builds the request that runs an item at \p Server, or that goes on after
/// the last event that the item has.
BackendRequest makeItemRequest(const JobMetadata &Head, const ItemRun &Run,
                               const ServerEntry &Server,
                               const BackendProtocol &Protocol);

} // namespace turmericpass

#endif
