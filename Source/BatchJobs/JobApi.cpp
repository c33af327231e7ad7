#include "BatchJobs/JobApi.h"

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

/// A submission is decided at the latest so long before its caller gives up.
constexpr Duration AnswerMargin = std::chrono::milliseconds(250);
/// The time of a submission whose caller does not say how long it waits.
constexpr Duration DefaultSubmitTime = std::chrono::seconds(4);

/// The pause after a conflict with another acceptance, which brought the
/// admission row as it is now.
constexpr Duration AdmissionPause = std::chrono::milliseconds(5);

/// The results of one answer.
constexpr std::size_t AnswerBytes = std::size_t{700} << 10U;
constexpr std::size_t CacheBytes = std::size_t{16} << 20U;

/// How long an end of a job is tried.
constexpr Duration EndTime = std::chrono::milliseconds(2500);

constexpr std::string_view RetryAfterSeconds = "0.5";

} // namespace

void JobApi::answer(CallerId Caller, int Status, const std::string &RequestId,
                    std::string_view Why, std::string_view Body) {
  if (this->Open.erase(Caller) == 0)
    return;
  HttpHeaders Headers;
  if (!RequestId.empty())
    Headers.emplace_back(this->Dependencies.Protocol.RequestId, RequestId);
  if (Status == TooManyRequests || Status == Unavailable)
    Headers.emplace_back(this->Dependencies.Protocol.RetryAfter,
                         std::string(RetryAfterSeconds));
  if (!Body.empty())
    Headers.emplace_back("Content-Type",
                         this->Dependencies.Calls.contentType());
  this->Dependencies.Callers.reply(Caller, Status, Headers,
                                   Body.empty() ? Why : Body);
  this->Dependencies.Stats.add("job_calls_total{status=\"" +
                               std::to_string(Status) + "\"}");
  if (Status != Ok)
    this->Dependencies.Log.log(
        LogLevel::Info, "A call on a job was answered.",
        {{"request", RequestId}, {"status", Status}, {"reason", Why}});
}

void JobApi::callerDisconnected(CallerId Caller) {
  this->Waiting.erase(Caller);
  this->Open.erase(Caller);
}

void JobApi::submit(CallerId Caller, const RawRequest &Request,
                    const RouteSettings &Route) {
  this->Open.insert(Caller);
  auto Job = std::make_shared<Submission>();
  Job->Caller = Caller;
  Job->JobId =
      rawHeader(Request.Headers, this->Dependencies.Protocol.RequestId);
  if (this->Dependencies.Book.find(Job->JobId)) {
    this->answer(Caller, Accepted, Job->JobId, "accepted before");
    return;
  }
  Result<std::vector<JobItem>> Items =
      this->Dependencies.Calls.parseSubmission(Request);
  if (!Items || Job->JobId.empty()) {
    this->answer(Caller, BadRequest, Job->JobId,
                 Items ? "The submission has no id." : Items.error().Message);
    return;
  }
  Job->Items = std::move(*Items);
  Job->MaxWaitingTokens = Route.MaxWaitingTokens;
  Job->Arrived = this->Dependencies.Loop.clock().now();
  Duration Time = DefaultSubmitTime;
  const std::string_view Left =
      rawHeader(Request.Headers, this->Dependencies.Protocol.RemainingMs);
  std::int64_t LeftMs = 0;
  if (std::from_chars(Left.data(), Left.data() + Left.size(), LeftMs).ec ==
      std::errc())
    Time = std::chrono::milliseconds(LeftMs);
  Job->Until = Job->Arrived + Time - AnswerMargin;
  JobMetadata &Head = Job->Head;
  Head.Host = rawHeader(Request.Headers, "Host");
  Head.Target = Request.Target;
  Head.Route = Route.Name;
  // A VM that stops leaves the job to the others at once.
  Head.Owner =
      this->Dependencies.Runner.isReleasing() ? "" : this->Dependencies.Self;
  Head.Epoch = 1;
  Head.TotalItems = Job->Items.size();
  for (const JobItem &Item : Job->Items)
    Head.TotalTokens += Item.Tokens;
  this->tryAccept(Job);
}

void JobApi::tryAccept(const std::shared_ptr<Submission> &Job) {
  const std::string &Route = Job->Head.Route;
  if (!this->Dependencies.IsBookCurrent()) {
    this->answer(Job->Caller, Unavailable, Job->JobId,
                 "the store is out of reach");
    return;
  }
  const std::uint64_t Waiting = this->Dependencies.Book.waitingTokens(Route);
  if (Job->MaxWaitingTokens != 0 &&
      Waiting + Job->Head.TotalTokens > Job->MaxWaitingTokens) {
    this->Dependencies.Log.log(LogLevel::Info, "A job does not fit.",
                               {{"job", Job->JobId},
                                {"waiting_tokens", Waiting},
                                {"tokens", Job->Head.TotalTokens},
                                {"limit", Job->MaxWaitingTokens}});
    this->answer(Job->Caller, TooManyRequests, Job->JobId,
                 "too many tokens wait");
    return;
  }
  Job->Head.AcceptedAtMillis =
      this->Dependencies.StoreMillis() -
      std::chrono::duration_cast<std::chrono::milliseconds>(
          this->Dependencies.Loop.clock().now() - Job->Arrived)
          .count();
  this->Dependencies.Store.accept(Job->JobId, Job->Head, Job->Items, Job->Until,
                                  this->Dependencies.Book,
                                  [this, Job](JobStore::ChangeOutcome Outcome) {
                                    this->acceptDone(Job, Outcome);
                                  });
}

