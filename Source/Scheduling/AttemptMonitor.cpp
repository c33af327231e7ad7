#include "Scheduling/AttemptMonitor.h"

#include "Scheduling/FleetState.h"
#include "Scheduling/WorkAssigner.h"

#include <algorithm>

namespace turmericpass {

namespace {

// Shorter than an engine step, so that a stall is detected in the next step.
// With 640 slots this checks 64,000 attempts per second.
constexpr std::chrono::milliseconds CheckInterval{10};
constexpr std::uint32_t MaxMoves = 4;
// A server that takes this many times the 95th percentile of its peers is
// considered stuck.
constexpr int StuckFactor = 8;
// An attempt on a lost server is moved after this long without a token, because
// its connection may hang instead of failing.
constexpr std::chrono::milliseconds DownGracePeriod{1000};

} // namespace

bool AttemptMonitor::checkIfDue() {
  const Instant Now = this->Fleet.now();
  if (Now - this->LastCheckTime < CheckInterval)
    return false;
  this->LastCheckTime = Now;
  for (const auto &[Name, Entry] : this->Fleet.Settings.Services)
    this->checkService(Name);
  return true;
}

void AttemptMonitor::checkService(const std::string &Service) {
  ServiceState &State = this->Fleet.service(Service);
  State.Latency.refreshStatistics(this->Fleet.now());
  for (ServerState *Server : this->Fleet.Pool.serversOf(Service)) {
    this->checkServer(State, *Server);
    const std::vector<SchedulerAttemptId> Attempts = Server->Attempts;
    for (const SchedulerAttemptId Id : Attempts)
      if (RunningAttempt *Attempt = this->Fleet.findAttempt(Id))
        this->checkAttempt(State, *Server, *Attempt);
  }
}

bool AttemptMonitor::mayMarkSlow(const ServiceState &State) {
  std::uint32_t UsableServers = 0;
  std::uint32_t UnhealthyServers = 0;
  for (const ServerState *Server : this->Fleet.Pool.serversOf(State.Name)) {
    if (!Server->isUsable())
      continue;
    ++UsableServers;
    UnhealthyServers += Server->isHealthy() ? 0 : 1;
  }
  // If most servers are slow, the cause is the load and not a single server.
  return 2 * (UnhealthyServers + 1) <= UsableServers;
}

void AttemptMonitor::checkServer(ServiceState &State, ServerState &Server) {
  const Instant Now = this->Fleet.now();
  if (!Server.isHealthy())
    return;
  Duration Silence{0};
  Duration FirstSilence{0};
  if (State.IsModel && !Server.Attempts.empty()) {
    bool IsDecoding = false;
    Instant OldestStart = Now;
    for (const SchedulerAttemptId Id : Server.Attempts) {
      const RunningAttempt &Attempt = this->Fleet.Attempts.at(Id);
      IsDecoding = IsDecoding || Attempt.ReceivedTokens != 0;
      OldestStart = std::min(OldestStart, Attempt.StartTime);
    }
    if (IsDecoding)
      Silence = Now - Server.LastTokenTime;
    // A single silent request may have a long prompt, but several of them
    // indicate a slow server.
    else if (Server.attemptCount() > 1)
      FirstSilence = Now - std::max(OldestStart, Server.LastTokenTime);
  }
  if (!State.Latency.isSlow(Server.Name, Silence, FirstSilence) ||
      !this->mayMarkSlow(State))
    return;
  Server.Health.markSlow(Now);
  this->Fleet.recordDecision("", Server.Name, "marked_slow",
                             "Its times are several times those of its peers.");
}

void AttemptMonitor::checkAttempt(ServiceState &State, ServerState &Server,
                                  RunningAttempt &Attempt) {
  WorkItem &Item = this->Fleet.Items.at(Attempt.Item);
  const Instant Now = this->Fleet.now();
  if (!Item.IsModel && Item.Level < SizeEstimator::MaxLevel &&
      toMillis(Now - Attempt.StartTime) > Item.LevelBound) {
    ++Item.Level;
    Item.LevelBound = State.Sizes.levelBound(Item.IsBatch, Item.Level);
    this->Fleet.countAsLong(Attempt, Item);
  }
  if (!Item.Repeatable)
    return;
  if (Item.Attempts.size() > 1) {
    // If both copies are stuck, the remaining one can be moved.
    if (!Server.isHealthy() && this->isStuck(State, Attempt))
      this->Fleet.cancelAttempt(Attempt.Id);
    return;
  }
  const std::string Reason = this->reasonToMove(State, Server, Attempt, Item);
  if (!Reason.empty())
    this->moveItem(State, Attempt, Item, Reason);
  else
    this->hedgeIfDue(State, Attempt, Item);
}

std::string AttemptMonitor::reasonToMove(ServiceState &State,
                                         ServerState &Server,
                                         const RunningAttempt &Attempt,
                                         const WorkItem &Item) {
  const Duration SilentTime = this->Fleet.now() - Attempt.LastTokenTime;
  if (Server.Health.state() == HealthState::Down &&
      Attempt.StartTime <= Server.Health.stateSince())
    return SilentTime > DownGracePeriod ? "The server is lost." : "";
  // A stream can be resumed cheaply from its tokens, but a plain call starts
  // again from the beginning.
  if (!Item.IsModel || Item.MoveCount >= MaxMoves)
    return "";
  if (Attempt.ReceivedTokens != 0 &&
      SilentTime > State.Latency.stallThreshold())
    return "The stream stalled.";
  if (Attempt.ReceivedTokens == 0 && this->isStuck(State, Attempt))
    return "The server does not begin to answer.";
  // Batch streams are not moved, because they show when the server recovers.
  if (Server.isHealthy() || Item.IsBatch)
    return "";
  const bool IsGood =
      Attempt.ReceivedTokens == 0
          ? State.Latency.isNormalFirstToken(
                State.PromptTimes.normalise(Attempt.PromptTokens, SilentTime))
          : State.Latency.isNormalGap(SilentTime);
  return Attempt.IsProbe && IsGood ? "" : "The server is slow.";
}

bool AttemptMonitor::isStuck(const ServiceState &State,
                             const RunningAttempt &Attempt) const {
  const auto Delay = State.Latency.hedgeDelay();
  return Delay &&
         State.PromptTimes.normalise(Attempt.PromptTokens,
                                     this->Fleet.now() - Attempt.StartTime) >
             StuckFactor * *Delay;
}

void AttemptMonitor::moveItem(ServiceState &State, RunningAttempt &Attempt,
                              WorkItem &Item, const std::string &Reason) {
  if (!this->Assigner.hasOtherServer(Item, Attempt.Server))
    return;
  // Without tokens the work of the server is lost, so the move counts as a
  // copy, unless the server has done hardly any work.
  if (Attempt.ReceivedTokens == 0 && !Attempt.IsProbe &&
      !this->isStuck(State, Attempt) &&
      !State.Hedges.tryTake(this->Fleet.now()))
    return;
  this->Fleet.recordDecision(Item.Work.RequestId, Attempt.Server, "moved",
                             Reason);
  ++Item.MoveCount;
  Item.AvoidedServer = Attempt.Server;
  this->Fleet.cancelAttempt(Attempt.Id);
  this->Fleet.enqueue(Item);
}

void AttemptMonitor::hedgeIfDue(ServiceState &State,
                                const RunningAttempt &Attempt, WorkItem &Item) {
  const Instant Now = this->Fleet.now();
  if (Item.IsBatch || !Item.MayHedge || Attempt.ReceivedTokens != 0 ||
      this->Fleet.Suspects.isSuspect(Item.SuspectKey) ||
      (Item.IsModel &&
       !State.PromptTimes.hasEnoughSamples(Attempt.PromptTokens)) ||
      !State.Hedges.isDue(State.PromptTimes.normalise(Attempt.PromptTokens,
                                                      Now - Attempt.StartTime),
                          State.Latency.hedgeDelay(), Now))
    return;
  const std::string UsedServer = Attempt.Server;
  if (!this->Assigner.startCopy(Item, UsedServer))
    return;
  State.Hedges.tryTake(Now);
  this->Fleet.recordDecision(
      Item.Work.RequestId, UsedServer, "hedged",
      "No answer came for longer than at 95% of the peers.");
}

} // namespace turmericpass
