#ifndef TURMERICPASS_BATCHJOBS_ITEMSTARTER_H
#define TURMERICPASS_BATCHJOBS_ITEMSTARTER_H

#include "BatchJobs/ItemSchedulingPolicy.h"
#include "BatchJobs/ItemStartBudget.h"
#include "BatchJobs/WaitingItems.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

class Logger;
class PlacementPolicy;
class ServerDirectory;
struct KnownServer;

/// A waiting item and what decides when and where it starts. The views must
/// stay valid while the item is passed to ItemStarter.
struct ItemCandidate {
  ItemKey Key;
  std::string_view ItemId;
  /// The service whose servers can run the item.
  std::string_view Service;
  /// The time until the item is due. It is negative if that has passed.
  Duration TimeLeft{0};
  /// The number of events that the item has produced.
  std::uint64_t Events = 0;
  /// Whether servers crashed while they ran the item. It starts only on a
  /// server that runs no other suspect.
  bool IsSuspect = false;
};

/// The functions that ItemStarter depends on.
struct ItemStarterCallbacks {
  /// Returns whether another VM has waiting items that can still meet their
  /// deadline.
  std::function<bool()> OtherVmsHaveUrgentItems;
  /// Returns the number of items that wait for a slot on other VMs.
  std::function<int()> OtherVmsWaitingItems;
  /// Sends an item to a server.
  std::function<void(const ItemKey &, const KnownServer &)> Start;
  /// Returns the servers on which suspects run. May be empty if there are none.
  std::function<std::set<std::string>()> SuspectServers = {};
};

/// Decides which waiting items start now and on which servers. The items of
/// each service are chosen apart from those of all others, so that a service
/// without servers or free slots holds up no other one, and the pace and
/// lateness of the items of one service do not affect another. This class
/// performs no I/O.
class ItemStarter {
public:
  ItemStarter(const Clock &Time, const PlacementPolicy &Placement,
              const ServerDirectory &Servers, Logger &Log,
              ItemStarterCallbacks Callbacks);

  /// Starts items on free slots. \p Waiting has all waiting items of this VM in
  /// the order in which to start them.
  void startItems(const std::vector<ItemCandidate> &Waiting);

  /// Records a completed item of \p Service. See
  /// ItemSchedulingPolicy::recordCompletion().
  void recordCompletion(const std::string &Service, Duration RunTime,
                        Duration Elapsed, std::uint64_t Events) {
    this->Services[Service].Policy.recordCompletion(RunTime, Elapsed, Events);
  }

  /// Returns whether the last call of startItems() left an item waiting that
  /// could still meet its deadline.
  bool hasUrgentItems() const { return this->HasUrgentItems; }
  /// Returns the number of items in the last call of startItems().
  int waitingItemCount() const { return this->WaitingItemCount; }

private:
  /// What is known of the items of one service.
  struct ServiceState {
    ItemSchedulingPolicy Policy;
    ItemStartBudget Budget;
    /// The time at which the next line about waiting items may be logged.
    std::optional<Instant> NextWaitLog;
  };
  /// The waiting items of one service, in the order in which to start them.
  using ServiceItems = std::vector<const ItemCandidate *>;

  void startItemsOf(std::string_view Service, const ServiceItems &Items);
  /// Starts a waiting item on a server that then still has \p ReservedSlots
  /// free slots. Returns false if there is no such server.
  bool startItem(ServiceState &State, const ItemCandidate &Item,
                 int ReservedSlots);
  /// Starts as many of \p Items as possible. Returns the first item that finds
  /// no slot, or nullptr. A suspect that finds no server without another
  /// suspect holds up no other item.
  const ItemCandidate *startInOrder(ServiceState &State,
                                    const ServiceItems &Items, bool AreOnTime,
                                    int ReservedSlots);
  /// Logs why the \p Items items of \p Service wait if they have done so for a
  /// while.
  void logWait(ServiceState &State, std::string_view Service,
               std::size_t Items);

  const Clock &Time;
  const PlacementPolicy &Placement;
  const ServerDirectory &Servers;
  Logger &Log;
  ItemStarterCallbacks Callbacks;
  std::map<std::string, ServiceState, std::less<>> Services;
  /// The servers on which suspects run, up to date during startItems().
  std::set<std::string> SuspectServers;
  int WaitingItemCount = 0;
  bool HasUrgentItems = false;
};

} // namespace turmericpass

#endif
