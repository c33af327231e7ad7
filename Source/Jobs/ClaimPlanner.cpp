#include "Jobs/ClaimPlanner.h"

#include <algorithm>

namespace turmericpass {

namespace {

struct ChunkSummary {
  std::uint32_t Completed = 0;
  std::uint32_t Failed = 0;
  bool HasClaims = false;
  bool HasForeignClaims = false;
  /// Claimed chunks whose holder no longer works on them.
  std::vector<ChunkEntry> Abandoned;
  /// Chunks that were released.
  std::vector<ChunkEntry> Released;
  std::set<std::string> Names;
};

ChunkSummary summarizeChunks(const JobSnapshot &Snapshot,
                             const ClaimContext &Context) {
  ChunkSummary Summary;
  for (const ChunkEntry &Chunk : Snapshot.Chunks) {
    Summary.Names.insert(Chunk.Name);
    Summary.Completed += Chunk.Row.Completed;
    Summary.Failed += Chunk.Row.Failed;
    if (Chunk.Row.State == ChunkState::Open)
      Summary.Released.push_back(Chunk);
    if (Chunk.Row.State != ChunkState::Claimed)
      continue;
    Summary.HasClaims = true;
    const bool IsOwn = Chunk.Row.Holder == Context.Batcher;
    // If this batcher does not hold a chunk that is claimed under its name, the
    // reply to that claim was lost.
    if (IsOwn ? !Context.IsHeld(Snapshot.Job.Record.Id, Chunk.Name)
              : Context.HasLapsed(Chunk.Row.Holder))
      Summary.Abandoned.push_back(Chunk);
    Summary.HasForeignClaims = Summary.HasForeignClaims || !IsOwn;
  }
  return Summary;
}

/// The maximum number of chunks that one transaction claims.
constexpr std::size_t MaxClaims = 4;

std::size_t countChunksToClaim(std::size_t Items, const JobRow &Job) {
  if (Items == 0)
    return 0;
  const std::size_t PerChunk =
      std::max(Job.Record.TotalItems / std::max(Job.Pieces, 1U), 1U);
  return std::clamp(Items / PerChunk, std::size_t{1}, MaxClaims);
}

JobPlan planFinalization(const JobSnapshot &Snapshot,
                         const ChunkSummary &Summary, bool AllDone) {
  JobPlan Plan;
  Plan.Step = JobStep::Finalize;
  Plan.Job = Snapshot.Job;
  JobRecord &Job = Plan.Job.Record;
  Job.CompletedItems = Summary.Completed;
  Job.FailedItems = Summary.Failed;
  if (Job.State == JobState::Cancelling)
    Job.State = JobState::Cancelled;
  else
    Job.State = AllDone ? JobState::Completed : JobState::Expired;
  return Plan;
}

JobPlan planReopening(const ChunkSummary &Summary) {
  JobPlan Plan;
  Plan.ForeignClaims = Summary.HasForeignClaims;
  for (const ChunkEntry &Chunk : Summary.Abandoned) {
    ChunkRow Row = Chunk.Row;
    Row.State = ChunkState::Open;
    ++Row.Epoch;
    Row.Holder.clear();
    Plan.Changes.push_back(
        {Chunk.Name, Chunk.Version, std::move(Row), Chunk.Row.Holder});
  }
  if (!Plan.Changes.empty())
    Plan.Step = JobStep::Reopen;
  return Plan;
}

} // namespace

ChunkChange ClaimPlanner::planClaim(const ChunkEntry &Chunk,
                                    const ClaimContext &Context) const {
  const bool Takeover = Chunk.Row.State == ChunkState::Claimed;
  ChunkChange Change{Chunk.Name, Chunk.Version, Chunk.Row,
                     Takeover ? Chunk.Row.Holder : std::string()};
  Change.Row.State = ChunkState::Claimed;
  Change.Row.Holder = Context.Batcher;
  if (!Takeover || this->Rules.raisesEpoch())
    ++Change.Row.Epoch;
  return Change;
}

JobPlan ClaimPlanner::plan(const JobSnapshot &Snapshot,
                           const ClaimContext &Context) const {
  const JobRecord &Job = Snapshot.Job.Record;
  if (Snapshot.Job.isFinal())
    return {};
  const ChunkSummary Summary = summarizeChunks(Snapshot, Context);
  const bool AllDone = Summary.Completed + Summary.Failed >= Job.TotalItems;
  if (Snapshot.Job.isStopping() && !Summary.HasClaims)
    return planFinalization(Snapshot, Summary, AllDone);
  if (AllDone)
    return planFinalization(Snapshot, Summary, true);
  if (Snapshot.Job.isStopping())
    return planReopening(Summary);
  JobPlan Plan;
  if (Context.WallMs >= Job.DueMs) {
    Plan.Step = JobStep::Expire;
    Plan.Job = Snapshot.Job;
    Plan.Job.Expiring = true;
    return Plan;
  }
  Plan.ForeignClaims = Summary.HasForeignClaims;
  std::vector<ChunkEntry> Open = Summary.Abandoned;
  Open.insert(Open.end(), Summary.Released.begin(), Summary.Released.end());
  for (std::uint32_t Piece = 0; Piece < Snapshot.Job.Pieces; ++Piece) {
    const std::string Name = chunkName(Piece);
    if (Summary.Names.contains(Name))
      continue;
    ChunkRow Row;
    Row.Piece = Piece;
    Open.push_back({Name, 0, Row});
  }
  const std::size_t Count =
      std::min(countChunksToClaim(Context.Items, Snapshot.Job), Open.size());
  for (std::size_t I = 0; I < Count; ++I)
    Plan.Changes.push_back(
        this->planClaim(Open[(Context.Random + I) % Open.size()], Context));
  if (!Plan.Changes.empty())
    Plan.Step = JobStep::Claim;
  return Plan;
}

} // namespace turmericpass
