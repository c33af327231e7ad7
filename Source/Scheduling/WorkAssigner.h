#ifndef TURMERICPASS_SCHEDULING_WORKASSIGNER_H
#define TURMERICPASS_SCHEDULING_WORKASSIGNER_H

#include "Scheduling/Placement.h"

#include <string>

namespace turmericpass {

class FairQueue;
class FleetState;
struct ServerState;
struct ServiceState;
struct WorkItem;

/// Assigns queued work to servers and preempts running work for online
/// requests.
class WorkAssigner {
public:
  explicit WorkAssigner(FleetState &Shared) : Fleet(Shared), Placer(Shared) {}

  /// Starts all queued items of \p Service that can start now.
  void dispatch(const std::string &Service);

  /// Returns held items to the queue if they no longer have to wait.
  void releaseHeldItems(const std::string &Service);

  /// Starts a second copy of \p Item, which runs on \p UsedServer. Returns
  /// false if no other server has room.
  bool startCopy(WorkItem &Item, const std::string &UsedServer);

  /// Returns whether a server other than \p UsedServer could run the item.
  bool hasOtherServer(const WorkItem &Item, const std::string &UsedServer);

private:
  enum class ServeResult {
    /// An item was started or left the queue.
    Progress,
    /// The queue has to wait, but later ones may start items.
    Skip,
    /// No server has room for any item.
    Full,
  };

  ServeResult serveQueue(FairQueue &ClassQueue);
  void startItem(WorkItem &Item, ServerState &Server);
  /// Preempts work that yields to \p Item, except on the server
  /// \p ExcludedServer. Returns whether there is room for the item then.
  bool preemptFor(const WorkItem &Item, const std::string &ExcludedServer);
  bool takeRetryBudget(ServiceState &State, const WorkItem &Item);

  FleetState &Fleet;
  Placement Placer;
};

} // namespace turmericpass

#endif
