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
double lostWork(const WorkItem &Item, const RunningAttempt &Attempt,
                Instant Now) {
  if (!Item.IsModel)
    return toMillis(Now - Attempt.StartTime);
  return static_cast<double>(Item.Work.PromptTokens) +
         static_cast<double>(Item.Work.ResumeTokenIds.size());
}

/// Compares the used shares of the windows. Equally loaded servers take turns,
/// so that every server yields latency samples even at low load.
bool isLessLoaded(ServerState &Left, ServerState &Right, Instant Now) {
  const std::uint64_t LeftLoad =
      std::uint64_t{Left.attemptCount()} * Right.currentRequestLimit(Now);
  const std::uint64_t RightLoad =
      std::uint64_t{Right.attemptCount()} * Left.currentRequestLimit(Now);
  if (LeftLoad != RightLoad)
    return LeftLoad < RightLoad;
  return Left.LastStartTime < Right.LastStartTime;
}

} // namespace

bool Placement::isRestricted(const WorkItem &Item) const {
  for (const ServerState *Server :
       this->Fleet.Pool.serversOf(Item.Work.Service))
    if (Server->isUsable() &&
        !this->Fleet.Suspects.mayStart(Item.SuspectKey, Server->Name))
      return true;
  return false;
}

bool Placement::isAllowed(const ServerState &Server,
                          const WorkItem &Item) const {
  const Quarantine &Suspects = this->Fleet.Suspects;
  // Different rules apply to a second copy of a running item.
  return Server.isUsable() &&
         (Item.Attempts.empty()
              ? Suspects.mayStart(Item.SuspectKey, Server.Name)
              : Suspects.mayStartCopy(Item.SuspectKey, Server.Name));
}

bool Placement::exceedsLongShare(const ServerState &Server,
                                 const WorkItem &Item,
                                 std::uint32_t ExtraAttempts) const {
  const auto Found = Server.LongAttemptsByClass.find(Item.Work.Class);
  const std::uint32_t LongAttempts =
      (Found == Server.LongAttemptsByClass.end() ? 0 : Found->second) +
      ExtraAttempts;
  const auto MaxLongAttempts =
      static_cast<std::uint32_t>(Item.LongShare * Server.Window.requestLimit());
  return LongAttempts > std::max(1U, MaxLongAttempts);
}

bool Placement::usesWholeLongShare(const WorkItem &Item) const {
  // Batch work is preempted by all online work, so its long work needs no
  // limit.
  if (!Item.isLong() || Item.IsBatch)
    return false;
  ServiceState &State = this->Fleet.service(Item.Work.Service);
  const std::uint32_t Capacity =
      this->Fleet.Pool.requestCapacity(State.Name, this->Fleet.now());
  const auto MaxLongAttempts =
      static_cast<std::uint32_t>(Item.LongShare * Capacity);
  return State.LongAttemptsByClass[Item.Work.Class] >=
         std::max(1U, MaxLongAttempts);
}

bool Placement::hasRoomFor(ServerState &Server, const WorkItem &Item,
                           Instant Now) const {
  const std::uint32_t AttemptCount = Server.attemptCount();
  if (AttemptCount >= Server.currentRequestLimit(Now))
    return false;
  if (AttemptCount != 0 &&
      Server.TokensInFlight + Item.tokenLoad() > Server.Window.tokenLimit())
    return false;
  return Item.IsBatch || !Item.isLong() ||
         !this->exceedsLongShare(Server, Item, 1);
}

bool Placement::leavesReserve(const WorkItem &Item, Instant Now) const {
  if (!Item.IsBatch)
    return true;
  ServiceState &State = this->Fleet.service(Item.Work.Service);
  const std::uint32_t IdleSlots =
      this->Fleet.Pool.slotsWithoutOnlineWork(State.Name, Now);
  return this->Fleet.Pool.freeSlots(State.Name, Now) >
         State.Reserve.reservedSlots(Now, IdleSlots);
}

ServerState *Placement::findServerToProbe(const WorkItem &Item, Instant Now) {
  // Batch work is preferred for probes. Online work is used only if no batch
  // work is queued.
  if (!Item.Repeatable || this->Fleet.Suspects.isSuspect(Item.SuspectKey) ||
      (!Item.IsBatch &&
       this->Fleet.service(Item.Work.Service).Queue.batchCount() != 0))
    return nullptr;
  for (ServerState *Server : this->Fleet.Pool.serversOf(Item.Work.Service))
    if (!Server->isHealthy() && this->isAllowed(*Server, Item) &&
        Server->Health.isProbeDue(Now) && this->hasRoomFor(*Server, Item, Now))
      return Server;
  return nullptr;
}

