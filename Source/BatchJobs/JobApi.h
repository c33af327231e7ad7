#ifndef TURMERICPASS_BATCHJOBS_JOBAPI_H
#define TURMERICPASS_BATCHJOBS_JOBAPI_H

#include "BatchJobs/JobCallCodec.h"
#include "BatchJobs/JobStore.h"
#include "RawHttp/CallerPort.h"
#include "Serving/BackendProtocol.h"
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
  JobDirectory &Book;
  JobRunner &Runner;
  const BackendProtocol &Protocol;
  const JobCallCodec &Calls;
  Logger &Log;
  Metrics &Stats;
  /// Returns the time of the store's clock in milliseconds.
  std::function<std::int64_t()> StoreMillis;
  /// Returns whether Book is known to be up to date with the store.
  std::function<bool()> IsBookCurrent;
  std::string Self;
};

/// Serves callers' requests concerning jobs: submission, reading of results and
/// items, and cancellation. Any VM can serve a request, whichever VM owns the
/// job.
class JobApi {
public:
  explicit JobApi(JobApiDependencies Parts) : Dependencies(std::move(Parts)) {}

  void submit(CallerId Caller, const RawRequest &Request,
              const RouteSettings &Route);
  void handle(CallerId Caller, const JobCall &Call, std::string RequestId);
  void callerLeft(CallerId Caller);

  /// Handles metadata changes of these jobs: answers callers that wait for
  /// their results.
  void handleJobChanges(const std::vector<std::string> &JobIds);

private:
  struct Submission {
    CallerId Caller = 0;
    std::string JobId;
    JobMetadata Head;
    std::vector<JobItem> Items;
    std::uint64_t MaxWaitingTokens = 0;
    Instant Until;
    Instant Arrived;
  };
  struct Reader {
    JobCall Call;
    std::string RequestId;
    Instant Until;
  };

  void tryAccept(const std::shared_ptr<Submission> &Job);
  void acceptDone(const std::shared_ptr<Submission> &Job,
                  JobStore::ChangeOutcome Outcome);
  void withHead(const std::string &JobId,
                std::function<void(Result<const KnownJob *>)> Done);
  void readResults(CallerId Caller, const Reader &Asked);
  void sendResults(CallerId Caller, const Reader &Asked, const KnownJob &Known);
  void readItem(CallerId Caller, const JobCall &Call,
                const std::string &RequestId);
  void end(CallerId Caller, const JobCall &Call, const std::string &RequestId,
           Instant Until);
  void answer(CallerId Caller, int Status, const std::string &RequestId,
              std::string_view Why, std::string_view Body = {});
  void keepResults(const std::string &JobId, std::uint64_t First,
                   const std::vector<ItemResult> &Results);

  JobApiDependencies Dependencies;
  /// Requests that wait for a result, by caller.
  std::map<CallerId, Reader> Waiting;
  /// Callers whose request has not been answered yet.
  std::set<CallerId> Open;
  /// Results that were read from the store, by job and position. A committed
  /// result never changes.
  std::map<std::string, std::map<std::uint64_t, ItemResult>> Cache;
  std::size_t CachedBytes = 0;
};

} // namespace turmericpass

#endif
