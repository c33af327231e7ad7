#include "BatchJobs/JobApi.h"

#include "BatchJobs/ItemRequest.h"
#include "BatchJobs/JobRunner.h"
#include "Loop/EventLoop.h"
#include "Telemetry/Logger.h"
#include "Telemetry/Metrics.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace turmericpass {

namespace {

constexpr int Ok = 200;
constexpr int Accepted = 202;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int TooManyRequests = 429;
constexpr int Unavailable = 503;
constexpr int OutcomeUnknown = 504;

/// Submissions are answered at least this long before the caller's deadline.
constexpr Duration AnswerMargin = std::chrono::milliseconds(250);
/// The time limit of a submission whose caller does not state one.
constexpr Duration DefaultSubmitTimeout = std::chrono::seconds(4);

/// The delay before a retry after a conflict with another acceptance. The
/// store's answer to the conflicting transaction holds the current admission
/// row.
constexpr Duration AdmissionRetryDelay = std::chrono::milliseconds(5);

/// Once the results of one response reach this size, no more are added.
constexpr std::size_t AnswerByteLimit = std::size_t{700} << 10U;
/// Once the cached outputs exceed this size, the cache is cleared.
constexpr std::size_t CacheByteLimit = std::size_t{16} << 20U;

/// How long the cancellation of a job is retried.
constexpr Duration CancelTimeout = JobApi::MaxCallTime;

constexpr std::string_view RetryAfterSeconds = "0.5";

/// Returns whether \p From may use the job. Jobs without an organisation were
/// accepted without a key, so every caller that this VM serves may use them.
bool mayUse(const CallerIdentity &From, const JobMetadata &Metadata) {
  return !From.IsChecked || Metadata.Organisation.empty() ||
         Metadata.Organisation == From.Organisation;
}

} // namespace

void JobApi::answer(CallerId Caller, int Status, const std::string &RequestId,
                    std::string_view Reason, std::string_view Body) {
  if (this->UnansweredCallers.erase(Caller) == 0)
    return;
  HttpHeaders Headers;
  if (!RequestId.empty())
    Headers.emplace_back(this->Dependencies.Protocol.RequestId, RequestId);
  if (Status == TooManyRequests || Status == Unavailable)
    Headers.emplace_back(this->Dependencies.Protocol.RetryAfter,
                         std::string(RetryAfterSeconds));
  if (!Body.empty())
    Headers.emplace_back("Content-Type",
                         this->Dependencies.Codec.contentType());
  this->Dependencies.Callers.reply(Caller, Status, Headers,
                                   Body.empty() ? Reason : Body);
  this->Dependencies.Stats.add("job_calls_total{status=\"" +
                               std::to_string(Status) + "\"}");
  if (Status != Ok)
    this->Dependencies.Log.log(
        LogLevel::Info, "Answered a job request.",
        {{"request", RequestId}, {"status", Status}, {"reason", Reason}});
}

void JobApi::callerDisconnected(CallerId Caller) {
  this->WaitingRequests.erase(Caller);
  this->UnansweredCallers.erase(Caller);
}

void JobApi::submit(CallerId Caller, const RawRequest &Request,
                    const RouteSettings &Route, const CallerIdentity &From) {
  this->UnansweredCallers.insert(Caller);
  auto Job = std::make_shared<Submission>();
  Job->Caller = Caller;
  Job->JobId =
      rawHeader(Request.Headers, this->Dependencies.Protocol.RequestId);
  Job->From = From;
  if (const KnownJob *Known = this->Dependencies.Directory.find(Job->JobId)) {
    if (mayUse(From, Known->Metadata))
      this->answer(Caller, Accepted, Job->JobId, "accepted before");
    else
      this->answerFailure(Caller, Job->JobId,
                          JobDirectory::noSuchJob(Job->JobId).value());
    return;
  }
  Result<std::vector<JobItem>> Items =
      this->Dependencies.Codec.parseSubmission(Request);
  if (!Items || Job->JobId.empty()) {
    this->answer(Caller, BadRequest, Job->JobId,
                 Items ? "The submission has no id." : Items.error().Message);
    return;
  }
  for (const JobItem &Item : *Items)
    if (const Result<void> Status = checkItem(Item); !Status) {
      this->answer(Job->Caller, BadRequest, Job->JobId, Status.error().Message);
      return;
    }
  Job->Items = std::move(*Items);
  if (From.IsChecked)
    for (JobItem &Item : Job->Items)
      std::erase_if(Item.Headers, [this](const auto &Header) {
        return this->Dependencies.Protocol.identifiesCaller(Header.first);
      });
  Job->MaxWaitingTokens = Route.MaxWaitingTokens;
  Job->SettingsVersion = Route.SettingsVersion;
  Job->ArrivedAt = this->Dependencies.Loop.clock().now();
  Duration TimeLimit = DefaultSubmitTimeout;
  const std::string_view RemainingText =
      rawHeader(Request.Headers, this->Dependencies.Protocol.RemainingMs);
  std::int64_t RemainingMs = 0;
  if (std::from_chars(RemainingText.data(),
                      RemainingText.data() + RemainingText.size(), RemainingMs)
          .ec == std::errc())
    TimeLimit = std::chrono::milliseconds(RemainingMs);
  Job->Deadline = Job->ArrivedAt + TimeLimit - AnswerMargin;
  JobMetadata &Metadata = Job->Metadata;
  Metadata.Host = rawHeader(Request.Headers, "Host");
  Metadata.Target = Request.Target;
  Metadata.Route = Route.Name;
  Metadata.Organisation = From.Organisation;
  // A VM that is stopping leaves the job without an owner, so that another VM
  // takes it over at once.
  Metadata.Owner =
      this->Dependencies.Runner.isReleasing() ? "" : this->Dependencies.Self;
  Metadata.Epoch = 1;
  Metadata.TotalItems = Job->Items.size();
  for (const JobItem &Item : Job->Items)
    Metadata.TotalTokens += Item.Tokens;
  this->tryAccept(Job);
}

