#include "Scheduling/Placement.h"

#include "Scheduling/FleetState.h"

#include <algorithm>

namespace turmericpass {

namespace {

// A server that has cached the prefix of the prompt is preferred while its load
// is at most this many times the mean.
constexpr double PrefixLoadBound = 1.25;

/// Returns the work that is lost if the attempt ends now. For models, the
/// prompt and the tokens so far have to be processed again; a plain call starts
/// again from the beginning.
double workLost(const WorkItem &Item, const RunningAttempt &Run, Instant Now) {
  if (!Item.IsModel)
    return toMillis(Now - Run.Started);
  return static_cast<double>(Item.Work.PromptTokens) +
         static_cast<double>(Item.Work.ResumeTokenIds.size());
}

/// Compares the used shares of the windows. Equally loaded servers take turns,
/// so that every server yields latency samples even at low load.
bool isLessLoaded(ServerState &Left, ServerState &Right, Instant Now) {
  const std::uint64_t LeftLoad =
      std::uint64_t{Left.running()} * Right.limit(Now);
  const std::uint64_t RightLoad =
      std::uint64_t{Right.running()} * Left.limit(Now);
  if (LeftLoad != RightLoad)
    return LeftLoad < RightLoad;
  return Left.LastStart < Right.LastStart;
}

} // namespace

bool Placement::isRestricted(const WorkItem &Item) const {
  for (const ServerState *Server : this->Fleet.Pool.of(Item.Work.Service))
    if (Server->isUsable() &&
        !this->Fleet.Suspects.mayStart(Item.SuspectKey, Server->Name))
      return true;
  return false;
}

bool Placement::isAllowed(const ServerState &Server,
                          const WorkItem &Item) const {
  const Quarantine &Rules = this->Fleet.Suspects;
  // Different rules apply to a second copy of a running item.
  return Server.isUsable() &&
         (Item.Attempts.empty() ? Rules.mayStart(Item.SuspectKey, Server.Name)
                                : Rules.mayCopy(Item.SuspectKey, Server.Name));
}

bool Placement::isAboveShare(const ServerState &Server, const WorkItem &Item,
                             std::uint32_t Extra) const {
  const auto Held = Server.LongByClass.find(Item.Work.Class);
  const std::uint32_t Long =
      (Held == Server.LongByClass.end() ? 0 : Held->second) + Extra;
  const auto Share =
      static_cast<std::uint32_t>(Item.LongShare * Server.Window.requests());
  return Long > std::max(1U, Share);
}

bool Placement::holdsItsShare(const WorkItem &Item) const {
  // Batch work is preempted by all online work, so its long work needs no
  // limit.
  if (!Item.isLong() || Item.IsBatch)
    return false;
  ServiceState &State = this->Fleet.service(Item.Work.Service);
  const std::uint32_t Capacity =
      this->Fleet.Pool.capacity(State.Name, this->Fleet.now());
  const auto Share = static_cast<std::uint32_t>(Item.LongShare * Capacity);
  return State.LongByClass[Item.Work.Class] >= std::max(1U, Share);
}

bool Placement::fits(ServerState &Server, const WorkItem &Item,
                     Instant Now) const {
  const std::uint32_t Running = Server.running();
  if (Running >= Server.limit(Now))
    return false;
  if (Running != 0 &&
      Server.TokensInFlight + Item.tokenLoad() > Server.Window.tokens())
    return false;
  return Item.IsBatch || !Item.isLong() || !this->isAboveShare(Server, Item, 1);
}

bool Placement::leavesReserve(const WorkItem &Item, Instant Now) const {
  if (!Item.IsBatch)
    return true;
  ServiceState &State = this->Fleet.service(Item.Work.Service);
  const std::uint32_t Idle = this->Fleet.Pool.freeOfOnline(State.Name, Now);
  return this->Fleet.Pool.freeSlots(State.Name, Now) >
         State.Reserve.slots(Now, Idle);
}

ServerState *Placement::probe(const WorkItem &Item, Instant Now) {
  // Batch work is preferred for probes. Online work is used only if no batch
  // work is queued.
  if (!Item.Repeatable || this->Fleet.Suspects.isSuspect(Item.SuspectKey) ||
      (!Item.IsBatch &&
       this->Fleet.service(Item.Work.Service).Queue.batch() != 0))
    return nullptr;
  for (ServerState *Server : this->Fleet.Pool.of(Item.Work.Service))
    if (!Server->isFit() && this->isAllowed(*Server, Item) &&
        Server->Health.probeDue(Now) && this->fits(*Server, Item, Now))
      return Server;
  return nullptr;
}

ServerState *Placement::best(const WorkItem &Item, const std::string &Avoid,
                             Instant Now) {
  ServerState *Best = nullptr;
  ServerState *Holder = nullptr;
  std::size_t Depth = 0;
  std::uint32_t Sum = 0;
  std::uint32_t Usable = 0;
  for (ServerState *Server : this->Fleet.Pool.of(Item.Work.Service)) {
    if (!Server->isUsable() || !Server->isFit())
      continue;
    Sum += Server->running();
    ++Usable;
    if (Server->Name == Avoid || !this->isAllowed(*Server, Item) ||
        !this->fits(*Server, Item, Now))
      continue;
    if (Best == nullptr || isLessLoaded(*Server, *Best, Now))
      Best = Server;
    const std::size_t Held =
        this->Fleet.Prefixes.depth(Server->Name, Item.Work.PrefixHashes);
    if (Held > Depth ||
        (Held == Depth && Holder && Server->running() < Holder->running())) {
      Depth = Held;
      Holder = Server;
    }
  }
  if (Holder != nullptr && Depth > 0 &&
      Holder->running() <= PrefixLoadBound * Sum / Usable)
    return Holder;
  return Best;
}

ServerState *Placement::choose(const WorkItem &Item) {
  const Instant Now = this->Fleet.now();
  if (!this->leavesReserve(Item, Now))
    return nullptr;
  if (ServerState *Probed = this->probe(Item, Now))
    return Probed;
  if (ServerState *Found = this->best(Item, Item.Avoid, Now))
    return Found;
  if (Item.Avoid.empty() || this->mustMove(Item))
    return nullptr;
  return this->best(Item, "", Now);
}

bool Placement::mustMove(const WorkItem &Item) const {
  if (!this->Fleet.Suspects.isSuspect(Item.SuspectKey))
    return false;
  // A second loss of the same server would not show whether the request or the
  // server is the cause.
  for (const ServerState *Server : this->Fleet.Pool.of(Item.Work.Service))
    if (Server->Name != Item.Avoid && Server->isUsable() && Server->isFit())
      return true;
  return false;
}

ServerState *Placement::chooseOther(const WorkItem &Item,
                                    const std::string &Used) {
  return this->best(Item, Used, this->Fleet.now());
}

std::optional<SchedulerAttemptId>
Placement::victimFor(const WorkItem &Item, const std::string &Except) {
  const Instant Now = this->Fleet.now();
  std::optional<SchedulerAttemptId> Victim;
  double Least = 0;
  bool VictimIsBatch = false;
  for (ServerState *Server : this->Fleet.Pool.of(Item.Work.Service)) {
    if (Server->Name == Except || !Server->isFit() ||
        !this->isAllowed(*Server, Item) ||
        Server->running() > Server->limit(Now) ||
        (Item.isLong() && this->isAboveShare(*Server, Item, 1)))
      continue;
    for (const SchedulerAttemptId Id : Server->Attempts) {
      const RunningAttempt &Run = this->Fleet.Attempts.at(Id);
      const WorkItem &Other = this->Fleet.Items.at(Run.Item);
      const bool Yields =
          Other.IsBatch || (!Item.isLong() && Other.IsModel && Run.IsLong &&
                            this->isAboveShare(*Server, Other, 0));
      if (!Yields || !Other.Repeatable)
        continue;
      const double Lost = workLost(Other, Run, Now);
      if (Victim && (VictimIsBatch > Other.IsBatch ||
                     (VictimIsBatch == Other.IsBatch && Lost >= Least)))
        continue;
      Victim = Id;
      Least = Lost;
      VictimIsBatch = Other.IsBatch;
    }
  }
  return Victim;
}

} // namespace turmericpass
