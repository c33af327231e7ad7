#include "Serving/OnlineService.h"

#include "Core/IdSource.h"
#include "Serving/CallRecord.h"
#include "Serving/CrashGuard.h"
#include "Serving/GatewayStatus.h"
#include "Serving/LoadTracker.h"
#include "Serving/OnlineRequest.h"
#include "Serving/PlacementPolicy.h"
#include "Serving/ServerDirectory.h"
#include "Telemetry/Logger.h"
#include "Telemetry/Metrics.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

namespace {

/// A send is started only if at least this time is left before the deadline.
constexpr Duration MinTimeToSend = std::chrono::milliseconds(10);

/// The pause after all servers of a service have refused a request. Requests to
/// plain services take about ten milliseconds, so slots become free soon.
constexpr Duration RefusalRetryDelay = std::chrono::milliseconds(15);

/// The retry delay that a refused caller is told if no better estimate exists.
constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(300);

/// A request that crashes servers is not tried again sooner.
constexpr Duration BlockedRetryAfter = std::chrono::seconds(5);
constexpr std::string_view CrashingRequestReason =
    "servers crashed under requests like this one";

} // namespace

OnlineService::OnlineService(OnlineServiceDependencies Dependencies)
    : Dependencies(Dependencies), Hedges(Dependencies.Loop.clock()) {}

void OnlineService::startCall(CallerId Caller, RawRequest Request,
                              const RouteSettings &Route, CallerIdentity From) {
  auto NewCall = std::make_unique<OnlineCall>(makeOnlineCall(
      Caller, std::move(Request), Route, std::move(From),
      this->Dependencies.Protocol, this->Dependencies.Loop.clock().now()));
  OnlineCall &Call = *NewCall;
  this->Calls.emplace(Caller, std::move(NewCall));
  Call.DeadlineTimer = this->Dependencies.Loop.after(
      Call.Deadline - Call.ArrivedAt,
      [this, Caller] { this->handleDeadline(Caller); });
  if (!this->Dependencies.Guard.admit(Call)) {
    this->refuse(Call, CrashingRequestReason, BlockedRetryAfter);
    return;
  }
  if (Route.mayHedge())
    this->Hedges.recordRequest();
  this->sendToServer(Call);
}

OnlineCall *OnlineService::findCall(SendId Id) {
  const auto Found = this->Sends.find(Id);
  if (Found == this->Sends.end())
    return nullptr;
  const auto Call = this->Calls.find(Found->second);
  return Call == this->Calls.end() ? nullptr : Call->second.get();
}

void OnlineService::sendToServer(OnlineCall &Call) {
  const Placement Choice = this->Dependencies.Placement.placeOnlineRequest(
      Call.Service, Call.TriedServers, this->Dependencies.Ids.number());
  const KnownServer *Server = Choice.Server;
  const Instant Now = this->Dependencies.Loop.clock().now();
  if (!Server || Call.Deadline - Now < MinTimeToSend) {
    const std::string_view Reason =
        Server ? "no time is left" : "no server of the service is known";
    if (Call.HeadForwarded || Call.PossibleRuns > 0)
      this->fail(Call, BadGateway, Reason);
    else
      this->refuse(Call, Reason, DefaultRetryAfter);
    return;
  }
  if (Call.PossibleRuns == 0 && Call.Refusals == 0)
    if (const std::optional<Duration> RetryDelay =
            this->Overload.computeRetryDelay(Call.Route, Call.Service, Choice,
                                             Call.CallerTimeLimit,
                                             this->Dependencies.Ids.number())) {
      this->Dependencies.Log.log(
          LogLevel::Info, "Refused a request that could not be served in time.",
          {{"request", Call.RequestId},
           {"server", Server->Entry.Id},
           {"waiting", Choice.WaitingRequests},
           {"slots", Server->Entry.Slots},
           {"expected_wait_ms",
            toMillis(this->Overload.expectedWait(Call.Service, Choice))},
           {"target_ms", toMillis(Call.Route.TargetLatency)},
           {"retry_after_ms", toMillis(*RetryDelay)}});
      this->refuse(Call, "it could not be served in time", *RetryDelay);
      return;
    }
  Call.Server = Server->Entry.Id;
  Call.TriedServers.insert(Call.Server);
  Call.SentAt = Now;
  Call.EventsOfSend = 0;
  Call.FirstAnswerRecorded = false;
  ++Call.PossibleRuns;
  Call.ActiveSend = this->Dependencies.Channels.send(
      makeOnlineRequest(Call, Call.Server, Server->Entry.Address,
                        this->Dependencies.Protocol, Now),
      *this);
  this->Sends.emplace(Call.ActiveSend, Call.Caller);
  this->Dependencies.Loads.addOnlineRequest(Call.Server);
  Call.Stall.start(Now);
  this->armStallTimer(Call);
  this->armHedgeTimer(Call);
}