void JobApi::acceptDone(const std::shared_ptr<Submission> &Job,
                        JobStore::ChangeOutcome Outcome) {
  const bool Exists = this->Dependencies.Book.find(Job->JobId) != nullptr;
  if (Outcome == JobStore::ChangeOutcome::Done || Exists) {
    this->Dependencies.Log.log(
        LogLevel::Info, "A job is accepted.",
        {{"job", Job->JobId},
         {"route", Job->Head.Route},
         {"items", Job->Head.TotalItems},
         {"tokens", Job->Head.TotalTokens},
         {"took_ms",
          toMillis(this->Dependencies.Loop.clock().now() - Job->Arrived)}});
    this->answer(Job->Caller, Accepted, Job->JobId, "accepted");
    this->Dependencies.Runner.own(Job->JobId);
    return;
  }
  // A try that was overtaken can never be made any more: versions only grow.
  const bool TimeLeft =
      this->Dependencies.Loop.clock().now() + AdmissionPause < Job->Until;
  if (Outcome == JobStore::ChangeOutcome::Overtaken && TimeLeft) {
    this->Dependencies.Loop.after(AdmissionPause,
                                  [this, Job] { this->tryAccept(Job); });
    return;
  }
  // A refusal promises that nothing runs, so it is no answer while the
  // transaction may still be made.
  if (Outcome == JobStore::ChangeOutcome::Unknown)
    this->answer(Job->Caller, OutcomeUnknown, Job->JobId,
                 "the store did not say whether the job is accepted");
  else
    this->answer(Job->Caller, Unavailable, Job->JobId,
                 "the store is out of reach");
}

void JobApi::handle(CallerId Caller, const JobCall &Call,
                    std::string RequestId) {
  this->Open.insert(Caller);
  const Instant Now = this->Dependencies.Loop.clock().now();
  switch (Call.Kind) {
  case JobCallKind::ReadResults:
    this->readResults(Caller, {Call, std::move(RequestId), Now + Call.Wait});
    return;
  case JobCallKind::ReadItem:
    this->readItem(Caller, Call, RequestId);
    return;
  case JobCallKind::End:
    this->end(Caller, Call, RequestId, Now + EndTime);
    return;
  case JobCallKind::Submit:
    break;
  }
  this->answer(Caller, BadRequest, RequestId, "not a call on a job");
}

void JobApi::withHead(const std::string &JobId,
                      std::function<void(Result<const KnownJob *>)> Done) {
  const KnownJob *Known = this->Dependencies.Book.find(JobId);
  if (Known && this->Dependencies.IsBookCurrent())
    Done(Known);
  else
    this->Dependencies.Store.readHead(JobId, this->Dependencies.Book,
                                      std::move(Done));
}

void JobApi::readResults(CallerId Caller, const Reader &Asked) {
  this->withHead(Asked.Call.JobId, [this, Caller,
                                    Asked](Result<const KnownJob *> Known) {
    if (!this->Open.contains(Caller))
      return;
    if (!Known) {
      const bool Absent = Known.error().Code == ErrorCode::NotFound;
      this->answer(Caller, Absent ? NotFound : Unavailable, Asked.RequestId,
                   Known.error().Message);
      return;
    }
    const JobMetadata &Head = (*Known)->Head;
    if (Asked.Call.After < Head.ListedItems) {
      this->sendResults(Caller, Asked, **Known);
      return;
    }
    const Duration Left = Asked.Until - this->Dependencies.Loop.clock().now();
    if (!Head.isOpen() || Left <= Duration(0)) {
      this->answer(Caller, Ok, Asked.RequestId, "",
                   this->Dependencies.Calls.formatResults(
                       Head.TotalItems, Asked.Call.After, {}));
      return;
    }
    this->Waiting[Caller] = Asked;
    this->Dependencies.Loop.after(Left, [this, Caller] {
      const auto Found = this->Waiting.find(Caller);
      if (Found == this->Waiting.end())
        return;
      const Reader Expired = Found->second;
      this->Waiting.erase(Found);
      this->readResults(Caller, Expired);
    });
  });
}

