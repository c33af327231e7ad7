#ifndef TURMERICPASS_BATCHJOBS_ITEMREQUEST_H
#define TURMERICPASS_BATCHJOBS_ITEMREQUEST_H

#include "BatchJobs/OwnedJob.h"
#include "Serving/BackendProtocol.h"
#include "Serving/BackendServer.h"

namespace turmericpass {

/// Checks that \p Item can be sent as one request. Its id, target and headers
/// come from a document, in which they may hold any bytes. Fails with
/// InvalidArgument.
Result<void> checkItem(const JobItem &Item);

/// Builds the request that runs an item on \p Server. Headers of the item that
/// the system sets itself are left out. If the item has events
/// from an earlier request, the request resumes after the last of them. The
/// server gets the name of the job's organisation. If there is one, or if
/// \p HasOrganisations states that the settings have any, headers of the item
/// that identify a caller are left out.
BackendRequest makeItemRequest(const JobMetadata &Metadata, const ItemRun &Run,
                               const ServerEntry &Server,
                               const BackendProtocol &Protocol,
                               bool HasOrganisations);

} // namespace turmericpass

#endif
