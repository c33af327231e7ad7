#ifndef TURMERICPASS_UTILITIES_LOAD_BASELINESCHEDULER_H
#define TURMERICPASS_UTILITIES_LOAD_BASELINESCHEDULER_H

#include "Scheduling/Scheduler.h"
#include "Settings/FleetSettings.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// The simple policies that the benchmarks compare with.
enum class BaselinePolicy {
  /// Sends each request at once to the next server in turn.
  RoundRobin,
  /// Sends each request at once to the server with the fewest outstanding.
  LeastOutstanding,
  /// Keeps one queue in order of arrival and fills free slots.
  FirstComeFirstServed,
  /// As FirstComeFirstServed, but with fixed shares of slots for online and
  /// batch work.
  StaticPartition,
};

/// Returns "round_robin", "least_outstanding", "fcfs" or "static_partition".
std::string_view toName(BaselinePolicy Policy);

/// Finds a policy by its name; false if there is none.
bool fromName(std::string_view Name, BaselinePolicy &Policy);

/// A scheduler without priorities, hedges, retries or detection of slow
/// servers; only for comparison.
class BaselineScheduler : public Scheduler {
public:
  explicit BaselineScheduler(BaselinePolicy Policy) : Policy(Policy) {}

  void configure(const FleetSettings &Settings,
                 const std::set<std::string> &Owned) override;
  void setLeavingServers(const std::set<std::string> &) override {}
  void addQuarantinedFingerprints(const std::set<std::string> &) override {}
  void submit(const std::string &Peer, Submit Work) override;
  void cancel(const std::string &Peer, const Cancel &Withdrawn) override;
  void handlePeerLoss(const std::string &Peer) override;
  void handleAttemptTokens(SchedulerAttemptId Id, TokenBatch Tokens) override;
  void handleAttemptReply(SchedulerAttemptId Id, BackendReply Reply) override;
  void handleAttemptFailure(SchedulerAttemptId Id, const Error &Reason,
                            AttemptProgress Progress) override;
  void handleLoadReport(const std::string &, const LoadReport &) override {}
  void handleCacheEvents(const std::string &,
                         const std::vector<CacheEvent> &) override {}
  void tick() override {}
  void drain() override {}
  bool isIdle() const override {
    return this->Running.empty() && this->Queue.empty();
  }
  std::vector<SchedulerAction> takeActions() override;

private:
  struct Item {
    std::string Peer;
    Submit Work;
    std::string Server;
    std::uint64_t Offset = 0;
  };
  struct ServerState {
    std::string Service;
    std::uint32_t Slots = 0;
    std::uint32_t Online = 0;
    std::uint32_t Batch = 0;
  };

  bool isBatch(const Submit &Work) const;
  bool hasRoom(const ServerState &Server, bool Batch) const;
  std::string pick(const Submit &Work);
  bool start(Item &Next);
  void startQueued();
  void finish(SchedulerAttemptId Id, Finish Ended);

  BaselinePolicy Policy;
  FleetSettings Settings;
  std::map<std::string, ServerState> Servers;
  std::map<SchedulerAttemptId, Item> Running;
  std::deque<Item> Queue;
  std::vector<SchedulerAction> Actions;
  SchedulerAttemptId NextId = 1;
  std::size_t Turn = 0;
};

} // namespace turmericpass

#endif
