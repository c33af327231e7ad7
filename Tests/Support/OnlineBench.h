#ifndef TURMERICPASS_TESTS_SUPPORT_ONLINEBENCH_H
#define TURMERICPASS_TESTS_SUPPORT_ONLINEBENCH_H

#include "Core/IdSource.h"
#include "Serving/CrashCounter.h"
#include "Serving/CrashDetector.h"
#include "Serving/CrashGuard.h"
#include "Serving/LoadTracker.h"
#include "Serving/OnlineService.h"
#include "Serving/PlacementPolicy.h"
#include "Serving/ServerDirectory.h"
#include "Support/FakeCallers.h"
#include "Support/FakeChannels.h"
#include "Support/RunUntil.h"
#include "Telemetry/Logger.h"
#include "Telemetry/Metrics.h"

namespace turmericpass {

/// An OnlineService with two servers, played by the test.
struct OnlineBench {
  BootClock Time;
  EventLoop Loop{Time};
  FakeChannels Channels;
  FakeCallers Callers;
  NullLogger Log;
  Metrics Stats;
  IdSource Ids{7};
  BackendProtocol Protocol;
  ServerDirectory Servers{Time};
  LoadTracker Loads{"self"};
  CrashCounter Crashes{Time};
  ServingSettings Settings;
  CrashDetector Detector{Loop,    Channels, Servers,
                         Crashes, Log,      [this] { return &this->Settings; }};
  /// Whether this VM is the one that tries a blocked request.
  bool IsChosenForTrials = false;
  CrashGuard Guard{Crashes, Detector, Log,
                   [this](std::uint64_t) { return this->IsChosenForTrials; }};
  PlacementPolicy Placement{Time, Servers, Loads, Channels, "a", "self"};
  RouteSettings Route;
  /// The identity and further headers of the next caller.
  CallerIdentity Identity;
  HttpHeaders MoreHeaders;
  std::string Body = "body";
  OnlineService Online;

  OnlineBench()
      : Online({Loop, Callers, Channels, Servers, Loads, Placement, Guard, Ids,
                Protocol, Log, Stats}) {
    Protocol.RequestId = "Id";
    Protocol.RemainingMs = "Remaining";
    Protocol.ExpectedServer = "Server";
    Protocol.NotRun = "Not-Run";
    Protocol.Leaving = "Leaving";
    Protocol.LastEventId = "After";
    Protocol.PromptParts = "Parts";
    Protocol.RetryAfter = "Retry-After";
    Protocol.Authorization = "Authorization";
    Protocol.KeyScheme = "Bearer";
    Protocol.Organisation = "Organisation";
    Route.Name = "route";
    Route.Timeout = std::chrono::seconds(5);
    Route.MaxAttempts = 2;
    Route.Services = {{"model", 1}};
    Servers.update({"s1", "model", "127.0.0.1:1", "a", 2, false, 1});
    Servers.update({"s2", "model", "127.0.0.1:2", "a", 2, false, 1});
  }

  void start(CallerId Caller, RequestKind Kind, bool Resumable = false,
             const std::string &Remaining = "4000",
             const std::string &Parts = "") {
    Route.Kind = Kind;
    Route.Resumable = Resumable;
    RawRequest Request;
    Request.Method = "POST";
    Request.Target = "/p/" + std::to_string(Caller);
    Request.Headers = {{"Host", "h"},
                       {"Id", "r" + std::to_string(Caller)},
                       {"Remaining", Remaining},
                       {"Connection", "keep-alive"},
                       {"X-Own", "kept"}};
    if (!Parts.empty())
      Request.Headers.emplace_back("Parts", Parts);
    Request.Body = this->Body;
    Request.Headers.insert(Request.Headers.end(), MoreHeaders.begin(),
                           MoreHeaders.end());
    Online.startCall(Caller, std::move(Request), Route, Identity);
  }

  const FakeCallers::Answer &answer(CallerId Caller) {
    return Callers.Answers[Caller];
  }
  std::string sentHeader(SendId Id, std::string_view Name) {
    return std::string(
        rawHeader(Channels.All[Id - 1].Order.Request.Headers, Name));
  }
  void stream(SendId Id, std::string_view Bytes) {
    Channels.head(Id, 200,
                  {{"Content-Type", "text/event-stream"},
                   {"Stamp", "of " + std::to_string(Id)}});
    Channels.body(Id, Bytes);
  }
};

} // namespace turmericpass

#endif
