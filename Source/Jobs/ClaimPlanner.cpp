#include "Jobs/ClaimPlanner.h"

#include <algorithm>

namespace turmericpass {

namespace {

struct ChunkSummary {
  std::uint32_t Completed = 0;
  std::uint32_t Failed = 0;
  bool AnyClaimed = false;
  bool Foreign = false;
  /// Claimed chunks whose holder no longer works on them.
  std::vector<ChunkEntry> Abandoned;
  /// Chunks that were released.
  std::vector<ChunkEntry> Returned;
  std::set<std::string> Names;
};

ChunkSummary count(const JobView &View, const ClaimContext &Context) {
  ChunkSummary Sum;
  for (const ChunkEntry &Chunk : View.Chunks) {
    Sum.Names.insert(Chunk.Name);
    Sum.Completed += Chunk.Row.Completed;
    Sum.Failed += Chunk.Row.Failed;
    if (Chunk.Row.State == ChunkState::Open)
      Sum.Returned.push_back(Chunk);
    if (Chunk.Row.State != ChunkState::Claimed)
      continue;
    Sum.AnyClaimed = true;
    const bool Own = Chunk.Row.Holder == Context.Batcher;
    // If this batcher does not hold a chunk that is claimed under its name, the
    // reply to that claim was lost.
    if (Own ? !Context.Held(View.Job.Record.Id, Chunk.Name)
            : Context.Lapsed(Chunk.Row.Holder))
      Sum.Abandoned.push_back(Chunk);
    Sum.Foreign = Sum.Foreign || !Own;
  }
  return Sum;
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

JobPlan finalize(const JobView &View, const ChunkSummary &Sum, bool AllDone) {
  JobPlan Plan;
  Plan.Step = JobStep::Finalize;
  Plan.Job = View.Job;
  JobRecord &Job = Plan.Job.Record;
  Job.CompletedItems = Sum.Completed;
  Job.FailedItems = Sum.Failed;
  if (Job.State == JobState::Cancelling)
    Job.State = JobState::Cancelled;
  else
    Job.State = AllDone ? JobState::Completed : JobState::Expired;
  return Plan;
}

JobPlan reopen(const ChunkSummary &Sum) {
  JobPlan Plan;
  Plan.ForeignClaims = Sum.Foreign;
  for (const ChunkEntry &Chunk : Sum.Abandoned) {
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

ChunkChange ClaimPlanner::claim(const ChunkEntry &Chunk,
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

JobPlan ClaimPlanner::plan(const JobView &View,
                           const ClaimContext &Context) const {
  const JobRecord &Job = View.Job.Record;
  if (View.Job.final())
    return {};
  const ChunkSummary Sum = count(View, Context);
  const bool AllDone = Sum.Completed + Sum.Failed >= Job.TotalItems;
  if (View.Job.stopping() && !Sum.AnyClaimed)
    return finalize(View, Sum, AllDone);
  if (AllDone)
    return finalize(View, Sum, true);
  if (View.Job.stopping())
    return reopen(Sum);
  JobPlan Plan;
  if (Context.WallMs >= Job.DueMs) {
    Plan.Step = JobStep::Expire;
    Plan.Job = View.Job;
    Plan.Job.Expiring = true;
    return Plan;
  }
  Plan.ForeignClaims = Sum.Foreign;
  std::vector<ChunkEntry> Open = Sum.Abandoned;
  Open.insert(Open.end(), Sum.Returned.begin(), Sum.Returned.end());
  for (std::uint32_t Piece = 0; Piece < View.Job.Pieces; ++Piece) {
    const std::string Name = chunkName(Piece);
    if (Sum.Names.contains(Name))
      continue;
    ChunkRow Row;
    Row.Piece = Piece;
    Open.push_back({Name, 0, Row});
  }
  const std::size_t Count =
      std::min(countChunksToClaim(Context.Items, View.Job), Open.size());
  for (std::size_t I = 0; I < Count; ++I)
    Plan.Changes.push_back(
        this->claim(Open[(Context.Random + I) % Open.size()], Context));
  if (!Plan.Changes.empty())
    Plan.Step = JobStep::Claim;
  return Plan;
}

} // namespace turmericpass
