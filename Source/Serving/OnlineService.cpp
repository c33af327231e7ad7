#include "Serving/OnlineService.h"

#include "Core/Hash.h"
#include "Core/IdSource.h"
#include "Serving/CrashCounter.h"
#include "Serving/CrashDetector.h"
#include "Serving/LoadTracker.h"
#include "Serving/PlacementPolicy.h"
#include "Serving/ServerDirectory.h"
#include "Telemetry/Logger.h"
#include "Telemetry/Metrics.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace turmericpass {

namespace {

/// How long a new connection to a server may take; one way between zones is a
/// millisecond or two, and a lost first packet is sent again after a second.
constexpr Duration ConnectTime = std::chrono::milliseconds(400);

/// What is left of a caller's time must be at least this to start a send.
constexpr Duration LeastTime = std::chrono::milliseconds(10);

/// A request that may be repeated is taken to another server if the first one
/// sends nothing for this many times the target latency.
constexpr int StallTargets = 3;
/// The least pause in a stream that counts as a stall.
constexpr Duration LeastStall = std::chrono::milliseconds(600);

/// The pause after every server of a service refused a request. Calls of plain
/// services take some ten milliseconds, so slots come free soon.
constexpr Duration RefusedPause = std::chrono::milliseconds(15);

constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;

/// The wait before the next attempt that a caller is told when nothing better
/// is known.
constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(300);

std::optional<std::int64_t> readNumber(std::string_view Text) {
  std::int64_t Number = 0;
  const char *End = Text.data() + Text.size();
  if (Text.empty() || std::from_chars(Text.data(), End, Number).ptr != End)
    return std::nullopt;
  return Number;
}

std::string secondsText(Duration Value) {
  std::string Text = std::to_string(toMillis(Value) / 1000.0);
  return Text.substr(0, Text.find('.') + 3);
}

} // namespace

OnlineService::OnlineService(OnlineServiceDependencies Parts)
    : Dependencies(Parts) {}

void OnlineService::start(CallerId Caller, RawRequest Request,
                          const RouteSettings &Route) {
  auto Added = std::make_unique<OnlineCall>();
  OnlineCall &Call = *Added;
  Call.Caller = Caller;
  Call.Request = std::move(Request);
  Call.Route = Route;
  const HttpHeaders &Headers = Call.Request.Headers;
  Call.RequestId = rawHeader(Headers, this->Dependencies.Protocol.RequestId);
  Call.Service = pickService(Route, hash64(Call.RequestId));
  Call.Fingerprint =
      CrashCounter::fingerprint(Call.Request.Target, Call.Request.Body);
  Call.Arrived = this->Dependencies.Loop.clock().now();
  Call.Deadline = Call.Arrived + Route.Timeout;
  if (const auto Left = readNumber(
          rawHeader(Headers, this->Dependencies.Protocol.RemainingMs)))
    Call.CallerTime = std::chrono::milliseconds(*Left);
  if (Call.CallerTime)
    Call.Deadline = std::min(Call.Deadline, Call.Arrived + *Call.CallerTime);
  if (const auto Last = readNumber(
          rawHeader(Headers, this->Dependencies.Protocol.LastEventId)))
    Call.LastEvent = static_cast<std::uint64_t>(*Last);
  this->Calls.emplace(Caller, std::move(Added));
  Call.DeadlineTimer = this->Dependencies.Loop.after(
      Call.Deadline - Call.Arrived, [this, Caller] { this->expired(Caller); });
  if (this->Dependencies.Crashes.isBlocked(Call.Fingerprint)) {
    this->refuse(Call, "equal requests broke three servers off",
                 DefaultRetryAfter);
    return;
  }
  this->sendToServer(Call);
}

OnlineCall *OnlineService::callOf(SendId Id) {
  const auto Found = this->Sends.find(Id);
  if (Found == this->Sends.end())
    return nullptr;
  const auto Call = this->Calls.find(Found->second);
  return Call == this->Calls.end() ? nullptr : Call->second.get();
}

SendOrder OnlineService::makeOrder(const OnlineCall &Call,
                                   const std::string &Server,
                                   const std::string &Address) const {
  const BackendProtocol &Protocol = this->Dependencies.Protocol;
  SendOrder Order;
  Order.Address = Address;
  Order.ConnectTime = ConnectTime;
  Order.EchoHeader = Protocol.RequestId;
  Order.EchoValue = Call.RequestId;
  Order.Request.Method = Call.Request.Method;
  Order.Request.Target = Call.Request.Target;
  Order.Request.Body = Call.Request.Body;
  for (const auto &[Name, Value] : Call.Request.Headers)
    if (!isHopByHop(Name) && !equalsIgnoringCase(Name, "Content-Length") &&
        !equalsIgnoringCase(Name, Protocol.RemainingMs) &&
        !equalsIgnoringCase(Name, Protocol.LastEventId) &&
        !equalsIgnoringCase(Name, Protocol.ExpectedServer))
      Order.Request.Headers.emplace_back(Name, Value);
  const Duration Left = Call.Deadline - this->Dependencies.Loop.clock().now();
  Order.Request.Headers.emplace_back(
      Protocol.RemainingMs,
      std::to_string(std::max<std::int64_t>(1, Left.count() / 1000)));
  Order.Request.Headers.emplace_back(Protocol.ExpectedServer, Server);
  if (Call.LastEvent)
    Order.Request.Headers.emplace_back(Protocol.LastEventId,
                                       std::to_string(*Call.LastEvent));
  return Order;
}

