#ifndef TURMERICPASS_SCHEDULING_PLACEMENT_H
#define TURMERICPASS_SCHEDULING_PLACEMENT_H

#include "Core/Clock.h"
#include "Scheduling/SchedulingTypes.h"

#include <optional>
#include <string>

namespace turmericpass {

class FleetState;
struct ServerState;
struct WorkItem;

/// Chooses the server for an item, or the attempt that is preempted for it.
class Placement {
public:
  explicit Placement(FleetState &Shared) : Fleet(Shared) {}

  /// Returns the server to start \p Item on, or nullptr if no server has room.
  ServerState *chooseServer(const WorkItem &Item);

  /// Returns the server for a second copy of \p Item, which runs on
  /// \p UsedServer, or nullptr if no other server has room.
  ServerState *chooseServerForCopy(const WorkItem &Item,
                                   const std::string &UsedServer);

  /// Returns the attempt that loses the least work if its slot is given to
  /// \p Item: a batch attempt or, for short work, a long online attempt above
  /// its share. Attempts on the server \p ExcludedServer are not considered.
  std::optional<SchedulerAttemptId>
  chooseAttemptToPreempt(const WorkItem &Item,
                         const std::string &ExcludedServer);

  /// Returns whether the quarantine forbids \p Item to start on some server,
  /// because it is a suspect or equals a running request that has not succeeded
  /// before. Such an item may have to wait outside the queue.
  bool isRestricted(const WorkItem &Item) const;

  /// Returns whether long work of the item's class uses its whole share of the
  /// slots.
  bool usesWholeLongShare(const WorkItem &Item) const;

private:
  bool isAllowed(const ServerState &Server, const WorkItem &Item) const;
  bool hasRoomFor(ServerState &Server, const WorkItem &Item, Instant Now) const;
  bool exceedsLongShare(const ServerState &Server, const WorkItem &Item,
                        std::uint32_t ExtraAttempts) const;
  bool leavesReserve(const WorkItem &Item, Instant Now) const;
  ServerState *findServerToProbe(const WorkItem &Item, Instant Now);
  /// Returns whether a suspect must run on another server than its last one.
  bool mustAvoidLastServer(const WorkItem &Item) const;
  ServerState *findBestServer(const WorkItem &Item,
                              const std::string &AvoidedServer, Instant Now);

  FleetState &Fleet;
};

} // namespace turmericpass

#endif
