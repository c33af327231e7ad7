#include "BatchJobs/JobDirectory.h"

#include "Telemetry/Logger.h"

#include <algorithm>
#include <cstdlib>
#include <set>
#include <utility>

namespace turmericpass {

namespace {

constexpr std::string_view MetadataPrefix = "job/";
constexpr std::string_view AdmissionPrefix = "admission/";
constexpr std::string_view OrganisationAdmissionPrefix = "admission-of/";

bool isAdmissionKey(std::string_view Key) {
  return Key.starts_with(AdmissionPrefix) ||
         Key.starts_with(OrganisationAdmissionPrefix);
}

JobDirectory::Admission parseAdmission(const std::string &Value,
                                       KnownVersion Version) {
  return {Version, std::strtoull(Value.c_str(), nullptr, 10), Value};
}

} // namespace

std::string JobDirectory::metadataKey(const std::string &JobId) {
  return std::string(MetadataPrefix) + JobId;
}

std::string JobDirectory::admissionKey(const std::string &Route,
                                       const std::string &Organisation) {
  if (Organisation.empty())
    return std::string(AdmissionPrefix) + Route;
  // The length makes the key unique, because names may contain slashes.
  return std::string(OrganisationAdmissionPrefix) +
         std::to_string(Route.size()) + "/" + Route + "/" + Organisation;
}

tl::unexpected<Error> JobDirectory::noSuchJob(const std::string &JobId) {
  return failure(ErrorCode::NotFound, "There is no job " + JobId + ".");
}

std::string JobDirectory::admissionValue(std::uint64_t AcceptedTokens,
                                         const std::string &WriteId) {
  return std::to_string(AcceptedTokens) + " " + WriteId;
}

std::vector<std::string>
JobDirectory::replace(const std::vector<StoredRow> &Rows,
                      std::uint64_t Version) {
  std::set<std::string> PresentKeys;
  for (const StoredRow &Row : Rows)
    PresentKeys.insert(Row.Key);
  std::vector<std::string> Changed;
  std::erase_if(this->Jobs, [&](const auto &Job) {
    if (PresentKeys.contains(metadataKey(Job.first)) ||
        Job.second.Version.Newest > Version)
      return false;
    Changed.push_back(Job.first);
    return true;
  });
  for (const StoredRow &Row : Rows)
    this->apply(Row, Changed);
  return this->withMergedChanges(Changed);
}

std::vector<std::string>
JobDirectory::update(const std::vector<StoredRow> &Rows) {
  std::vector<std::string> Changed;
  for (const StoredRow &Row : Rows)
    this->apply(Row, Changed);
  return this->withMergedChanges(Changed);
}

void JobDirectory::merge(const std::vector<StoredRow> &Rows) {
  std::vector<std::string> Changed;
  for (const StoredRow &Row : Rows)
    this->apply(Row, Changed);
  this->MergedChanges.insert(Changed.begin(), Changed.end());
}

std::vector<std::string>
JobDirectory::withMergedChanges(const std::vector<std::string> &Changed) {
  std::set<std::string> All = std::exchange(this->MergedChanges, {});
  All.insert(Changed.begin(), Changed.end());
  return {All.begin(), All.end()};
}

void JobDirectory::mergeCommitted(const RowTransaction &Change,
                                  std::uint64_t AnsweredVersion) {
  std::vector<std::string> Changed;
  for (const RowCondition &Condition : Change.Conditions) {
    StoredRow Row;
    Row.Table = Condition.Table;
    Row.Part = Change.Part;
    Row.Key = Condition.Key;
    const auto IsThisRow = [&](const auto &Each) {
      return Each.Table == Row.Table && Each.Key == Row.Key;
    };
    const auto Write =
        std::find_if(Change.Writes.begin(), Change.Writes.end(), IsThisRow);
    if (Write != Change.Writes.end()) {
      Row.Value = Write->Value;
      Row.Version = AnsweredVersion;
      this->applyWritten(Row, Condition.Version, Changed);
    } else if (std::any_of(Change.Removals.begin(), Change.Removals.end(),
                           IsThisRow)) {
      // A row with a higher version was written after the removal.
      Row.Removed = true;
      Row.Version = Condition.Version;
      this->apply(Row, Changed);
    }
  }
  this->MergedChanges.insert(Changed.begin(), Changed.end());
}

void JobDirectory::applyWritten(const StoredRow &Row, std::uint64_t Replaced,
                                std::vector<std::string> &Changed) {
  if (isAdmissionKey(Row.Key)) {
    Admission &Known = this->Admissions[Row.Key];
    if (Known.Value == Row.Value || Known.Version.Newest > Replaced)
      return;
    Known = parseAdmission(Row.Value, {Row.Version, Replaced});
    return;
  }
  if (!Row.Key.starts_with(MetadataPrefix))
    return;
  const std::string JobId = Row.Key.substr(MetadataPrefix.size());
  Result<JobMetadata> Metadata = decodeMetadata(Row.Value);
  KnownJob &Known = this->Jobs[JobId];
  // The feed may have reported this row, or a later one, before the answer.
  if (!Metadata || Metadata->WriteId == Known.Metadata.WriteId ||
      Known.Version.Newest > Replaced)
    return;
  Known = {std::move(*Metadata), {Row.Version, Replaced}};
  Changed.push_back(JobId);
}

void JobDirectory::applyAdmission(const StoredRow &Row) {
  Admission &Known = this->Admissions[Row.Key];
  if (Row.Removed)
    Known = Admission();
  else if (Row.Version > Known.Version.Floor || Row.Value == Known.Value)
    Known = parseAdmission(Row.Value, {Row.Version, Row.Version});
}

void JobDirectory::applyRemoval(const StoredRow &Row, const std::string &JobId,
                                std::vector<std::string> &Changed) {
  const auto Found = this->Jobs.find(JobId);
  if (Found == this->Jobs.end())
    return;
  // The job may have been accepted again since. Version 0 is unknown.
  const KnownVersion &Known = Found->second.Version;
  const bool IsOlder = Known.isExact() || Known.Floor == 0
                           ? Row.Version < Known.Newest
                           : Row.Version < Known.Floor;
  if (Row.Version != 0 && IsOlder)
    return;
  this->Jobs.erase(Found);
  Changed.push_back(JobId);
}

void JobDirectory::apply(const StoredRow &Row,
                         std::vector<std::string> &Changed) {
  if (isAdmissionKey(Row.Key)) {
    this->applyAdmission(Row);
    return;
  }
  if (!Row.Key.starts_with(MetadataPrefix))
    return;
  const std::string JobId = Row.Key.substr(MetadataPrefix.size());
  if (Row.Removed) {
    this->applyRemoval(Row, JobId, Changed);
    return;
  }
  KnownJob &Known = this->Jobs[JobId];
  if (Row.Version == Known.Version.Newest && Known.Version.isExact())
    return;
  Result<JobMetadata> Metadata = decodeMetadata(Row.Value);
  if (!Metadata) {
    this->Log.log(LogLevel::Error, Metadata.error().Message,
                  {{"job", JobId}, {"version", Row.Version}});
    return;
  }
  if (Row.Version <= Known.Version.Floor &&
      Metadata->WriteId != Known.Metadata.WriteId)
    return;
  Known = {std::move(*Metadata), {Row.Version, Row.Version}};
  Changed.push_back(JobId);
}

const KnownJob *JobDirectory::find(const std::string &JobId) const {
  const auto Found = this->Jobs.find(JobId);
  return Found == this->Jobs.end() || Found->second.Version.Newest == 0
             ? nullptr
             : &Found->second;
}

JobDirectory::KnownRow JobDirectory::row(const std::string &Key) const {
  if (isAdmissionKey(Key)) {
    const auto Found = this->Admissions.find(Key);
    return Found == this->Admissions.end()
               ? KnownRow()
               : KnownRow{Found->second.Value, Found->second.Version};
  }
  const KnownJob *Known = this->find(Key.substr(MetadataPrefix.size()));
  return Known ? KnownRow{Known->Metadata.WriteId, Known->Version} : KnownRow();
}

JobDirectory::Admission
JobDirectory::admission(const std::string &Route,
                        const std::string &Organisation) const {
  const auto Found = this->Admissions.find(admissionKey(Route, Organisation));
  return Found == this->Admissions.end() ? Admission() : Found->second;
}

std::uint64_t
JobDirectory::waitingTokens(const std::string &Route,
                            const std::string &Organisation) const {
  std::uint64_t CompletedTokens = 0;
  for (const auto &[JobId, Known] : this->Jobs)
    if (Known.Metadata.Route == Route &&
        Known.Metadata.Organisation == Organisation)
      CompletedTokens += Known.Metadata.isOpen()
                             ? Known.Metadata.CommittedTokens
                             : Known.Metadata.TotalTokens;
  const std::uint64_t AcceptedTokens =
      this->admission(Route, Organisation).AcceptedTokens;
  return AcceptedTokens > CompletedTokens ? AcceptedTokens - CompletedTokens
                                          : 0;
}

} // namespace turmericpass
