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
  ServerState *choose(const WorkItem &Item);

  /// Returns the server for a second copy of \p Item, which runs on \p Used, or
  /// nullptr if no other server has room.
  ServerState *chooseOther(const WorkItem &Item, const std::string &Used);

  /// Returns the attempt that loses the least work if its slot is given to \p
  /// Item: a batch attempt or, for short work, a long online attempt above its
  /// share. Attempts on the server \p Except are not considered.
  std::optional<SchedulerAttemptId> victimFor(const WorkItem &Item,
                                              const std::string &Except);

  /// Returns whether the quarantine forbids \p Item to start on some server,
  /// because it is a suspect or equals a running request that has not succeeded
  /// before. Such an item may have to wait outside the queue.
  bool isRestricted(const WorkItem &Item) const;

  /// Returns whether long work of the item's class uses its whole share of the
  /// slots.
  bool holdsItsShare(const WorkItem &Item) const;

private:
  bool isAllowed(const ServerState &Server, const WorkItem &Item) const;
  bool fits(ServerState &Server, const WorkItem &Item, Instant Now) const;
  bool isAboveShare(const ServerState &Server, const WorkItem &Item,
                    std::uint32_t Extra) const;
  bool leavesReserve(const WorkItem &Item, Instant Now) const;
  ServerState *probe(const WorkItem &Item, Instant Now);
  /// Returns whether a suspect must run on another server than its last one.
  bool mustMove(const WorkItem &Item) const;
  ServerState *best(const WorkItem &Item, const std::string &Avoid,
                    Instant Now);

  FleetState &Fleet;
};

} // namespace turmericpass

#endif