void JobApi::tryAccept(const std::shared_ptr<Submission> &Job) {
  if (!this->Dependencies.IsDirectoryCurrent()) {
    this->answer(Job->Caller, Unavailable, Job->JobId,
                 "the store is out of reach");
    return;
  }
  const std::uint64_t WaitingTokens =
      this->Dependencies.Directory.waitingTokens(Job->Metadata.Route,
                                                 Job->Metadata.Organisation);
  if (Job->MaxWaitingTokens != 0 &&
      WaitingTokens + Job->Metadata.TotalTokens > Job->MaxWaitingTokens) {
    this->Dependencies.Log.log(LogLevel::Info,
                               "Rejected a job because too many tokens wait.",
                               {{"job", Job->JobId},
                                {"organisation", Job->Metadata.Organisation},
                                {"waiting_tokens", WaitingTokens},
                                {"tokens", Job->Metadata.TotalTokens},
                                {"limit", Job->MaxWaitingTokens}});
    this->answer(Job->Caller, TooManyRequests, Job->JobId,
                 "too many tokens wait");
    return;
  }
  Job->Metadata.AcceptedAtMillis =
      this->Dependencies.StoreMillis() -
      std::chrono::duration_cast<std::chrono::milliseconds>(
          this->Dependencies.Loop.clock().now() - Job->ArrivedAt)
          .count();
  this->Dependencies.Store.acceptJob(
      Job->JobId, Job->Metadata, Job->Items, Job->Deadline,
      this->Dependencies.Directory,
      [this, Job](JobStore::ChangeOutcome Outcome) {
        this->handleAcceptOutcome(Job, Outcome);
      });
}

void JobApi::handleAcceptOutcome(const std::shared_ptr<Submission> &Job,
                                 JobStore::ChangeOutcome Outcome) {
  const KnownJob *Known = this->Dependencies.Directory.find(Job->JobId);
  const bool IsDone = Outcome == JobStore::ChangeOutcome::Done;
  if (!IsDone && Known && !mayUse(Job->From, Known->Metadata)) {
    this->answerFailure(Job->Caller, Job->JobId,
                        JobDirectory::noSuchJob(Job->JobId).value());
    return;
  }
  if (IsDone || Known) {
    this->Dependencies.Log.log(
        LogLevel::Info, "Accepted a job.",
        {{"job", Job->JobId},
         {"route", Job->Metadata.Route},
         {"organisation", Job->Metadata.Organisation},
         {"settings_version", Job->SettingsVersion},
         {"items", Job->Metadata.TotalItems},
         {"tokens", Job->Metadata.TotalTokens},
         {"took_ms",
          toMillis(this->Dependencies.Loop.clock().now() - Job->ArrivedAt)}});
    this->answer(Job->Caller, Accepted, Job->JobId, "accepted");
    this->Dependencies.Runner.runJob(Job->JobId);
    return;
  }
  // An attempt that met a conflict can never be applied later, because versions
  // only increase. So it is safe to retry with the current admission row.
  const bool HasTimeLeft =
      this->Dependencies.Loop.clock().now() + AdmissionRetryDelay <
      Job->Deadline;
  if (Outcome == JobStore::ChangeOutcome::Conflict && HasTimeLeft) {
    this->Dependencies.Loop.after(AdmissionRetryDelay,
                                  [this, Job] { this->tryAccept(Job); });
    return;
  }
  // A refusal guarantees to the caller that the job does not run, so it is
  // wrong while the transaction may still be applied.
  if (Outcome == JobStore::ChangeOutcome::Unknown)
    this->answer(Job->Caller, OutcomeUnknown, Job->JobId,
                 "the store did not say whether the job is accepted");
  else
    this->answer(Job->Caller, Unavailable, Job->JobId,
                 "the store is out of reach");
}