void JobApi::sendResults(CallerId Caller, const Reader &Asked,
                         const KnownJob &Known) {
  const std::uint64_t Total = Known.Head.TotalItems;
  const std::uint64_t First = Asked.Call.After;
  std::vector<ItemResult> Ready;
  std::size_t Bytes = 0;
  const auto &Kept = this->Cache[Asked.Call.JobId];
  for (auto At = Kept.find(First);
       At != Kept.end() && At->first == First + Ready.size() &&
       Bytes < AnswerBytes;
       ++At) {
    Bytes += At->second.Output.size();
    Ready.push_back(At->second);
  }
  const bool Whole = First + Ready.size() >= Known.Head.ListedItems;
  if (!Ready.empty() && (Whole || Bytes >= AnswerBytes)) {
    this->answer(Caller, Ok, Asked.RequestId, "",
                 this->Dependencies.Calls.formatResults(Total, First, Ready));
    return;
  }
  this->Dependencies.Store.readResults(
      Asked.Call.JobId, First, AnswerBytes,
      [this, Caller, Asked, Total,
       First](Result<std::vector<ItemResult>> Results) {
        if (!this->Open.contains(Caller))
          return;
        if (!Results || Results->empty()) {
          this->answer(Caller, Unavailable, Asked.RequestId,
                       Results ? "the results are not in the store"
                               : std::string_view(Results.error().Message));
          return;
        }
        this->keepResults(Asked.Call.JobId, First, *Results);
        this->answer(
            Caller, Ok, Asked.RequestId, "",
            this->Dependencies.Calls.formatResults(Total, First, *Results));
      });
}

void JobApi::keepResults(const std::string &JobId, std::uint64_t First,
                         const std::vector<ItemResult> &Results) {
  if (this->CachedBytes > CacheBytes) {
    this->Cache.clear();
    this->CachedBytes = 0;
  }
  for (const ItemResult &Item : Results)
    if (this->Cache[JobId].emplace(First++, Item).second)
      this->CachedBytes += Item.Output.size();
}

void JobApi::handleJobChanges(const std::vector<std::string> &JobIds) {
  std::map<CallerId, Reader> Ready;
  for (const auto &[Caller, Asked] : this->Waiting) {
    if (std::find(JobIds.begin(), JobIds.end(), Asked.Call.JobId) ==
        JobIds.end())
      continue;
    const KnownJob *Known = this->Dependencies.Book.find(Asked.Call.JobId);
    if (!Known || Known->Head.ListedItems > Asked.Call.After ||
        !Known->Head.isOpen())
      Ready.emplace(Caller, Asked);
  }
  for (const auto &[Caller, Asked] : Ready) {
    this->Waiting.erase(Caller);
    this->readResults(Caller, Asked);
  }
}

void JobApi::readItem(CallerId Caller, const JobCall &Call,
                      const std::string &RequestId) {
  if (const OwnedJob *Own = this->Dependencies.Runner.find(Call.JobId))
    for (const ItemRun &Run : Own->Items)
      if (Run.Item.Id == Call.ItemId) {
        this->answer(Caller, Ok, RequestId, "", Run.Item.Body);
        return;
      }
  this->Dependencies.Store.readItems(
      Call.JobId,
      [this, Caller, Call, RequestId](Result<std::vector<JobItem>> Items) {
        if (!Items) {
          const bool Absent = Items.error().Code == ErrorCode::NotFound;
          this->answer(Caller, Absent ? NotFound : Unavailable, RequestId,
                       Items.error().Message);
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

void JobApi::end(CallerId Caller, const JobCall &Call,
                 const std::string &RequestId, Instant Until) {
  this->withHead(Call.JobId, [this, Caller, Call, RequestId,
                              Until](Result<const KnownJob *> Known) {
    if (!Known) {
      const bool Absent = Known.error().Code == ErrorCode::NotFound;
      this->answer(Caller, Absent ? NotFound : Unavailable, RequestId,
                   Known.error().Message);
      return;
    }
    JobMetadata Head = (*Known)->Head;
    if (Head.Ended) {
      this->answer(Caller, Ok, RequestId, "ended");
      return;
    }
    Head.Ended = true;
    this->Dependencies.Store.change(
        Call.JobId, Head, (*Known)->Version, {}, 0, {}, Until,
        this->Dependencies.Book,
        [this, Caller, Call, RequestId,
         Until](JobStore::ChangeOutcome Outcome) {
          if (Outcome == JobStore::ChangeOutcome::Done) {
            this->Dependencies.Log.log(
                LogLevel::Info, "A job was ended by its caller.",
                {{"job", Call.JobId}, {"request", RequestId}});
            this->Dependencies.Runner.handleJobChanges({Call.JobId});
            this->answer(Caller, Ok, RequestId, "ended");
          } else if (Outcome == JobStore::ChangeOutcome::Overtaken &&
                     this->Dependencies.Loop.clock().now() < Until) {
            this->end(Caller, Call, RequestId, Until);
          } else {
            this->answer(Caller, OutcomeUnknown, RequestId,
                         "the store did not confirm the end");
          }
        });
  });
}

} // namespace turmericpass
