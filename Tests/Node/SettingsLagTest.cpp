#include "Node/SettingsLag.h"
#include "Core/Hash.h"
#include "Core/IdSource.h"
#include "Node/KeyTrustPolicy.h"
#include "Node/PeerDirectory.h"
#include "Node/ViewRequests.h"
#include "Support/FakeChannels.h"
#include "Support/RunUntil.h"

#include <criterion/criterion.h>
#include <set>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

constexpr Duration Period = 100ms;

struct LagBench {
  ManualClock Time;
  SettingsLag Lag{0};

  /// Returns the number of requests within \p Span.
  int requestsFor(Duration Span, std::uint64_t Own, std::uint64_t Newest) {
    int Requests = 0;
    for (Duration Passed(0); Passed < Span; Passed += Period) {
      this->Time.advance(Period);
      if (this->Lag.mustRequest(Own, Newest, this->Time.now()))
        ++Requests;
    }
    return Requests;
  }
};

} // namespace

// Guards against 80 VMs that request each change from each other although the
// store delivers it to all of them within some 100 ms, also while one change
// follows another.
Test(SettingsLag, NoRequestWhileTheStoreDelivers) {
  LagBench Bench;
  cr_assert_eq(Bench.requestsFor(2s, 7, 7), 0);
  cr_assert_eq(Bench.requestsFor(2s, 7, 6), 0);
  for (std::uint64_t Version = 7; Version < 40; ++Version)
    cr_assert_eq(Bench.requestsFor(600ms, Version, Version + 1), 0);
}

// Guards against a VM that keeps its old settings: it requests newer ones about
// a second after it has heard of them, again soon, and also while newer ones
// still follow.
Test(SettingsLag, VmThatTheStoreDoesNotReachMakesRequests) {
  LagBench Bench;
  cr_assert_eq(Bench.requestsFor(600ms, 7, 8), 0);
  cr_assert_geq(Bench.requestsFor(300ms, 7, 8), 1);
  cr_assert_geq(Bench.requestsFor(1s, 7, 8), 2);
  LagBench Changing;
  int Requests = 0;
  for (std::uint64_t Version = 8; Version < 16; ++Version)
    Requests += Changing.requestsFor(200ms, 7, Version);
  cr_assert_geq(Requests, 1);
}

// Guards against a VM that bothers the others without end because it cannot use
// their document, and against one that stays slow for the next version.
Test(SettingsLag, VainRequestsBecomeRare) {
  LagBench Bench;
  cr_assert_leq(Bench.requestsFor(60s, 7, 8), 20);
  cr_assert_geq(Bench.requestsFor(11s, 7, 8), 2);
  cr_assert_eq(Bench.requestsFor(10s, 8, 8), 0);
  cr_assert_geq(Bench.requestsFor(2s, 8, 9), 2);
}

// Guards against requests for a version whose VM has gone.
Test(SettingsLag, NoRequestAfterTheNewerVmHasGone) {
  LagBench Bench;
  cr_assert_eq(Bench.requestsFor(500ms, 7, 8), 0);
  cr_assert_eq(Bench.requestsFor(5s, 7, 7), 0);
  cr_assert_eq(Bench.requestsFor(500ms, 7, 8), 0);
}

// Guards against first requests of many VMs at one moment, or too late.
Test(SettingsLag, RequestsOfManyVmsAreSpread) {
  std::set<Duration> FirstRequests;
  for (std::uint64_t Seed = 0; Seed < 80; ++Seed) {
    ManualClock Time;
    SettingsLag Lag(hash64(std::to_string(Seed)));
    Duration Passed(0);
    while (!Lag.mustRequest(7, 8, Time.now())) {
      Time.advance(10ms);
      Passed += 10ms;
    }
    cr_assert_geq(Passed, SettingsLag::FeedTime);
    cr_assert_leq(Passed, SettingsLag::FeedTime + SettingsLag::Spread);
    FirstRequests.insert(Passed);
  }
  cr_assert_geq(FirstRequests.size(), 20);
}

// Guards against a request to a VM with old settings, and against one to the
// port for digests.
Test(SettingsLag, RequestGoesToAVmWithNewerSettings) {
  BootClock Time;
  EventLoop Loop{Time};
  FakeChannels Channels;
  IdSource Ids{7};
  LoadTracker Loads{"self"};
  CrashCounter Crashes{Time};
  PeerDirectory Peers{Time, Loads, Crashes, "self", {"1.1.0.1:1", "a", 12}};
  NodeConfig Config;
  Config.ControlAddress = "1.1.0.1:77";
  std::string Received;
  ViewRequests Requests({Loop, Channels, Ids, Peers, Config,
                         [](const std::string &, const StoreView &) {},
                         [&](const std::string &, const StoreView &View) {
                           Received = View.Settings;
                         }},
                        0);
  for (const int Vm : {2, 3, 4}) {
    PeerDigest Digest;
    Digest.Incarnation = "n" + std::to_string(Vm);
    Digest.Zone = "a";
    Digest.Sequence = 1;
    Digest.SettingsVersion = Vm == 3 ? 8 : 7;
    Digest.HasStoreView = Vm != 3;
    Peers.handleDigest("1.1.0." + std::to_string(Vm) + ":1", Digest);
  }
  cr_assert_eq(Peers.newestSettings(), 8);
  const Instant Start = Time.now();
  while (Channels.All.empty() && Time.now() - Start < 1400ms) {
    Requests.requestNewerSettings(7);
    runFor(Loop, 20ms);
  }
  cr_assert_eq(Channels.All.size(), 1);
  const BackendRequest &Order = Channels.All[0].Order;
  cr_assert_str_eq(Order.Address.c_str(), "1.1.0.3:77");
  cr_assert_str_eq(Order.Request.Target.c_str(), "/settings");
  StoreView View;
  View.Settings = "document";
  Channels.head(1, 200);
  Channels.body(1, encodeView(View));
  Channels.done(1);
  cr_assert_str_eq(Received.c_str(), "document");
}

// Guards against a VM that cannot be revoked although that is required, and
// against one that refuses callers although it need not.
Test(KeyTrustPolicy, OnlyStrictRevocationRefusesKeys) {
  const Instant Contact = Instant() + 1h;
  const KeyTrustPolicy Strict(true, 5s);
  cr_assert(Strict.mayUseKeys(Contact, Contact + 5s));
  cr_assert_not(Strict.mayUseKeys(Contact, Contact + 5001ms));
  cr_assert(KeyTrustPolicy(false, 5s).mayUseKeys(Contact, Contact + 1h));
}
