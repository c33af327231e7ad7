#include "Jobs/ChunkClaimer.h"

#include <algorithm>

namespace turmericpass {

namespace {

constexpr Duration MinStepInterval = std::chrono::milliseconds(200);
constexpr Duration MaxStepInterval = std::chrono::seconds(4);
/// How long a job that had no claimable chunks is skipped.
constexpr Duration SkipTime = std::chrono::seconds(5);
constexpr Duration LeaseScanPeriod = std::chrono::seconds(5);
/// A lease row that has not changed for this long is removed.
constexpr Duration DeadLeaseAge = std::chrono::hours(1);
constexpr std::size_t IndexPageRows = 100;
constexpr std::size_t LeasePageRows = 1000;
constexpr std::string_view AllShards = "open/";

} // namespace

ChunkClaimer::ChunkClaimer(Table &Rows, const Clock &Time, IdSource &Ids,
                           std::string Batcher, Protections Rules,
                           HeldPredicate IsHeld, ClaimedCallback OnClaimed)
    : Rows(Rows), Time(Time), Ids(Ids), Batcher(std::move(Batcher)),
      Writer(Rows, Rules), Planner(Rules), IsHeld(std::move(IsHeld)),
      OnClaimed(std::move(OnClaimed)), StepInterval(MinStepInterval) {}

void ChunkClaimer::scheduleReview(const std::string &JobId) {
  if (std::find(this->Reviews.begin(), this->Reviews.end(), JobId) ==
      this->Reviews.end())
    this->Reviews.push_back(JobId);
  // The end of a job must not wait for the long interval between steps that
  // find nothing.
  this->StepInterval = MinStepInterval;
  this->NextStep = std::min(this->NextStep, this->Time.now() + MinStepInterval);
}

void ChunkClaimer::failStep(const std::string &JobId) {
  if (std::exchange(this->IsReviewing, false))
    this->Reviews.push_back(JobId);
  this->endStep(false);
}

void ChunkClaimer::tick(std::size_t Items) {
  if (this->Busy || this->Time.now() < this->NextStep ||
      (Items == 0 && this->Reviews.empty()))
    return;
  this->Busy = true;
  this->WantedItems = Items;
  this->beginStep(Items > 0);
}

void ChunkClaimer::beginStep(bool MayClaim) {
  this->IsReviewing = !this->Reviews.empty();
  if (this->IsReviewing) {
    const std::string JobId = this->Reviews.front();
    this->Reviews.pop_front();
    return this->examineJob(JobId);
  }
  if (MayClaim && this->NeedsLeaseScan &&
      this->Time.now() >= this->NextLeaseScan)
    return this->scanLeases();
  if (!this->Candidates.empty())
    return this->examineJob(this->Candidates.front());
  this->scanIndex();
}

void ChunkClaimer::scanLeases() {
  this->NeedsLeaseScan = false;
  const Instant Sent = this->Time.now();
  this->NextLeaseScan = Sent + LeaseScanPeriod;
  this->Rows.scan(std::string(LeasePrefix), "", LeasePageRows,
                  [this, Sent](const Result<std::vector<TableRow>> &Page) {
                    this->onLeases(Page, Sent);
                  });
}

void ChunkClaimer::onLeases(const Result<std::vector<TableRow>> &Page,
                            Instant Sent) {
  if (!Page)
    return this->endStep(false);
  std::map<std::string, std::uint64_t> Versions;
  for (const TableRow &Row : *Page)
    Versions[Row.Key.substr(LeasePrefix.size())] = Row.Version;
  this->Leases.observe(Versions, Sent, this->Time.now());
  this->removeDeadLeases();
  this->endStep(true);
}

void ChunkClaimer::removeDeadLeases() {
  for (const std::string &Holder :
       this->Leases.holdersUnchangedFor(DeadLeaseAge)) {
    const std::string Key = leaseKey(Holder);
    this->Rows.transact({this->Ids.longId(),
                         {{Key, this->Leases.versionOf(Holder)}},
                         {},
                         {Key}},
                        [](const Result<void> &) {});
  }
}

void ChunkClaimer::scanIndex() {
  // A scan continues from shard to shard, so that one page holds all jobs of a
  // small fleet. The random start distributes the batchers of a large fleet
  // over the shards.
  if (!this->HasCursor)
    this->Cursor = indexPrefix(
        static_cast<std::uint32_t>(this->Ids.number() % IndexShardCount));
  this->HasCursor = true;
  this->Rows.scan(std::string(AllShards), this->Cursor, IndexPageRows,
                  [this](const Result<std::vector<TableRow>> &Page) {
                    this->onIndex(Page);
                  });
}

void ChunkClaimer::onIndex(const Result<std::vector<TableRow>> &Page) {
  if (!Page)
    return this->endStep(false);
  const bool ReachedEnd = Page->size() < IndexPageRows;
  const bool FromStart = this->Cursor.empty();
  this->Cursor = ReachedEnd ? std::string() : Page->back().Key;
  const Instant Now = this->Time.now();
  for (const TableRow &Row : *Page) {
    const std::string JobId = Row.Key.substr(Row.Key.rfind('/') + 1);
    const auto Skipped = this->SkippedUntil.find(JobId);
    if (Skipped == this->SkippedUntil.end() || Skipped->second <= Now)
      this->Candidates.push_back(JobId);
  }
  if (ReachedEnd && FromStart)
    std::erase_if(this->SkippedUntil,
                  [Now](const auto &Entry) { return Entry.second <= Now; });
  if (ReachedEnd && !FromStart && this->Candidates.empty())
    return this->scanIndex();
  this->endStep(!this->Candidates.empty());
}

void ChunkClaimer::examineJob(const std::string &JobId) {
  this->Rows.get(jobKey(JobId), [this, JobId](const Result<TableRow> &Row) {
    this->onJob(JobId, Row);
  });
}

void ChunkClaimer::onJob(const std::string &JobId,
                         const Result<TableRow> &Row) {
  if (!Row && Row.error().Code != ErrorCode::NotFound)
    return this->failStep(JobId);
  if (!Row) {
    this->skipJob(JobId);
    return this->endStep(false);
  }
  Result<JobRow> Job = decodeJobRow(Row->Value);
  if (!Job) {
    this->skipJob(JobId);
    return this->endStep(false);
  }
  auto Snapshot = std::make_shared<JobSnapshot>(
      JobSnapshot{std::move(*Job), Row->Version, {}});
  scanChunks(this->Rows, JobId,
             [this, Snapshot](Result<std::vector<ChunkEntry>> Chunks) {
               this->onChunks(Snapshot, std::move(Chunks));
             });
}

void ChunkClaimer::onChunks(const std::shared_ptr<JobSnapshot> &Snapshot,
                            Result<std::vector<ChunkEntry>> Chunks) {
  if (!Chunks)
    return this->failStep(Snapshot->Job.Record.Id);
  Snapshot->Chunks = std::move(*Chunks);
  ClaimContext Context;
  Context.Batcher = this->Batcher;
  Context.WallMs = this->Time.wallMillis();
  Context.Items = this->WantedItems;
  Context.Random = this->Ids.number();
  Context.HasLapsed = [this](const std::string &Holder) {
    return this->Leases.hasLapsed(Holder);
  };
  Context.IsHeld = this->IsHeld;
  const JobPlan Plan = this->Planner.plan(*Snapshot, Context);
  this->NeedsLeaseScan = this->NeedsLeaseScan || Plan.ForeignClaims;
  if (Plan.Step != JobStep::Nothing)
    return this->write(*Snapshot, Plan);
  this->skipJob(Snapshot->Job.Record.Id);
  this->endStep(!this->Candidates.empty());
}

void ChunkClaimer::write(const JobSnapshot &Snapshot, const JobPlan &Plan) {
  const std::string Id = Snapshot.Job.Record.Id;
  const std::string Key = jobKey(Id);
  TableTransaction Change{
      this->Ids.longId(), {{Key, Snapshot.Version}}, {}, {}};
  if (Plan.Step == JobStep::Expire || Plan.Step == JobStep::Finalize)
    Change.Puts.push_back({Key, encode(Plan.Job)});
  if (Plan.Step == JobStep::Expire)
    Change.Puts.push_back({stopKey(Id), "{}"});
  if (Plan.Step == JobStep::Finalize)
    Change.Deletes = {indexKey(Snapshot.Job.Record), stopKey(Id)};
  std::set<std::string> FormerHolders;
  for (const ChunkChange &Chunk : Plan.Changes) {
    const std::string ChunkKey = chunkKey(Id, Chunk.Name);
    Change.Checks.push_back({ChunkKey, Chunk.Version});
    Change.Puts.push_back({ChunkKey, encode(Chunk.Row)});
    if (!Chunk.FormerHolder.empty() && Chunk.FormerHolder != this->Batcher)
      FormerHolders.insert(Chunk.FormerHolder);
  }
  // A holder that has renewed its lease since then keeps its chunks.
  for (const std::string &Holder : FormerHolders)
    Change.Checks.push_back({leaseKey(Holder), this->Leases.versionOf(Holder)});
  const std::string Witness = Change.Puts.front().Key;
  this->Writer.commit(
      std::move(Change), Witness,
      [this, Id, Plan, Job = Snapshot.Job](const Result<void> &Reply) {
        this->onWritten(Id, Plan, Job, Reply);
      });
}

void ChunkClaimer::onWritten(const std::string &JobId, const JobPlan &Plan,
                             const JobRow &Job, const Result<void> &Reply) {
  if (!Reply) {
    this->failStep(JobId);
    // Another batcher changed the job first, so the job is examined again soon.
    if (Reply.error().Code == ErrorCode::Conflict)
      this->endStep(true);
    return;
  }
  if (Plan.Step == JobStep::Claim)
    for (const ChunkChange &Chunk : Plan.Changes)
      this->OnClaimed(Job, Chunk.Name, Chunk.Row, Chunk.FormerHolder);
  if (Plan.Step == JobStep::Finalize)
    this->skipJob(JobId);
  if (Plan.Step == JobStep::Expire || Plan.Step == JobStep::Reopen)
    this->scheduleReview(JobId);
  this->endStep(true);
}

void ChunkClaimer::skipJob(const std::string &JobId) {
  this->SkippedUntil[JobId] = this->Time.now() + SkipTime;
  std::erase(this->Candidates, JobId);
}

void ChunkClaimer::endStep(bool FoundWork) {
  this->Busy = false;
  this->StepInterval = FoundWork
                           ? MinStepInterval
                           : std::min(this->StepInterval * 2, MaxStepInterval);
  this->NextStep = this->Time.now() + this->StepInterval;
}

} // namespace turmericpass