void OnlineService::sendToServer(OnlineCall &Call) {
  const Placement Choice =
      this->Dependencies.Placement.placeOnlineRequest(Call.Service, Call.Tried);
  const KnownServer *Server = Choice.Server;
  const Instant Now = this->Dependencies.Loop.clock().now();
  if (!Server || Call.Deadline - Now < LeastTime) {
    const std::string_view Why =
        Server ? "no time is left" : "no server of the service is known";
    if (Call.HeadPassed || Call.Runs > 0)
      this->fail(Call, BadGateway, Why);
    else
      this->refuse(Call, Why, DefaultRetryAfter);
    return;
  }
  if (Call.Runs == 0 && Call.Refusals == 0)
    if (const std::optional<Duration> Return = this->Overload.refuse(
            Call.Route, Call.Service, Choice, Call.CallerTime,
            this->Dependencies.Ids.number())) {
      this->Dependencies.Log.log(
          LogLevel::Info, "A request is turned away.",
          {{"request", Call.RequestId},
           {"server", Server->Entry.Id},
           {"waiting", Choice.Waiting},
           {"slots", Server->Entry.Slots},
           {"expected_wait_ms",
            toMillis(this->Overload.expectedWait(Call.Service, Choice))},
           {"target_ms", toMillis(Call.Route.TargetLatency)},
           {"retry_after_ms", toMillis(*Return)}});
      this->refuse(Call, "it could not be served in time", *Return);
      return;
    }
  Call.Server = Server->Entry.Id;
  Call.Tried.insert(Call.Server);
  Call.SentAt = Now;
  ++Call.Runs;
  Call.Sent = this->Dependencies.Channels.send(
      this->makeOrder(Call, Call.Server, Server->Entry.Address), *this);
  this->Sends.emplace(Call.Sent, Call.Caller);
  this->Dependencies.Loads.addOnlineRequest(Call.Server);
  this->armStallTimer(Call);
}

void OnlineService::armStallTimer(OnlineCall &Call) {
  this->Dependencies.Loop.cancel(Call.StallTimer);
  Call.StallTimer = 0;
  const Duration Limit =
      Call.Answer
          ? LeastStall
          : std::max(LeastStall, Call.Route.TargetLatency * StallTargets);
  Call.StallTimer = this->Dependencies.Loop.after(
      Limit, [this, Caller = Call.Caller] { this->stalled(Caller); });
}

void OnlineService::stalled(CallerId Caller) {
  const auto Found = this->Calls.find(Caller);
  if (Found == this->Calls.end())
    return;
  OnlineCall &Call = *Found->second;
  Call.StallTimer = 0;
  if (Call.Sent == 0)
    return;
  const KnownServer *Server = this->Dependencies.Servers.find(Call.Server);
  // A server that sends answers to others is slow or full, not silent.
  if (!Server || Server->HeardAt < Call.SentAt)
    this->Dependencies.Servers.failed(Call.Server);
  if (!Call.Route.mayRepeat() || Call.Runs >= Call.Route.MaxAttempts)
    return;
  this->endSend(Call, true);
  this->tryAgain(Call, "the server sent nothing for too long");
}

void OnlineService::endSend(OnlineCall &Call, bool CloseConnection) {
  if (Call.Sent == 0)
    return;
  if (CloseConnection)
    this->Dependencies.Channels.cancel(Call.Sent);
  this->Sends.erase(Call.Sent);
  Call.Sent = 0;
  this->Dependencies.Loads.removeOnlineRequest(Call.Server);
}

