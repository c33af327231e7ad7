#ifndef TURMERICPASS_SCHEDULING_WORKASSIGNER_H
#define TURMERICPASS_SCHEDULING_WORKASSIGNER_H

#include "Scheduling/Placement.h"

#include <string>

namespace turmericpass {

class FairLane;
class FleetState;
struct ServerState;
struct ServiceState;
struct WorkItem;

/// Gives queued work to servers, and makes room for online work.
class WorkAssigner {
public:
  explicit WorkAssigner(FleetState &Shared) : Fleet(Shared), Places(Shared) {}

  /// Starts all that can start now.
  void dispatch(const std::string &Service);

  /// Puts held work back into the queue where its reason to wait is gone.
  void releaseHeld(const std::string &Service);

  /// Starts a second copy of \p Item; returns false if no server has room.
  bool startCopy(WorkItem &Item, const std::string &Used);

  /// Returns whether a server other than \p Used could run the item.
  bool hasOther(const WorkItem &Item, const std::string &Used);

private:
  enum class Step {
    /// Something started or left the queue.
    Progress,
    /// This lane has to wait; later ones may start.
    Skip,
    /// No server has room for anything.
    Full,
  };

  Step serve(FairLane &Lane);
  void startAt(WorkItem &Item, ServerState &Server);
  /// Cancels work that yields to \p Item, but none at \p Except. Returns
  /// whether there is room now.
  bool makeRoom(const WorkItem &Item, const std::string &Except);
  bool payRetry(ServiceState &State, const WorkItem &Item);

  FleetState &Fleet;
  Placement Places;
};

} // namespace turmericpass

#endif