ServerState *Placement::findBestServer(const WorkItem &Item,
                                       const std::string &AvoidedServer,
                                       Instant Now) {
  ServerState *BestServer = nullptr;
  ServerState *PrefixHolder = nullptr;
  std::size_t LongestPrefix = 0;
  std::uint32_t TotalAttempts = 0;
  std::uint32_t UsableServers = 0;
  for (ServerState *Server : this->Fleet.Pool.serversOf(Item.Work.Service)) {
    if (!Server->isUsable() || !Server->isHealthy())
      continue;
    TotalAttempts += Server->attemptCount();
    ++UsableServers;
    if (Server->Name == AvoidedServer || !this->isAllowed(*Server, Item) ||
        !this->hasRoomFor(*Server, Item, Now))
      continue;
    if (BestServer == nullptr || isLessLoaded(*Server, *BestServer, Now))
      BestServer = Server;
    const std::size_t CachedLength = this->Fleet.Prefixes.cachedPrefixLength(
        Server->Name, Item.Work.PrefixHashes);
    if (CachedLength > LongestPrefix ||
        (CachedLength == LongestPrefix && PrefixHolder &&
         Server->attemptCount() < PrefixHolder->attemptCount())) {
      LongestPrefix = CachedLength;
      PrefixHolder = Server;
    }
  }
  if (PrefixHolder != nullptr && LongestPrefix > 0 &&
      PrefixHolder->attemptCount() <=
          PrefixLoadBound * TotalAttempts / UsableServers)
    return PrefixHolder;
  return BestServer;
}

ServerState *Placement::chooseServer(const WorkItem &Item) {
  const Instant Now = this->Fleet.now();
  if (!this->leavesReserve(Item, Now))
    return nullptr;
  if (ServerState *ProbedServer = this->findServerToProbe(Item, Now))
    return ProbedServer;
  if (ServerState *Found = this->findBestServer(Item, Item.AvoidedServer, Now))
    return Found;
  if (Item.AvoidedServer.empty() || this->mustAvoidLastServer(Item))
    return nullptr;
  return this->findBestServer(Item, "", Now);
}

bool Placement::mustAvoidLastServer(const WorkItem &Item) const {
  if (!this->Fleet.Suspects.isSuspect(Item.SuspectKey))
    return false;
  // A second loss of the same server would not show whether the request or the
  // server is the cause.
  for (const ServerState *Server :
       this->Fleet.Pool.serversOf(Item.Work.Service))
    if (Server->Name != Item.AvoidedServer && Server->isUsable() &&
        Server->isHealthy())
      return true;
  return false;
}

ServerState *Placement::chooseServerForCopy(const WorkItem &Item,
                                            const std::string &UsedServer) {
  return this->findBestServer(Item, UsedServer, this->Fleet.now());
}

std::optional<SchedulerAttemptId>
Placement::chooseAttemptToPreempt(const WorkItem &Item,
                                  const std::string &ExcludedServer) {
  const Instant Now = this->Fleet.now();
  std::optional<SchedulerAttemptId> Chosen;
  double LeastLostWork = 0;
  bool ChosenIsBatch = false;
  for (ServerState *Server : this->Fleet.Pool.serversOf(Item.Work.Service)) {
    if (Server->Name == ExcludedServer || !Server->isHealthy() ||
        !this->isAllowed(*Server, Item) ||
        Server->attemptCount() > Server->currentRequestLimit(Now) ||
        (Item.isLong() && this->exceedsLongShare(*Server, Item, 1)))
      continue;
    for (const SchedulerAttemptId Id : Server->Attempts) {
      const RunningAttempt &Attempt = this->Fleet.Attempts.at(Id);
      const WorkItem &Other = this->Fleet.Items.at(Attempt.Item);
      const bool MayPreempt =
          Other.IsBatch || (!Item.isLong() && Other.IsModel && Attempt.IsLong &&
                            this->exceedsLongShare(*Server, Other, 0));
      if (!MayPreempt || !Other.Repeatable)
        continue;
      const double LostWork = lostWork(Other, Attempt, Now);
      if (Chosen &&
          (ChosenIsBatch > Other.IsBatch ||
           (ChosenIsBatch == Other.IsBatch && LostWork >= LeastLostWork)))
        continue;
      Chosen = Id;
      LeastLostWork = LostWork;
      ChosenIsBatch = Other.IsBatch;
    }
  }
  return Chosen;
}

} // namespace turmericpass