void OnlineService::armStallTimer(OnlineCall &Call) {
  this->Dependencies.Loop.cancel(Call.StallTimer);
  Call.StallTimer = 0;
  // While the caller has to catch up, the server is not waited for.
  if (Call.ReadingPaused) {
    this->armPausedRead(Call);
    return;
  }
  Call.StallTimer = this->Dependencies.Loop.after(
      Call.Stall.retryLimit(Call.Route),
      [this, Caller = Call.Caller] { this->handleStall(Caller); });
}

void OnlineService::handleStall(CallerId Caller) {
  const auto Found = this->Calls.find(Caller);
  if (Found == this->Calls.end())
    return;
  OnlineCall &Call = *Found->second;
  Call.StallTimer = 0;
  if (Call.ActiveSend == 0)
    return;
  const KnownServer *Server = this->Dependencies.Servers.find(Call.Server);
  // A server that has sent any data since then is only slow or overloaded,
  // which does not count as a failure.
  if (!Server || Server->LastActivityAt < Call.SentAt)
    this->Dependencies.Servers.recordFailure(Call.Server);
  if (Call.Hedge.Copy) {
    this->endOneSend(Call, Call.ActiveSend, SendEnd::Stalled,
                     "the server sent nothing for too long");
    return;
  }
  if (!Call.Route.mayRepeat() || Call.PossibleRuns >= Call.Route.MaxAttempts) {
    this->waitOrAbandon(Call);
    return;
  }
  this->endSend(Call, true);
  this->retry(Call, "the server sent nothing for too long");
}

void OnlineService::waitOrAbandon(OnlineCall &Call) {
  const std::optional<Duration> Limit = Call.Stall.abandonLimit(Call.Route);
  if (!Limit)
    return;
  const Duration Silence =
      Call.Stall.silence(this->Dependencies.Loop.clock().now());
  if (Silence >= *Limit)
    this->fail(Call, GatewayTimeout, "the stream has stalled");
  else
    Call.StallTimer = this->Dependencies.Loop.after(
        *Limit - Silence,
        [this, Caller = Call.Caller] { this->handleStall(Caller); });
}

void OnlineService::endSend(OnlineCall &Call, bool CloseConnection) {
  if (Call.ActiveSend == 0)
    return;
  if (CloseConnection)
    this->Dependencies.Channels.cancel(Call.ActiveSend);
  else if (Call.ReadingPaused)
    // The rest is skipped, so that the server can end the request.
    this->Dependencies.Channels.setReading(Call.ActiveSend, true);
  this->Sends.erase(Call.ActiveSend);
  Call.ActiveSend = 0;
  Call.ReadingPaused = false;
  this->cancelHedgeTimer(Call);
  Call.Hedge.Held = HeldAnswer();
  this->Dependencies.Loads.removeOnlineRequest(Call.Server);
}

void OnlineService::retry(OnlineCall &Call, std::string_view Reason) {
  this->Dependencies.Loop.cancel(std::exchange(Call.StallTimer, 0));
  Call.Events.reset();
  this->Dependencies.Log.log(
      LogLevel::Info, "A server did not complete a request.",
      {{"request", Call.RequestId},
       {"server", Call.Server},
       {"reason", Reason},
       {"suspect", Call.Suspects.Request},
       {"events", Call.EventsOfSend},
       {"possible_runs", Call.PossibleRuns},
       {"refusals", Call.Refusals},
       {"waited_ms",
        toMillis(this->Dependencies.Loop.clock().now() - Call.ArrivedAt)}});
  const bool MayRetry =
      !Call.isPassedOnInPieces() &&
      (Call.PossibleRuns == 0 ||
       (Call.Route.mayRepeat() && Call.PossibleRuns < Call.Route.MaxAttempts));
  if (!MayRetry)
    this->fail(Call, BadGateway, Reason);
  else if (!this->Dependencies.Guard.mayRetry(Call))
    this->fail(Call, BadGateway, CrashingRequestReason);
  else
    this->sendToServer(Call);
}