void JobApi::handleCall(CallerId Caller, const JobCall &Call,
                        const CallerIdentity &From, std::string RequestId) {
  this->UnansweredCallers.insert(Caller);
  const Instant Now = this->Dependencies.Loop.clock().now();
  switch (Call.Kind) {
  case JobCallKind::ReadResults:
    this->readResults(Caller,
                      {Call, std::move(RequestId), Now + Call.MaxWait, From});
    return;
  case JobCallKind::ReadItem:
    if (!From.IsChecked) {
      this->readItem(Caller, Call, RequestId);
      return;
    }
    this->withMetadata(
        Call.JobId, From,
        [this, Caller, Call, RequestId](Result<const KnownJob *> Known) {
          if (Known)
            this->readItem(Caller, Call, RequestId);
          else
            this->answerFailure(Caller, RequestId, Known.error());
        });
    return;
  case JobCallKind::Cancel:
    this->cancelJob(Caller, Call, From, RequestId, Now + CancelTimeout);
    return;
  case JobCallKind::Submit:
    break;
  }
  this->answer(Caller, BadRequest, RequestId, "not a call on a job");
}

void JobApi::withMetadata(const std::string &JobId, const CallerIdentity &From,
                          MetadataCallback Done) {
  const auto Check = [JobId, From,
                      Done = std::move(Done)](Result<const KnownJob *> Found) {
    if (Found && !mayUse(From, (*Found)->Metadata))
      Done(JobDirectory::noSuchJob(JobId));
    else
      Done(std::move(Found));
  };
  const KnownJob *Known = this->Dependencies.Directory.find(JobId);
  if (Known && this->Dependencies.IsDirectoryCurrent())
    Check(Known);
  else
    this->Dependencies.Store.readMetadata(JobId, this->Dependencies.Directory,
                                          Check);
}

void JobApi::answerFailure(CallerId Caller, const std::string &RequestId,
                           const Error &Failure) {
  const bool IsAbsent = Failure.Code == ErrorCode::NotFound;
  this->answer(Caller, IsAbsent ? NotFound : Unavailable, RequestId,
               Failure.Message);
}

void JobApi::readResults(CallerId Caller, const ResultsRequest &Request) {
  this->withMetadata(
      Request.Call.JobId, Request.From,
      [this, Caller, Request](Result<const KnownJob *> Known) {
        if (!this->UnansweredCallers.contains(Caller))
          return;
        if (!Known) {
          this->answerFailure(Caller, Request.RequestId, Known.error());
          return;
        }
        const JobMetadata &Metadata = (*Known)->Metadata;
        if (Request.Call.FirstPosition < Metadata.CommittedItems) {
          this->sendResults(Caller, Request, **Known);
          return;
        }
        const Duration RemainingTime =
            Request.Deadline - this->Dependencies.Loop.clock().now();
        if (!Metadata.isOpen() || RemainingTime <= Duration(0)) {
          this->answer(
              Caller, Ok, Request.RequestId, "",
              this->Dependencies.Codec.formatResults(
                  Metadata.TotalItems, Request.Call.FirstPosition, {}));
          return;
        }
        this->WaitingRequests[Caller] = Request;
        this->Dependencies.Loop.after(RemainingTime, [this, Caller] {
          const auto Found = this->WaitingRequests.find(Caller);
          if (Found == this->WaitingRequests.end())
            return;
          const ResultsRequest Expired = Found->second;
          this->WaitingRequests.erase(Found);
          this->readResults(Caller, Expired);
        });
      });
}

