#ifndef TURMERICPASS_BATCHER_ITEMREADER_H
#define TURMERICPASS_BATCHER_ITEMREADER_H

#include "Core/Error.h"
#include "Settings/FleetSettings.h"
#include "Wire/Messages.h"

#include <string>

namespace turmericpass {

struct WorkItem;

/// An item as it goes to a dispatcher.
struct ItemRequest {
  /// Without request id, attempt, remaining time and trace.
  Submit Work;
  std::string CustomId;
  ServiceKind Kind = ServiceKind::Model;
  bool Chat = true;
  std::string Model;
};

/// Reads the line of \p Item: a completion goes to the service of its model,
/// a URL /services/NAME/... to the plain service NAME. Errors: Malformed or
/// InvalidArgument for what no retry repairs, NotFound for a service that the
/// settings do not have.
Result<ItemRequest> readItem(const WorkItem &Item,
                             const FleetSettings &Settings);

} // namespace turmericpass

#endif