void OnlineService::handleDeadline(CallerId Caller) {
  const auto Found = this->Calls.find(Caller);
  if (Found == this->Calls.end())
    return;
  Found->second->DeadlineTimer = 0;
  this->endCall(*Found->second, "the time is up");
}

void OnlineService::endCalls(bool AlsoBegunStreams) {
  for (auto Next = this->Calls.begin(); Next != this->Calls.end();)
    if (auto &Call = *(Next++)->second; AlsoBegunStreams || !Call.HeadForwarded)
      this->endCall(Call, "this VM stops");
}

void OnlineService::endCall(OnlineCall &Call, std::string_view Reason) {
  if (Call.PossibleRuns > 0 || Call.HeadForwarded)
    this->fail(Call, GatewayTimeout, Reason);
  else
    this->refuse(Call, Reason, DefaultRetryAfter);
}

void OnlineService::callerDisconnected(CallerId Caller) {
  const auto Found = this->Calls.find(Caller);
  if (Found == this->Calls.end())
    return;
  OnlineCall &Call = *Found->second;
  // An at-most-once request is left running, because it may already have had
  // side effects and its server frees the slot when it ends.
  const bool CancelSend = Call.Route.Kind != RequestKind::AtMostOnce;
  this->endSend(Call, CancelSend);
  this->finishCall(Call, 0, "caller_left");
}

void OnlineService::retryAfterRefusal(OnlineCall &Call,
                                      std::string_view Reason) {
  const Instant Now = this->Dependencies.Loop.clock().now();
  const std::vector<const KnownServer *> Servers =
      this->Dependencies.Servers.usableServers(Call.Service);
  const bool AllTried =
      std::all_of(Servers.begin(), Servers.end(), [&](const KnownServer *Each) {
        return Call.TriedServers.contains(Each->Entry.Id);
      });
  if (!AllTried) {
    this->retry(Call, Reason);
    return;
  }
  if (Now - Call.ArrivedAt >= Call.Route.TargetLatency) {
    if (Call.HeadForwarded || Call.PossibleRuns > 0)
      this->fail(Call, BadGateway, "no server took the request");
    else
      this->refuse(Call, "no server took the request", DefaultRetryAfter);
    return;
  }
  Call.TriedServers.clear();
  this->Dependencies.Loop.cancel(std::exchange(Call.StallTimer, 0));
  Call.RetryTimer = this->Dependencies.Loop.after(
      RefusalRetryDelay, [this, Caller = Call.Caller] {
        const auto Found = this->Calls.find(Caller);
        if (Found == this->Calls.end())
          return;
        Found->second->RetryTimer = 0;
        this->retry(*Found->second, "every server was full");
      });
}

void OnlineService::refuse(OnlineCall &Call, std::string_view Reason,
                           Duration RetryAfter) {
  this->endSend(Call, true);
  this->Dependencies.Callers.reply(
      Call.Caller, Unavailable,
      {{this->Dependencies.Protocol.RequestId, Call.RequestId},
       {this->Dependencies.Protocol.RetryAfter, formatSeconds(RetryAfter)}},
      Reason);
  this->finishCall(Call, Unavailable, Reason);
}

void OnlineService::fail(OnlineCall &Call, int Status,
                         std::string_view Reason) {
  this->endSend(Call, true);
  if (Call.HeadForwarded)
    this->Dependencies.Callers.abortAnswer(Call.Caller);
  else
    this->Dependencies.Callers.reply(
        Call.Caller, Status,
        {{this->Dependencies.Protocol.RequestId, Call.RequestId}}, Reason);
  this->finishCall(Call, Status, Reason);
}

void OnlineService::finishCall(OnlineCall &Call, int Status,
                               std::string_view Outcome) {
  this->endCopy(Call, "cancelled", true);
  this->clearBody(Call);
  this->Dependencies.Loop.cancel(Call.DeadlineTimer);
  this->Dependencies.Loop.cancel(Call.StallTimer);
  this->Dependencies.Loop.cancel(Call.RetryTimer);
  recordEndOfCall(Call, Status, Outcome, this->Dependencies.Loop.clock().now(),
                  this->Dependencies.Log, this->Dependencies.Stats);
  this->Calls.erase(Call.Caller);
}

} // namespace turmericpass