void JobApi::sendResults(CallerId Caller, const ResultsRequest &Request,
                         const KnownJob &Known) {
  const std::uint64_t Total = Known.Metadata.TotalItems;
  const std::uint64_t First = Request.Call.FirstPosition;
  std::vector<ItemResult> Ready;
  std::size_t Bytes = 0;
  const auto &CachedResults = this->Cache[Request.Call.JobId];
  for (auto At = CachedResults.find(First);
       At != CachedResults.end() && At->first == First + Ready.size() &&
       Bytes < AnswerByteLimit;
       ++At) {
    Bytes += At->second.Output.size();
    Ready.push_back(At->second);
  }
  const bool HasAllCommitted =
      First + Ready.size() >= Known.Metadata.CommittedItems;
  if (!Ready.empty() && (HasAllCommitted || Bytes >= AnswerByteLimit)) {
    this->answer(Caller, Ok, Request.RequestId, "",
                 this->Dependencies.Codec.formatResults(Total, First, Ready));
    return;
  }
  this->Dependencies.Store.readResults(
      Request.Call.JobId, First, AnswerByteLimit,
      [this, Caller, Request, Total,
       First](Result<std::vector<ItemResult>> Results) {
        if (!this->UnansweredCallers.contains(Caller))
          return;
        if (!Results || Results->empty()) {
          this->answer(Caller, Unavailable, Request.RequestId,
                       Results ? "the results are not in the store"
                               : std::string_view(Results.error().Message));
          return;
        }
        this->cacheResults(Request.Call.JobId, First, *Results);
        this->answer(
            Caller, Ok, Request.RequestId, "",
            this->Dependencies.Codec.formatResults(Total, First, *Results));
      });
}

void JobApi::cacheResults(const std::string &JobId, std::uint64_t First,
                          const std::vector<ItemResult> &Results) {
  if (this->CachedBytes > CacheByteLimit) {
    this->Cache.clear();
    this->CachedBytes = 0;
  }
  for (const ItemResult &Item : Results)
    if (this->Cache[JobId].emplace(First++, Item).second)
      this->CachedBytes += Item.Output.size();
}

void JobApi::handleJobChanges(const std::vector<std::string> &JobIds) {
  std::map<CallerId, ResultsRequest> Ready;
  for (const auto &[Caller, Request] : this->WaitingRequests) {
    if (std::find(JobIds.begin(), JobIds.end(), Request.Call.JobId) ==
        JobIds.end())
      continue;
    const KnownJob *Known =
        this->Dependencies.Directory.find(Request.Call.JobId);
    if (!Known || Known->Metadata.CommittedItems > Request.Call.FirstPosition ||
        !Known->Metadata.isOpen())
      Ready.emplace(Caller, Request);
  }
  for (const auto &[Caller, Request] : Ready) {
    this->WaitingRequests.erase(Caller);
    this->readResults(Caller, Request);
  }
}

void JobApi::readItem(CallerId Caller, const JobCall &Call,
                      const std::string &RequestId) {
  if (const OwnedJob *Job = this->Dependencies.Runner.find(Call.JobId))
    for (const ItemRun &Run : Job->Items)
      if (Run.Item.Id == Call.ItemId) {
        this->answer(Caller, Ok, RequestId, "", Run.Item.Body);
        return;
      }
  this->Dependencies.Store.readItems(
      Call.JobId,
      [this, Caller, Call, RequestId](Result<std::vector<JobItem>> Items) {
        if (!Items) {
          this->answerFailure(Caller, RequestId, Items.error());
          return;
        }
        for (const JobItem &Item : *Items)
          if (Item.Id == Call.ItemId) {
            this->answer(Caller, Ok, RequestId, "", Item.Body);
            return;
          }
        this->answer(Caller, NotFound, RequestId, "no such item");
      });
}

void JobApi::cancelJob(CallerId Caller, const JobCall &Call,
                       const CallerIdentity &From, const std::string &RequestId,
                       Instant Deadline) {
  this->withMetadata(
      Call.JobId, From,
      [this, Caller, Call, From, RequestId,
       Deadline](Result<const KnownJob *> Known) {
        if (!Known) {
          this->answerFailure(Caller, RequestId, Known.error());
          return;
        }
        JobMetadata Metadata = (*Known)->Metadata;
        if (Metadata.Cancelled) {
          this->answer(Caller, Ok, RequestId, "ended");
          return;
        }
        Metadata.Cancelled = true;
        this->Dependencies.Store.updateJob(
            Call.JobId, Metadata, {}, 0, Deadline, this->Dependencies.Directory,
            [this, Caller, Call, From, RequestId,
             Deadline](JobStore::ChangeOutcome Outcome) {
              if (Outcome == JobStore::ChangeOutcome::Done) {
                this->Dependencies.Log.log(
                    LogLevel::Info, "A caller cancelled a job.",
                    {{"job", Call.JobId}, {"request", RequestId}});
                this->Dependencies.Runner.handleJobChanges({Call.JobId});
                this->answer(Caller, Ok, RequestId, "ended");
              } else if (Outcome == JobStore::ChangeOutcome::Conflict &&
                         this->Dependencies.Loop.clock().now() < Deadline) {
                this->cancelJob(Caller, Call, From, RequestId, Deadline);
              } else {
                this->answer(Caller, OutcomeUnknown, RequestId,
                             "the store did not confirm the end");
              }
            });
      });
}

} // namespace turmericpass