void OnlineService::answerHead(SendId Id, const RawHead &Head) {
  OnlineCall *Call = this->callOf(Id);
  if (!Call)
    return;
  if (this->Dependencies.Protocol.indicatesNotRun(Head)) {
    --Call->Runs;
    ++Call->Refusals;
    const std::string Server = Call->Server;
    this->endSend(*Call, true);
    if (Head.Status == this->Dependencies.Protocol.WrongServerStatus)
      this->Dependencies.Servers.failed(Server);
    this->pauseAndTryAgain(*Call);
    return;
  }
  this->Dependencies.Servers.succeeded(Call->Server);
  const bool Success = Head.Status >= 200 && Head.Status < 300;
  if (!Success && Head.Status >= 500 && Call->Route.mayRepeat() &&
      Call->Runs < Call->Route.MaxAttempts) {
    this->endSend(*Call, true);
    this->tryAgain(*Call, "the server failed the request");
    return;
  }
  if (Call->HeadPassed) {
    // A resumed stream keeps the head of its first server.
    if (!Success) {
      this->fail(*Call, BadGateway, "the stream could not be resumed");
      return;
    }
    Call->Events.reset();
    this->armStallTimer(*Call);
    return;
  }
  Call->Answer = Head;
  Call->Body.clear();
  Call->IsEventStream =
      Success && Head.header("Content-Type")
                     .starts_with(this->Dependencies.Protocol.EventStreamType);
  if (Call->IsEventStream)
    this->passHead(*Call);
  this->armStallTimer(*Call);
}

void OnlineService::passHead(OnlineCall &Call) {
  HttpHeaders Headers;
  for (const auto &[Name, Value] : Call.Answer->Headers)
    if (!isHopByHop(Name) && !equalsIgnoringCase(Name, "Content-Length"))
      Headers.emplace_back(Name, Value);
  Call.HeadPassed = true;
  if (Call.IsEventStream)
    // The length covers this server's answer only; one that is resumed could
    // end up with another one.
    this->Dependencies.Callers.sendHead(Call.Caller, Call.Answer->Status,
                                        Headers, std::nullopt);
  else
    this->Dependencies.Callers.reply(Call.Caller, Call.Answer->Status, Headers,
                                     Call.Body);
}

void OnlineService::answerBody(SendId Id, std::string_view Bytes) {
  OnlineCall *Call = this->callOf(Id);
  if (!Call)
    return;
  this->Dependencies.Servers.heard(Call->Server);
  if (!Call->FirstByteAt)
    Call->FirstByteAt = this->Dependencies.Loop.clock().now();
  if (Call->IsEventStream)
    this->passEvents(*Call, Bytes);
  else
    Call->Body.append(Bytes);
}

void OnlineService::passEvents(OnlineCall &Call, std::string_view Bytes) {
  std::string Passed;
  for (StreamEvent &Event : Call.Events.feed(Bytes)) {
    // After a resumption the next event must follow the last one.
    if (Event.Id && Call.Runs > 1 && Call.LastEvent &&
        *Event.Id != *Call.LastEvent + 1) {
      this->fail(Call, BadGateway, "the resumed stream left a gap");
      return;
    }
    if (Event.Id)
      Call.LastEvent = Event.Id;
    Passed += Event.Bytes;
  }
  if (Passed.empty())
    return;
  this->Dependencies.Callers.sendPiece(Call.Caller, Passed);
  this->armStallTimer(Call);
}

void OnlineService::answerDone(SendId Id) {
  OnlineCall *Call = this->callOf(Id);
  if (!Call)
    return;
  this->Dependencies.Crashes.answered(Call->Fingerprint);
  this->Overload.served(Call->Service,
                        this->Dependencies.Loop.clock().now() - Call->SentAt);
  this->endSend(*Call, false);
  if (!Call->IsEventStream) {
    this->passHead(*Call);
    this->end(*Call, Call->Answer->Status, "answered");
    return;
  }
  this->Dependencies.Callers.sendPiece(Call->Caller, Call->Events.rest());
  this->Dependencies.Callers.finish(Call->Caller);
  this->end(*Call, Call->Answer->Status, "streamed");
}

void OnlineService::sendFailed(SendId Id, SendFailure Failure,
                               std::string_view Detail) {
  OnlineCall *Call = this->callOf(Id);
  if (!Call)
    return;
  const std::string Server = Call->Server;
  this->endSend(*Call, false);
  this->Dependencies.Servers.failed(Server);
  if (Failure == SendFailure::NotSent) {
    --Call->Runs;
    ++Call->Refusals;
  } else {
    this->Dependencies.Detector.brokeOff(Server, Call->Fingerprint);
  }
  this->tryAgain(*Call, Detail);
}

void OnlineService::tryAgain(OnlineCall &Call, std::string_view Why) {
  this->Dependencies.Loop.cancel(std::exchange(Call.StallTimer, 0));
  Call.Events.reset();
  this->Dependencies.Log.log(
      LogLevel::Info, "A send did not succeed.",
      {{"request", Call.RequestId},
       {"server", Call.Server},
       {"reason", Why},
       {"possible_runs", Call.Runs},
       {"refusals", Call.Refusals},
       {"waited_ms",
        toMillis(this->Dependencies.Loop.clock().now() - Call.Arrived)}});
  const bool May = Call.Runs == 0 || (Call.Route.mayRepeat() &&
                                      Call.Runs < Call.Route.MaxAttempts);
  if (!May)
    this->fail(Call, BadGateway, Why);
  else if (this->Dependencies.Crashes.isBlocked(Call.Fingerprint))
    this->fail(Call, BadGateway, "equal requests broke three servers off");
  else
    this->sendToServer(Call);
}

