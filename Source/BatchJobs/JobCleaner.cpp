#include "BatchJobs/JobCleaner.h"

#include "BatchJobs/JobStore.h"
#include "Telemetry/Logger.h"

#include <utility>

namespace turmericpass {

namespace {

/// How many jobs are removed concurrently. The limit keeps the share of
/// removals in the store's request rate low.
constexpr std::size_t MaxConcurrentRemovals = 2;

} // namespace

void JobCleaner::clean(
    std::int64_t StoreMillis,
    const std::function<bool(const std::string &JobId)> &IsAssignedToThisVm) {
  for (const auto &[JobId, Known] : this->Directory.all()) {
    if (this->JobsBeingRemoved.size() >= MaxConcurrentRemovals)
      return;
    const std::int64_t Age = StoreMillis - Known.Metadata.AcceptedAtMillis;
    if (Known.Version.Newest == 0 || !Known.Version.isExact() ||
        Known.Metadata.isOpen() ||
        std::chrono::milliseconds(Age) <= this->Retention ||
        !IsAssignedToThisVm(JobId) ||
        !this->JobsBeingRemoved.insert(JobId).second)
      continue;
    this->removeData(JobId, 0);
  }
}

void JobCleaner::removeData(const std::string &JobId, std::size_t RangeIndex) {
  const std::vector<JobStore::DataRange> Ranges = JobStore::dataRanges(JobId);
  const KnownJob *Known = this->Directory.find(JobId);
  if (!Known || RangeIndex == Ranges.size()) {
    this->removeMetadata(JobId);
    return;
  }
  RowRange Range;
  Range.Table = JobStore::DataTable;
  Range.Part = Ranges[RangeIndex].Part;
  Range.From = Ranges[RangeIndex].Prefix;
  Range.To = Ranges[RangeIndex].Prefix + '\x7f';
  // The condition on the metadata counts as an entry of the transaction.
  Range.Limit = this->Rows.limits().Entries - 1;
  this->Rows.read(
      std::move(Range),
      [this, JobId, RangeIndex, PartName = Ranges[RangeIndex].Part,
       Version = Known->Version.Newest](Result<RowPage> Page) {
        if (!Page) {
          // The next call of clean() retries.
          this->JobsBeingRemoved.erase(JobId);
          return;
        }
        if (Page->Rows.empty()) {
          this->removeData(JobId, RangeIndex + 1);
          return;
        }
        RowTransaction Change;
        Change.Part = PartName;
        // The condition holds for rows in the part of the metadata only.
        if (Change.Part == JobStore::Part)
          Change.Conditions = {
              {JobStore::JobTable, JobDirectory::metadataKey(JobId), Version}};
        for (const StoredRow &Row : Page->Rows)
          Change.Removals.push_back({JobStore::DataTable, Row.Key});
        this->Rows.transact(
            std::move(Change),
            [this, JobId, RangeIndex](const TransactionResult &Answer) {
              if (Answer.Outcome == TransactionOutcome::Committed)
                this->removeData(JobId, RangeIndex);
              else
                this->JobsBeingRemoved.erase(JobId);
            });
      });
}

void JobCleaner::removeMetadata(const std::string &JobId) {
  const KnownJob *Known = this->Directory.find(JobId);
  if (!Known) {
    this->JobsBeingRemoved.erase(JobId);
    return;
  }
  const std::string &Route = Known->Metadata.Route;
  const std::string &Organisation = Known->Metadata.Organisation;
  const std::string AdmissionKey =
      JobDirectory::admissionKey(Route, Organisation);
  const JobDirectory::Admission Before =
      this->Directory.admission(Route, Organisation);
  if (!Known->Version.isExact() || !Before.Version.isExact()) {
    // The next call of clean() retries, once the feed has reported the rows.
    this->JobsBeingRemoved.erase(JobId);
    return;
  }
  const std::uint64_t Tokens = Known->Metadata.TotalTokens;
  const std::string NewAdmissionValue = JobDirectory::admissionValue(
      Before.AcceptedTokens > Tokens ? Before.AcceptedTokens - Tokens : 0,
      "without " + JobId);
  RowTransaction Change;
  Change.Part = JobStore::Part;
  Change.Conditions = {
      {JobStore::JobTable, JobDirectory::metadataKey(JobId),
       Known->Version.Newest},
      {JobStore::JobTable, AdmissionKey, Before.Version.Newest}};
  Change.Writes = {{JobStore::JobTable, AdmissionKey, NewAdmissionValue}};
  Change.Removals = {{JobStore::JobTable, JobDirectory::metadataKey(JobId)}};
  this->Rows.transact(Change, [this, JobId, Committed = Change](
                                  const TransactionResult &Answer) {
    this->JobsBeingRemoved.erase(JobId);
    if (Answer.Outcome != TransactionOutcome::Committed) {
      this->Directory.merge(Answer.Current);
      return;
    }
    this->Directory.mergeCommitted(Committed, Answer.Version);
    this->Log.log(LogLevel::Info, "Removed an expired job.", {{"job", JobId}});
  });
}

} // namespace turmericpass
