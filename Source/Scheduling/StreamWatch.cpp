#include "Scheduling/StreamWatch.h"

#include "Scheduling/FleetState.h"
#include "Scheduling/WorkAssigner.h"

#include <algorithm>

namespace turmericpass {

namespace {

// Shorter than an engine step, so that a stall is detected in the next step.
// With 640 slots this checks 64,000 attempts per second.
constexpr std::chrono::milliseconds Interval{10};
constexpr std::uint32_t MostMoves = 4;
// A server that takes this many times the 95th percentile of its peers is
// considered stuck.
constexpr int HopelessFactor = 8;
// Attempts are moved after this time from a lost server whose other connections
// hang instead of failing.
constexpr std::chrono::milliseconds DownGrace{1000};

} // namespace

bool StreamWatch::run() {
  const Instant Now = this->Fleet.now();
  if (Now - this->LastRun < Interval)
    return false;
  this->LastRun = Now;
  for (const auto &[Name, Entry] : this->Fleet.Settings.Services)
    this->watchService(Name);
  return true;
}

void StreamWatch::watchService(const std::string &Service) {
  ServiceState &State = this->Fleet.service(Service);
  State.Latency.refresh(this->Fleet.now());
  for (ServerState *Server : this->Fleet.Pool.of(Service)) {
    this->judge(State, *Server);
    const std::vector<SchedulerAttemptId> Attempts = Server->Attempts;
    for (const SchedulerAttemptId Id : Attempts)
      if (RunningAttempt *Run = this->Fleet.findAttempt(Id))
        this->watchAttempt(State, *Server, *Run);
  }
}

bool StreamWatch::maySlow(const ServiceState &State) {
  std::uint32_t Usable = 0;
  std::uint32_t Unfit = 0;
  for (const ServerState *Server : this->Fleet.Pool.of(State.Name)) {
    if (!Server->isUsable())
      continue;
    ++Usable;
    Unfit += Server->isFit() ? 0 : 1;
  }
  // If most servers are slow, the cause is the load and not a single server.
  return 2 * (Unfit + 1) <= Usable;
}

void StreamWatch::judge(ServiceState &State, ServerState &Server) {
  const Instant Now = this->Fleet.now();
  if (!Server.isFit())
    return;
  Duration Silence{0};
  Duration FirstSilence{0};
  if (State.IsModel && !Server.Attempts.empty()) {
    bool Decodes = false;
    Instant Oldest = Now;
    for (const SchedulerAttemptId Id : Server.Attempts) {
      const RunningAttempt &Run = this->Fleet.Attempts.at(Id);
      Decodes = Decodes || Run.Received != 0;
      Oldest = std::min(Oldest, Run.Started);
    }
    if (Decodes)
      Silence = Now - Server.LastToken;
    // A single silent request may have a long prompt, but several of them
    // indicate a slow server.
    else if (Server.running() > 1)
      FirstSilence = Now - std::max(Oldest, Server.LastToken);
  }
  if (!State.Latency.isSlow(Server.Name, Silence, FirstSilence) ||
      !this->maySlow(State))
    return;
  Server.Health.markSlow(Now);
  this->Fleet.record("", Server.Name, "marked_slow",
                     "Its times are several times those of its peers.");
}

void StreamWatch::watchAttempt(ServiceState &State, ServerState &Server,
                               RunningAttempt &Run) {
  WorkItem &Item = this->Fleet.Items.at(Run.Item);
  const Instant Now = this->Fleet.now();
  if (!Item.IsModel && Item.Level < SizeEstimator::LastLevel &&
      toMillis(Now - Run.Started) > Item.LevelBound) {
    ++Item.Level;
    Item.LevelBound = State.Sizes.bound(Item.IsBatch, Item.Level);
    this->Fleet.countLong(Run, Item);
  }
  if (!Item.Repeatable)
    return;
  if (Item.Attempts.size() > 1) {
    // If both copies are stuck, the remaining one can be moved.
    if (!Server.isFit() && this->isHopeless(State, Run))
      this->Fleet.cancelAttempt(Run.Id);
    return;
  }
  const std::string Reason = this->reasonToMove(State, Server, Run, Item);
  if (!Reason.empty())
    this->move(State, Run, Item, Reason);
  else
    this->considerCopy(State, Run, Item);
}

std::string StreamWatch::reasonToMove(ServiceState &State, ServerState &Server,
                                      const RunningAttempt &Run,
                                      const WorkItem &Item) {
  const Duration Open = this->Fleet.now() - Run.LastToken;
  if (Server.Health.state() == HealthState::Down &&
      Run.Started <= Server.Health.since())
    return Open > DownGrace ? "The server is lost." : "";
  // A stream can be resumed cheaply from its tokens, but a plain call starts
  // again from the beginning.
  if (!Item.IsModel || Item.Moves >= MostMoves)
    return "";
  if (Run.Received != 0 && Open > State.Latency.stallLimit())
    return "The stream stalled.";
  if (Run.Received == 0 && this->isHopeless(State, Run))
    return "The server does not begin to answer.";
  // Batch streams are not moved, because they show when the server recovers.
  if (Server.isFit() || Item.IsBatch)
    return "";
  const bool IsGood = Run.Received == 0
                          ? State.Latency.isGoodFirst(
                                State.Prompts.normalise(Run.PromptTokens, Open))
                          : State.Latency.isGoodGap(Open);
  return Run.IsProbe && IsGood ? "" : "The server is slow.";
}

bool StreamWatch::isHopeless(const ServiceState &State,
                             const RunningAttempt &Run) const {
  const auto Delay = State.Latency.hedgeDelay();
  return Delay && State.Prompts.normalise(Run.PromptTokens,
                                          this->Fleet.now() - Run.Started) >
                      HopelessFactor * *Delay;
}

void StreamWatch::move(ServiceState &State, RunningAttempt &Run, WorkItem &Item,
                       const std::string &Reason) {
  if (!this->Work.hasOther(Item, Run.Server))
    return;
  // Without tokens the work of the server is lost, so the move counts as a
  // copy, unless the server has done hardly any work.
  if (Run.Received == 0 && !Run.IsProbe && !this->isHopeless(State, Run) &&
      !State.Hedges.take(this->Fleet.now()))
    return;
  this->Fleet.record(Item.Work.RequestId, Run.Server, "moved", Reason);
  ++Item.Moves;
  Item.Avoid = Run.Server;
  this->Fleet.cancelAttempt(Run.Id);
  this->Fleet.enqueue(Item);
}

void StreamWatch::considerCopy(ServiceState &State, const RunningAttempt &Run,
                               WorkItem &Item) {
  const Instant Now = this->Fleet.now();
  if (Item.IsBatch || !Item.MayHedge || Run.Received != 0 ||
      this->Fleet.Suspects.isSuspect(Item.SuspectKey) ||
      (Item.IsModel && !State.Prompts.knows(Run.PromptTokens)) ||
      !State.Hedges.isDue(
          State.Prompts.normalise(Run.PromptTokens, Now - Run.Started),
          State.Latency.hedgeDelay(), Now))
    return;
  const std::string Used = Run.Server;
  if (!this->Work.startCopy(Item, Used))
    return;
  State.Hedges.take(Now);
  this->Fleet.record(Item.Work.RequestId, Used, "hedged",
                     "No answer came for longer than at 95% of the peers.");
}

} // namespace turmericpass
