#include "BatchJobs/JobCleaner.h"

#include "BatchJobs/JobStore.h"
#include "Telemetry/Logger.h"

#include <utility>

namespace turmericpass {

namespace {

/// Jobs that are removed at the same time, so that removals take little of the
/// store's rate.
constexpr std::size_t MostAtOnce = 2;

} // namespace

void JobCleaner::clean(
    std::int64_t StoreMillis,
    const std::function<bool(const std::string &JobId)> &IsMine) {
  for (const auto &[JobId, Known] : this->Book.all()) {
    if (this->Busy.size() >= MostAtOnce)
      return;
    const std::int64_t Age = StoreMillis - Known.Head.AcceptedAtMillis;
    if (Known.Version == 0 || Known.Head.isOpen() ||
        std::chrono::milliseconds(Age) <= this->KeepTime || !IsMine(JobId) ||
        !this->Busy.insert(JobId).second)
      continue;
    this->removeData(JobId, 0);
  }
}

void JobCleaner::removeData(const std::string &JobId, std::size_t Kind) {
  const std::vector<std::string> Prefixes = JobStore::dataPrefixes(JobId);
  const KnownJob *Known = this->Book.find(JobId);
  if (!Known || Kind == Prefixes.size()) {
    this->removeHead(JobId);
    return;
  }
  RowRange Range;
  Range.Table = JobStore::DataTable;
  Range.Part = JobStore::Part;
  Range.From = Prefixes[Kind];
  Range.To = Prefixes[Kind] + '\x7f';
  // The condition on the head is an entry as well.
  Range.Limit = this->Rows.limits().Entries - 1;
  this->Rows.read(
      std::move(Range),
      [this, JobId, Kind, Version = Known->Version](Result<RowPage> Page) {
        if (!Page) {
          // The next round tries again.
          this->Busy.erase(JobId);
          return;
        }
        if (Page->Rows.empty()) {
          this->removeData(JobId, Kind + 1);
          return;
        }
        RowTransaction Change;
        Change.Part = JobStore::Part;
        Change.Conditions = {
            {JobStore::JobTable, JobDirectory::headKey(JobId), Version}};
        for (const StoredRow &Row : Page->Rows)
          Change.Removals.push_back({JobStore::DataTable, Row.Key});
        this->Rows.transact(std::move(Change),
                            [this, JobId, Kind](const TransactionResult &Made) {
                              if (Made.Outcome == TransactionOutcome::Committed)
                                this->removeData(JobId, Kind);
                              else
                                this->Busy.erase(JobId);
                            });
      });
}

void JobCleaner::removeHead(const std::string &JobId) {
  const KnownJob *Known = this->Book.find(JobId);
  if (!Known) {
    this->Busy.erase(JobId);
    return;
  }
  const std::string Route = Known->Head.Route;
  const JobDirectory::Admission Before = this->Book.admission(Route);
  const std::uint64_t Tokens = Known->Head.TotalTokens;
  const std::string Left = JobDirectory::admissionValue(
      Before.AcceptedTokens > Tokens ? Before.AcceptedTokens - Tokens : 0,
      "without " + JobId);
  RowTransaction Change;
  Change.Part = JobStore::Part;
  Change.Conditions = {
      {JobStore::JobTable, JobDirectory::headKey(JobId), Known->Version},
      {JobStore::JobTable, JobDirectory::admissionKey(Route), Before.Version}};
  Change.Writes = {
      {JobStore::JobTable, JobDirectory::admissionKey(Route), Left}};
  Change.Removals = {{JobStore::JobTable, JobDirectory::headKey(JobId)}};
  this->Rows.transact(std::move(Change), [this, JobId, Route,
                                          Left](const TransactionResult &Made) {
    this->Busy.erase(JobId);
    if (Made.Outcome != TransactionOutcome::Committed) {
      this->Book.update(Made.Current);
      return;
    }
    StoredRow Head;
    Head.Key = JobDirectory::headKey(JobId);
    Head.Removed = true;
    StoredRow Admission;
    Admission.Key = JobDirectory::admissionKey(Route);
    Admission.Value = Left;
    Admission.Version = Made.Version;
    this->Book.update({Head, Admission});
    this->Log.log(LogLevel::Info, "An old job was removed.", {{"job", JobId}});
  });
}

} // namespace turmericpass