void OnlineService::expired(CallerId Caller) {
  const auto Found = this->Calls.find(Caller);
  if (Found == this->Calls.end())
    return;
  OnlineCall &Call = *Found->second;
  Call.DeadlineTimer = 0;
  if (Call.Runs > 0 || Call.HeadPassed)
    this->fail(Call, GatewayTimeout, "the time is up");
  else
    this->refuse(Call, "the time is up", DefaultRetryAfter);
}

void OnlineService::callerLeft(CallerId Caller) {
  const auto Found = this->Calls.find(Caller);
  if (Found == this->Calls.end())
    return;
  OnlineCall &Call = *Found->second;
  // A request that runs at most once is left to end: it may have changed
  // something already, and its server frees the slot by itself.
  const bool Cancel = Call.Route.Kind != RequestKind::AtMostOnce;
  this->endSend(Call, Cancel);
  this->end(Call, 0, "caller_left");
}

void OnlineService::pauseAndTryAgain(OnlineCall &Call) {
  const Instant Now = this->Dependencies.Loop.clock().now();
  const std::size_t Servers =
      this->Dependencies.Servers.usable(Call.Service).size();
  const bool AllTried = Call.Tried.size() >= Servers;
  if (!AllTried) {
    this->tryAgain(Call, "the server did not take the request");
    return;
  }
  if (Now - Call.Arrived >= Call.Route.TargetLatency) {
    if (Call.HeadPassed || Call.Runs > 0)
      this->fail(Call, BadGateway, "no server took the request");
    else
      this->refuse(Call, "no server took the request", DefaultRetryAfter);
    return;
  }
  Call.Tried.clear();
  this->Dependencies.Loop.cancel(std::exchange(Call.StallTimer, 0));
  Call.PauseTimer =
      this->Dependencies.Loop.after(RefusedPause, [this, Caller = Call.Caller] {
        const auto Found = this->Calls.find(Caller);
        if (Found == this->Calls.end())
          return;
        Found->second->PauseTimer = 0;
        this->tryAgain(*Found->second, "every server was full");
      });
}

void OnlineService::refuse(OnlineCall &Call, std::string_view Why,
                           Duration RetryAfter) {
  this->endSend(Call, true);
  this->Dependencies.Callers.reply(
      Call.Caller, Unavailable,
      {{this->Dependencies.Protocol.RequestId, Call.RequestId},
       {this->Dependencies.Protocol.RetryAfter, secondsText(RetryAfter)}},
      Why);
  this->end(Call, Unavailable, Why);
}

void OnlineService::fail(OnlineCall &Call, int Status, std::string_view Why) {
  this->endSend(Call, true);
  if (Call.HeadPassed)
    this->Dependencies.Callers.breakOff(Call.Caller);
  else
    this->Dependencies.Callers.reply(
        Call.Caller, Status,
        {{this->Dependencies.Protocol.RequestId, Call.RequestId}}, Why);
  this->end(Call, Status, Why);
}

void OnlineService::end(OnlineCall &Call, int Status,
                        std::string_view Outcome) {
  this->Dependencies.Loop.cancel(Call.DeadlineTimer);
  this->Dependencies.Loop.cancel(Call.StallTimer);
  this->Dependencies.Loop.cancel(Call.PauseTimer);
  const Instant Now = this->Dependencies.Loop.clock().now();
  const double FirstMs =
      Call.FirstByteAt ? toMillis(*Call.FirstByteAt - Call.Arrived) : -1.0;
  this->Dependencies.Log.log(LogLevel::Info, "A request ended.",
                             {{"request", Call.RequestId},
                              {"route", Call.Route.Name},
                              {"service", Call.Service},
                              {"server", Call.Server},
                              {"possible_runs", Call.Runs},
                              {"refusals", Call.Refusals},
                              {"status", Status},
                              {"outcome", Outcome},
                              {"first_byte_ms", FirstMs},
                              {"total_ms", toMillis(Now - Call.Arrived)}});
  const std::string Label = "{route=\"" + Call.Route.Name + "\",status=\"" +
                            std::to_string(Status) + "\"}";
  this->Dependencies.Stats.add("requests_total" + Label);
  this->Dependencies.Stats.observe("request_seconds{route=\"" +
                                       Call.Route.Name + "\"}",
                                   toMillis(Now - Call.Arrived) / 1000.0);
  this->Calls.erase(Call.Caller);
}

} // namespace turmericpass
