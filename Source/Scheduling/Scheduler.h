#ifndef TURMERICPASS_SCHEDULING_SCHEDULER_H
#define TURMERICPASS_SCHEDULING_SCHEDULER_H

#include "Core/Clock.h"
#include "Scheduling/SchedulingTypes.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace turmericpass {

struct FleetSettings;

/// Decides which requests each backend server of this node runs, and when. It
/// performs no I/O: the daemon reports events through the member functions and
/// carries out the actions that takeActions() returns.
class Scheduler {
public:
  virtual ~Scheduler() = default;

  /// Applies \p Settings. \p OwnedServers names the servers that this node
  /// owns. A server that leaves the set finishes its running requests.
  virtual void configure(const FleetSettings &Settings,
                         const std::set<std::string> &OwnedServers) = 0;

  /// Sets the servers that are leaving and therefore get no new work.
  virtual void setLeavingServers(const std::set<std::string> &Servers) = 0;

  /// Puts fingerprints in quarantine that other nodes found to crash servers.
  virtual void
  addQuarantinedFingerprints(const std::set<std::string> &Fingerprints) = 0;

  virtual void submit(const std::string &Peer, Submit Work) = 0;
  virtual void cancel(const std::string &Peer, const Cancel &Cancellation) = 0;

  /// Cancels all work of the gateway or batcher at \p Peer, which is lost.
  virtual void handlePeerLoss(const std::string &Peer) = 0;

  virtual void handleAttemptTokens(SchedulerAttemptId Id,
                                   TokenBatch Tokens) = 0;
  virtual void handleAttemptReply(SchedulerAttemptId Id,
                                  BackendReply Reply) = 0;
  virtual void handleAttemptFailure(SchedulerAttemptId Id, const Error &Reason,
                                    AttemptProgress Progress) = 0;

  virtual void handleLoadReport(const std::string &Server,
                                const LoadReport &Report) = 0;
  virtual void handleCacheEvents(const std::string &Server,
                                 const std::vector<CacheEvent> &Events) = 0;

  /// Handles deadlines and other timers. Must be called at least every 5 ms
  /// while any request is queued or running.
  virtual void tick() = 0;

  /// Refuses new work from now on. Accepted requests continue.
  virtual void drain() = 0;

  /// Returns whether no request is queued or running.
  virtual bool isIdle() const = 0;

  /// Removes and returns the actions that were decided since the last call, in
  /// order.
  virtual std::vector<SchedulerAction> takeActions() = 0;
};

} // namespace turmericpass

#endif
