#include "BatchJobs/JobDirectory.h"

#include "Telemetry/Logger.h"

#include <cstdlib>
#include <set>
#include <utility>

namespace turmericpass {

namespace {

constexpr std::string_view MetadataPrefix = "job/";
constexpr std::string_view AdmissionPrefix = "admission/";
constexpr std::string_view OrganisationAdmissionPrefix = "admission-of/";

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
        Job.second.Version > Version)
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

void JobDirectory::apply(const StoredRow &Row,
                         std::vector<std::string> &Changed) {
  if (Row.Key.starts_with(AdmissionPrefix) ||
      Row.Key.starts_with(OrganisationAdmissionPrefix)) {
    Admission &Known = this->Admissions[Row.Key];
    if (Row.Removed)
      Known = Admission();
    else if (Row.Version > Known.Version || Row.Value == Known.Value)
      Known = {Row.Version, std::strtoull(Row.Value.c_str(), nullptr, 10),
               Row.Value};
    return;
  }
  if (!Row.Key.starts_with(MetadataPrefix))
    return;
  const std::string JobId = Row.Key.substr(MetadataPrefix.size());
  if (Row.Removed) {
    // The job may have been accepted again since. Version 0 is unknown.
    const auto Found = this->Jobs.find(JobId);
    if (Found == this->Jobs.end() ||
        (Row.Version != 0 && Row.Version < Found->second.Version))
      return;
    this->Jobs.erase(Found);
    Changed.push_back(JobId);
    return;
  }
  KnownJob &Known = this->Jobs[JobId];
  if (Row.Version == Known.Version)
    return;
  Result<JobMetadata> Metadata = decodeMetadata(Row.Value);
  if (!Metadata) {
    this->Log.log(LogLevel::Error, Metadata.error().Message,
                  {{"job", JobId}, {"version", Row.Version}});
    return;
  }
  // The store may answer a transaction with a newer version than the one that
  // its rows got. A row with the same write id carries the correct version,
  // even if that is lower.
  if (Row.Version < Known.Version &&
      Metadata->WriteId != Known.Metadata.WriteId)
    return;
  Known = {std::move(*Metadata), Row.Version};
  Changed.push_back(JobId);
}

const KnownJob *JobDirectory::find(const std::string &JobId) const {
  const auto Found = this->Jobs.find(JobId);
  // Version 0 marks a job whose metadata could not be decoded.
  return Found == this->Jobs.end() || Found->second.Version == 0
             ? nullptr
             : &Found->second;
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
