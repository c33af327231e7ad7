#include "StandIns/StandInEngine.h"
#include "RawHttp/ChannelHttpClient.h"
#include "RawHttp/TcpBackendChannels.h"
#include "StandIns/EngineOrders.h"
#include "StandIns/StandInService.h"
#include "Support/RunUntil.h"
#include "Telemetry/Logger.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

/// Sends requests to one stand-in and records the reply bodies, or the tags of
/// tagged requests, in order of arrival.
struct Caller {
  BootClock Time;
  EventLoop Loop{Time};
  NullLogger Log;
  TcpBackendChannels Channels{Loop};
  ChannelHttpClient Client{Loop, Channels, std::size_t{1} << 20U};
  std::string Address;
  std::vector<std::string> Replies;
  int Failures = 0;

  void send(const std::string &Path, const std::string &Body,
            const std::string &Tag = "") {
    HttpCallHandlers Handlers;
    Handlers.Done = [this, Tag](const HttpReply &Reply) {
      this->Replies.push_back(Tag.empty() ? Reply.Body : Tag);
    };
    Handlers.Failed = [this](const Error &, HttpProgress) { ++this->Failures; };
    this->Client.call(this->Address,
                      {"POST", Path, "", {{"X-Request-Id", Tag}}, Body}, 20s,
                      Handlers);
  }

  bool waitFor(std::size_t Count) {
    return runUntil(this->Loop, [&] { return this->Replies.size() == Count; });
  }
};

std::string makeOrder(int Fencing) {
  return R"({"fencing":)" + std::to_string(Fencing) +
         R"(,"deadline_ms":9,"kind":"load","name":"m"})";
}

EngineOptions fastOptions() {
  EngineOptions Options;
  Options.Slots = 1;
  Options.TokenMs = 1;
  return Options;
}

} // namespace

// Guards against a stand-in that does not reproduce head-of-line blocking.
Test(StandInEngine, OneSlotServesInOrderOfArrival) {
  Caller Caller;
  StandInEngine Engine(Caller.Loop, Caller.Log, fastOptions(), [] {});
  Caller.Address =
      "127.0.0.1:" + std::to_string(*Engine.listen("127.0.0.1", 0));
  Caller.send("/v1/completions", R"({"prompt":"[[tokens=30]]"})", "long");
  cr_assert(
      runUntil(Caller.Loop, [&] { return Engine.stats()["running"] == 1; }));
  Caller.send("/v1/completions", R"({"prompt":"[[tokens=1]]"})", "short");
  cr_assert(Caller.waitFor(2));
  cr_assert(Caller.Replies == std::vector<std::string>({"long", "short"}));
}

Test(StandInEngine, FrozenEngineAnswersAfterTheFreeze) {
  Caller Caller;
  StandInEngine Engine(Caller.Loop, Caller.Log, fastOptions(), [] {});
  Caller.Address =
      "127.0.0.1:" + std::to_string(*Engine.listen("127.0.0.1", 0));
  Caller.send("/fault", R"({"kind":"freeze"})");
  cr_assert(Caller.waitFor(1));
  Caller.send("/v1/completions", R"({"prompt":"a"})", "held");
  Caller.Loop.runOnce(20ms);
  Caller.Loop.runOnce(20ms);
  cr_assert(Caller.Replies.size() == 1);
  Caller.send("/fault", R"({"kind":"none"})");
  cr_assert(Caller.waitFor(3));
  cr_assert(Caller.Replies.back() == "held");
}

Test(StandInEngine, MarkedPromptCrashesIt) {
  Caller Caller;
  int Crashes = 0;
  StandInEngine Engine(Caller.Loop, Caller.Log, fastOptions(),
                       [&] { ++Crashes; });
  Caller.Address =
      "127.0.0.1:" + std::to_string(*Engine.listen("127.0.0.1", 0));
  Caller.send("/v1/completions", R"({"prompt":"a [[crash]]"})");
  cr_assert(runUntil(Caller.Loop, [&] { return Crashes == 1; }));
  Caller.send("/fault", R"({"kind":"no such fault"})");
  cr_assert(Caller.waitFor(1));
  cr_assert(Caller.Replies[0].find("wrong_tag") != std::string::npos);
}

// Guards against fencing tests that pass because the stand-in always rejects,
// or never rejects, outdated fencing numbers.
Test(StandInEngine, OldFencingNumberIsRefusedOnlyIfChecked) {
  EngineOrders Checking("m", true);
  cr_assert(Checking.handle(makeOrder(3)).Status == 200);
  cr_assert(Checking.handle(makeOrder(3)).Status == 200);
  cr_assert(Checking.handle(makeOrder(2)).Status == 409);
  EngineOrders Ignoring("m", false);
  cr_assert(Ignoring.handle(makeOrder(3)).Status == 200);
  cr_assert(Ignoring.handle(makeOrder(2)).Status == 200);
  cr_assert(Ignoring.handle("{}").Status == 400);
}

// Guards against a wrong execution count when the service crashes.
Test(StandInService, CrashBeforeAndAfterDifferInTheCount) {
  Caller Caller;
  int Crashes = 0;
  StandInService Service(Caller.Loop, Caller.Log, 1ms, [&] { ++Crashes; });
  Caller.Address =
      "127.0.0.1:" + std::to_string(*Service.listen("127.0.0.1", 0));
  Caller.send("/fault", R"({"kind":"crash_before"})");
  cr_assert(Caller.waitFor(1));
  Caller.send("/x", "");
  cr_assert(runUntil(Caller.Loop, [&] { return Crashes == 1; }));
  cr_assert(Service.stats()["executed"] == 0);
  Caller.send("/fault", R"({"kind":"none"})");
  Caller.send("/fault", R"({"kind":"crash_after"})");
  cr_assert(Caller.waitFor(3));
  Caller.send("/x", "");
  cr_assert(runUntil(Caller.Loop, [&] { return Crashes == 2; }));
  cr_assert(Service.stats()["executed"] == 1);
}
