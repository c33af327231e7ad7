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

/// What JobApi works with.
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
  /// The store's clock in milliseconds.
  std::function<std::int64_t()> StoreMillis;
  /// Whether the book is known to show the store as it is now.
  std::function<bool()> IsBookCurrent;
  std::string Self;
};

/// Takes jobs from callers, gives results out and ends jobs, on any VM.
class JobApi {
public:
  explicit JobApi(JobApiDependencies Parts) : Dependencies(std::move(Parts)) {}

  void submit(CallerId Caller, const RawRequest &Request,
              const RouteSettings &Route);
  void handle(CallerId Caller, const JobCall &Call, std::string RequestId);
  void callerDisconnected(CallerId Caller);

  /// The heads of these jobs changed; answers callers that wait for results.
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
  /// Callers that wait for a result, by caller.
  std::map<CallerId, Reader> Waiting;
  /// Callers whose call is being handled.
  std::set<CallerId> Open;
  /// Results that were read from the store; they never change.
  std::map<std::string, std::map<std::uint64_t, ItemResult>> Cache;
  std::size_t CachedBytes = 0;
};

} // namespace turmericpass

#endif
