#ifndef TURMERICPASS_BATCHJOBS_JOBAPI_H
#define TURMERICPASS_BATCHJOBS_JOBAPI_H

#include "BatchJobs/JobCallCodec.h"
#include "BatchJobs/JobStore.h"
#include "Core/Clock.h"
#include "RawHttp/CallerPort.h"
#include "Serving/BackendProtocol.h"
#include "Serving/CallerIdentity.h"
#include "Serving/ServingSettings.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace turmericpass {

class EventLoop;
class JobRunner;
class Logger;
class Metrics;

/// The objects and functions that JobApi depends on.
struct JobApiDependencies {
  EventLoop &Loop;
  CallerPort &Callers;
  JobStore &Store;
  JobDirectory &Directory;
  JobRunner &Runner;
  const BackendProtocol &Protocol;
  const JobCallCodec &Codec;
  Logger &Log;
  Metrics &Stats;
  /// Returns the time of the store's clock in milliseconds.
  std::function<std::int64_t()> StoreMillis;
  /// Returns whether Directory is known to be up to date with the store.
  std::function<bool()> IsDirectoryCurrent;
  /// The incarnation of this VM, which becomes the owner of accepted jobs.
  std::string Self;
};

/// Serves callers' requests concerning jobs: submission, reading of results and
/// items, and cancellation. Any VM can serve a request, whichever VM owns the
/// job.
class JobApi {
public:
  /// How long the cancellation of a job is retried. Other calls on an existing
  /// job are meant to end sooner.
  static constexpr Duration MaxCallTime = std::chrono::milliseconds(2500);

  explicit JobApi(JobApiDependencies Dependencies)
      : Dependencies(std::move(Dependencies)) {}

  /// Handles a submission. The caller is answered as soon as the store has
  /// accepted the job or a limit or failure prevents it.
  /// The job belongs to the organisation of \p From.
  void submit(CallerId Caller, const RawRequest &Request,
              const RouteSettings &Route, const CallerIdentity &From);
  /// Handles a request concerning an existing job. For a job of another
  /// organisation than that of \p From, the answer is the same as for a job
  /// that does not exist.
  void handleCall(CallerId Caller, const JobCall &Call,
                  const CallerIdentity &From, std::string RequestId);
  /// Forgets a caller that closed its connection.
  void callerDisconnected(CallerId Caller);

  /// Handles metadata changes of these jobs: answers callers that wait for
  /// their results.
  void handleJobChanges(const std::vector<std::string> &JobIds);

private:
  /// A submission that is being accepted.
  struct Submission {
    CallerId Caller = 0;
    std::string JobId;
    JobMetadata Metadata;
    std::vector<JobItem> Items;
    std::uint64_t MaxWaitingTokens = 0;
    std::uint64_t SettingsVersion = 0;
    Instant Deadline;
    Instant ArrivedAt;
    CallerIdentity From;
  };
  /// A request for results, which may wait until its deadline for the next one.
  struct ResultsRequest {
    JobCall Call;
    std::string RequestId;
    Instant Deadline;
    CallerIdentity From;
  };

  void tryAccept(const std::shared_ptr<Submission> &Job);
  void handleAcceptOutcome(const std::shared_ptr<Submission> &Job,
                           JobStore::ChangeOutcome Outcome);
  using MetadataCallback = std::function<void(Result<const KnownJob *>)>;

  /// Passes the job's metadata to \p Done, from memory if that is up to date
  /// and otherwise from the store. If \p From may not use the job, the error is
  /// the one for a job that does not exist.
  void withMetadata(const std::string &JobId, const CallerIdentity &From,
                    MetadataCallback Done);
  void readResults(CallerId Caller, const ResultsRequest &Request);
  void sendResults(CallerId Caller, const ResultsRequest &Request,
                   const KnownJob &Known);
  void readItem(CallerId Caller, const JobCall &Call,
                const std::string &RequestId);
  void cancelJob(CallerId Caller, const JobCall &Call,
                 const CallerIdentity &From, const std::string &RequestId,
                 Instant Deadline);
  /// Answers with the status of a failure to read from the store.
  void answerFailure(CallerId Caller, const std::string &RequestId,
                     const Error &Failure);
  void answer(CallerId Caller, int Status, const std::string &RequestId,
              std::string_view Reason, std::string_view Body = {});
  void cacheResults(const std::string &JobId, std::uint64_t First,
                    const std::vector<ItemResult> &Results);

  JobApiDependencies Dependencies;
  /// Requests that wait for a result, by caller.
  std::map<CallerId, ResultsRequest> WaitingRequests;
  /// Callers whose request has not been answered yet.
  std::set<CallerId> UnansweredCallers;
  /// Results that were read from the store, by job and position. A committed
  /// result never changes.
  std::map<std::string, std::map<std::uint64_t, ItemResult>> Cache;
  std::size_t CachedBytes = 0;
};

} // namespace turmericpass

#endif
