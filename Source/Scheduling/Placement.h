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

/// Chooses a server for a piece of work, or the work that has to yield to it.
class Placement {
public:
  explicit Placement(FleetState &Shared) : Fleet(Shared) {}

  /// Returns the server to start \p Item at, or nullptr if none has room.
  ServerState *choose(const WorkItem &Item);

  /// Returns the server for a second copy of \p Item, or nullptr.
  ServerState *chooseOther(const WorkItem &Item, const std::string &Used);

  /// Returns the attempt that loses least by yielding its slot to \p Item: a
  /// batch attempt or, for short work, long online work above its share. The
  /// server \p Except is left alone.
  std::optional<SchedulerAttemptId> victimFor(const WorkItem &Item,
                                              const std::string &Except);

  /// Returns whether \p Item is a suspect, or equal to a running request that
  /// no server has proven yet, so that it may have to wait by itself.
  bool isRestricted(const WorkItem &Item) const;

  /// Returns whether long work of the item's class holds its whole share.
  bool holdsItsShare(const WorkItem &Item) const;

private:
  bool isAllowed(const ServerState &Server, const WorkItem &Item) const;
  bool fits(ServerState &Server, const WorkItem &Item, Instant Now) const;
  bool isAboveShare(const ServerState &Server, const WorkItem &Item,
                    std::uint32_t Extra) const;
  bool leavesReserve(const WorkItem &Item, Instant Now) const;
  ServerState *probe(const WorkItem &Item, Instant Now);
  /// Returns whether a suspect must run at another server than its last one.
  bool mustMove(const WorkItem &Item) const;
  ServerState *best(const WorkItem &Item, const std::string &Avoid,
                    Instant Now);

  FleetState &Fleet;
};

} // namespace turmericpass

#endif
