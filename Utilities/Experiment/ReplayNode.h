#ifndef TURMERICPASS_EXPERIMENT_REPLAYNODE_H
#define TURMERICPASS_EXPERIMENT_REPLAYNODE_H

#include "BatchJobs/ItemSchedulingPolicy.h"
#include "BatchJobs/WaitingItems.h"
#include "Serving/HedgePlanner.h"
#include "Serving/LoadTracker.h"
#include "Serving/OverloadPolicy.h"
#include "Serving/PlacementPolicy.h"
#include "Serving/ServerDirectory.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// The decisions that a run of the experiment makes use of. What is switched
/// off is replaced by the simplest thing that works.
struct PolicyFlags {
  std::string_view Name;
  /// Callers that cannot be on time are told when to come back.
  bool Refuses = true;
  /// Items give way to callers.
  bool Yields = true;
  /// Nodes know what the others run.
  bool SharesLoad = true;
  /// Items that can be on time go first, and of these the farthest ones;
  /// otherwise the oldest.
  bool OrdersItems = true;
  /// Servers are chosen by their load; otherwise in turn.
  bool ChoosesByLoad = true;
  /// The share of requests that may get a copy when they are late.
  double HedgeShare = 0;
};

/// All of the product's decisions, and baselines without some of them.
const std::vector<PolicyFlags> &allPolicies();

/// Connections are free in the experiment.
class FreeChannels : public BackendChannels {
public:
  SendId send(BackendRequest, SendHandler &) override { return 0; }
  void cancel(SendId) override {}
  void setReading(SendId, bool) override {}
  std::size_t unsentBytes(SendId) const override { return 0; }
  void forget(const std::string &) override {}
  bool hasIdleConnection(const std::string &) const override { return true; }
  void setConnectionLimit(const std::string &, std::size_t) override {}
};

/// The state and the decisions of one node in the experiment.
class ReplayNode {
public:
  ReplayNode(const Clock &Time, std::string Name, std::string Zone,
             const std::vector<ServerEntry> &Servers, PolicyFlags Flags);

  /// Chooses the server of a caller's request.
  Placement placeCaller();
  /// Chooses a server with a free slot for an item, or nullptr.
  const KnownServer *placeItem();
  /// The items that may start, in order.
  std::vector<ItemKey> itemsToStart(Duration JobTarget, std::int64_t NowMillis);

  std::string Name;
  std::string Zone;
  FreeChannels Channels;
  ServerDirectory Servers;
  LoadTracker Loads;
  PlacementPolicy Policy;
  OverloadPolicy Overload;
  HedgePlanner Hedges;
  ItemSchedulingPolicy Order;
  std::map<std::string, OwnedJob> Jobs;
  std::uint64_t SentRevision = 0;

private:
  const KnownServer *nextInTurn();

  const Clock &Time;
  PolicyFlags Flags;
  std::size_t Turn = 0;
};

} // namespace turmericpass

#endif
