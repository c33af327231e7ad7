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

/// Assigns queued work to servers and preempts running work for online
/// requests.
class WorkAssigner {
public:
  explicit WorkAssigner(FleetState &Shared) : Fleet(Shared), Places(Shared) {}

  /// Starts all queued items of \p Service that can start now.
  void dispatch(const std::string &Service);

  /// Returns held items to the queue if they no longer have to wait.
  void releaseHeld(const std::string &Service);

  /// Starts a second copy of \p Item, which runs on \p Used. Returns false if
  /// no other server has room.
  bool startCopy(WorkItem &Item, const std::string &Used);

  /// Returns whether a server other than \p Used could run the item.
  bool hasOther(const WorkItem &Item, const std::string &Used);

private:
  enum class Step {
    /// An item was started or left the queue.
    Progress,
    /// The queue has to wait, but later ones may start items.
    Skip,
    /// No server has room for any item.
    Full,
  };

  Step serve(FairLane &Lane);
  void startAt(WorkItem &Item, ServerState &Server);
  /// Preempts work that yields to \p Item, except on the server \p Except.
  /// Returns whether there is room for the item then.
  bool makeRoom(const WorkItem &Item, const std::string &Except);
  bool payRetry(ServiceState &State, const WorkItem &Item);

  FleetState &Fleet;
  Placement Places;
};

} // namespace turmericpass

#endif
