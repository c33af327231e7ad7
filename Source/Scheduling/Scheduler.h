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

/// Decides what each backend server of this node runs, and when. It performs
/// no I/O: events come in through its functions, and actions() gives what the
/// daemon has to do.
class Scheduler {
public:
  virtual ~Scheduler() = default;

  /// Puts \p Settings in force. \p Owned names the servers that this node
  /// owns; servers that leave the set finish what they run.
  virtual void configure(const FleetSettings &Settings,
                         const std::set<std::string> &Owned) = 0;

  /// Names the servers that get no new work because they are leaving.
  virtual void setLeavingServers(const std::set<std::string> &Servers) = 0;

  /// Adds fingerprints that other nodes found to crash servers.
  virtual void
  addQuarantinedFingerprints(const std::set<std::string> &Fingerprints) = 0;

  virtual void submit(const std::string &Peer, Submit Work) = 0;
  virtual void cancel(const std::string &Peer, const Cancel &Withdrawn) = 0;

  /// The gateway or batcher at \p Peer is gone; its work is cancelled.
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

  /// Acts on the passage of time; called at least every 5 ms while anything
  /// is queued or running.
  virtual void tick() = 0;

  /// Refuses new work from now on; what is accepted goes on.
  virtual void drain() = 0;

  /// Returns whether nothing is queued or running.
  virtual bool isIdle() const = 0;

  /// Takes the actions decided since the last call, in order.
  virtual std::vector<SchedulerAction> takeActions() = 0;
};

} // namespace turmericpass

#endif
