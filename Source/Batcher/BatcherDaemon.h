#ifndef TURMERICPASS_BATCHER_BATCHERDAEMON_H
#define TURMERICPASS_BATCHER_BATCHERDAEMON_H

#include "Admission/DispatcherChooser.h"
#include "Batcher/FeedWindow.h"
#include "Batcher/ItemCall.h"
#include "Jobs/IntentLedger.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace turmericpass {

class DecisionLog;
class EventLoop;
class FleetSource;
class Logger;
class Metrics;
class PeerPort;

/// What the batcher needs of its process. All of it outlives the batcher.
struct BatcherPorts {
  EventLoop &Loop;
  PeerPort &Peers;
  const Clock &Time;
  IdSource &Ids;
  Logger &Log;
  Metrics &Stats;
  Tracer &Spans;
  const FleetSource &Fleet;
  DecisionLog &Records;
  BatchWorker &Worker;
  IntentLedger &Intents;
  /// The zone of this node.
  std::string Zone;
};

/// Feeds the items of claimed chunks to dispatchers at batch priority and
/// gives their outcomes to the worker. Items for services that must not be
/// repeated are sent once, after their intent row is won.
class BatcherDaemon {
public:
  explicit BatcherDaemon(BatcherPorts Ports);
  ~BatcherDaemon();
  BatcherDaemon(const BatcherDaemon &) = delete;
  BatcherDaemon &operator=(const BatcherDaemon &) = delete;

  /// Starts the timers.
  void start();

  /// Takes the fleet as it is now.
  void configure();

  /// Handles a message of a dispatcher; others are ignored.
  void received(const std::string &From, const Message &Body);
  void handlePeerLoss(const std::string &Peer);

  /// Claims and starts nothing more; what runs is finished and committed.
  void drain();
  bool isIdle() const;

  /// Acts on the passage of time; the timers call it.
  void tick();
  /// Looks at the stores; the timers call it.
  void storeTick();

  std::size_t running() const { return this->Calls.size(); }

private:
  using CallMap = std::map<std::string, std::unique_ptr<ItemCall>>;

  void feed();
  void open(WorkItem Item);
  bool hasRoom(const std::string &Service);
  void begin(WorkItem Item, ItemRequest Request);
  void beginIntent(ItemCall &Call);
  void intentDecided(const std::string &Id,
                     const Result<IntentDecision> &Decision);
  void startWork(ItemCall &Call);
  LifeCycleCallbacks lifeCycleCallbacks(const Submit &Work, ItemId Item);
  void perform(ItemCall &Call);
  void performOne(ItemCall &Call, LifeCycleAction Action);
  void send(ItemCall &Call, const SendToDispatcher &Action);
  void leave(ItemCall &Call);
  void settle(ItemCall &Call, const Finish &Ending);
  void settleUnsent(ItemCall &Call);
  void close(const std::string &Id, const ItemOutcome &Outcome);
  void withdraw();
  ItemCall *find(const std::string &Id);

  BatcherPorts Ports;
  LifeCycleLimits Limits;
  DispatcherChooser Chooser;
  FeedWindow Window;
  CallMap Calls;
  std::map<ItemId, std::string> ByItem;
  /// Items read and not submitted, since their service takes none now; one
  /// for each job, whose other items wait behind it.
  std::map<std::string, WorkItem> Blocked;
  std::set<std::string> BlockedJobs;
  bool Feeding = false;
  Instant LastTick{};
  std::uint64_t TickTimer = 0;
  std::uint64_t StoreTimer = 0;
};

} // namespace turmericpass

#endif
