#include "Node/NodeConfig.h"
#include "Node/PeerDigest.h"
#include "Node/PeerDirectory.h"
#include "Node/PeerView.h"

#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>
#include <rapidcheck.h>
#include <unistd.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

const std::string GoodConfig = R"(node = "a1"
zone = "a"
ip = "127.0.0.1"
front = "127.0.0.1:1"
ready = "127.0.0.1:2"
control = ""
peer_port = 3
metrics_port = 4
seeds = []
store = "127.0.0.1:5"
store_writes_per_s = 800
store_reads_per_s = 2000.0
store_row_bytes = 65536
keep_jobs_s = 120
stop_time_s = 8
)";

Result<NodeConfig> readText(const std::string &Text) {
  const std::string Path =
      std::filesystem::temp_directory_path() /
      ("turmericpass-node-" + std::to_string(getpid()) + ".toml");
  std::ofstream(Path) << Text;
  Result<NodeConfig> Read = readNodeConfig(Path);
  std::filesystem::remove(Path);
  return Read;
}

PeerDigest digestOf(const std::string &Node, std::uint64_t Sequence) {
  PeerDigest Digest;
  Digest.Incarnation = Node;
  Digest.Zone = "a";
  Digest.Sequence = Sequence;
  Digest.HasStoreView = true;
  Digest.ServerLoads[serverKey("s")] = {2, 1};
  Digest.Crashes = {{77, 1, 2, true, true, 4, {{5, 3}}, {8, 9, 10}}};
  return Digest;
}

struct PeerBench {
  ManualClock Time;
  LoadTracker Loads{"self"};
  CrashCounter Crashes{Time};
  PeerDirectory Peers{Time, Loads, Crashes, "self", {"1.1.0.1:1", "a", 12}};
};

} // namespace

// Guards against reporting only the first invalid key, or no line number.
Test(NodeConfig, EachFaultIsNamedWithItsLine) {
  cr_assert(readText(GoodConfig));
  std::string Text = GoodConfig;
  Text.replace(Text.find("peer_port = 3"), 13, "peer_port = 99999");
  Text.replace(Text.find("zone = \"a\"\n"), 11, "zone = 5\n");
  const Result<NodeConfig> Read = readText(Text + "colour = 1\n");
  cr_assert_not(Read);
  const std::string &Message = Read.error().Message;
  cr_assert_neq(Message.find(":7: key \"peer_port\" must be a number from 1"),
                std::string::npos, "%s", Message.c_str());
  cr_assert_neq(Message.find(":2: key \"zone\" must be a string"),
                std::string::npos);
  cr_assert_neq(Message.find("key \"colour\" is not a known key"),
                std::string::npos);
}

// Guards against starting with a missing or truncated settings file.
Test(NodeConfig, MissingAndBrokenFilesAreErrors) {
  cr_assert_not(readNodeConfig("no-such-file.toml"));
  cr_assert_not(readText("node = \"a"));
  cr_assert_not(readText(""));
}

// Guards against copies of requests without the operator's consent, and against
// a share that could overload the servers.
Test(NodeConfig, HedgingIsOffByDefaultAndBounded) {
  cr_assert_eq(readText(GoodConfig)->Hedging.Share, 0);
  cr_assert_eq(readText(GoodConfig)->Hedging.MinDelay, Duration(20ms));
  cr_assert_eq(readText(GoodConfig)->Hedging.FreeSlots, 0.2);
  const std::string Text = GoodConfig + "hedge_share = 0.02\n"
                                        "hedge_min_delay_ms = 35\n"
                                        "hedge_free_slots = 0.5\n";
  const Result<NodeConfig> Read = readText(Text);
  cr_assert(Read);
  cr_assert_eq(Read->Hedging.Share, 0.02);
  cr_assert_eq(Read->Hedging.MinDelay, Duration(35ms));
  cr_assert_eq(Read->Hedging.FreeSlots, 0.5);
  cr_assert_eq(changedKeys(*readText(GoodConfig), *Read).InEffect,
               "hedge_share hedge_min_delay_ms hedge_free_slots");
  for (const char *Wrong : {"hedge_share = 0.21", "hedge_share = -0.01",
                            "hedge_share = \"1\"", "hedge_min_delay_ms = 0",
                            "hedge_free_slots = 1.1", "hedge_free_slots = nan"})
    cr_assert_not(readText(GoodConfig + Wrong + "\n"), "%s", Wrong);
}

// Guards against a reload that does not tell which changes are in effect.
Test(NodeConfig, ChangedKeysAreNamed) {
  const Result<NodeConfig> Before = readText(GoodConfig);
  std::string Text = GoodConfig;
  Text.replace(Text.find("stop_time_s = 8"), 15, "stop_time_s = 9");
  Text.replace(Text.find("peer_port = 3"), 13, "peer_port = 5");
  const ChangedKeys Changed =
      changedKeys(*Before, *readText(Text + "cpu_share = 0.12\n"));
  cr_assert_str_eq(Changed.InEffect.c_str(), "stop_time_s");
  cr_assert_str_eq(Changed.AfterRestart.c_str(), "peer_port cpu_share");
  cr_assert_not(readText(GoodConfig + "cpu_share = 0\n"));
}

// Guards against fields that are lost between encoding and decoding.
Test(PeerDigest, DecodedDigestIsTheEncodedOne) {
  const Result<PeerDigest> Read = decodeDigest(encodeDigest(digestOf("n", 9)));
  cr_assert(Read);
  cr_assert_eq(Read->Sequence, 9);
  cr_assert(Read->HasStoreView);
  cr_assert_eq(Read->ServerLoads.at(serverKey("s")).Online, 2);
  cr_assert_eq(Read->Crashes.at(0).Servers.at(0).Count, 3);
  cr_assert_eq(Read->Crashes.at(0).Resets, 1);
  cr_assert_eq(Read->Crashes.at(0).AgeSeconds, 2);
  cr_assert(Read->Crashes.at(0).Stored);
  cr_assert(Read->Crashes.at(0).IsPart);
  cr_assert_eq(Read->Crashes.at(0).Trials, 4);
  cr_assert_eq(Read->Crashes.at(0).Requests.size(), 3);
}

// Guards against a crash on datagrams or responses of another program.
Test(PeerDigest, AnyBytesAreReadWithoutACrash) {
  cr_assert(rc::check([](const std::string &Bytes) {
    (void)decodeDigest(Bytes);
    (void)decodeView(Bytes);
    std::string Cut = encodeDigest(digestOf("n", 1));
    Cut.resize(*rc::gen::inRange<std::size_t>(0, Cut.size()));
    RC_ASSERT_FALSE(decodeDigest(Cut).has_value());
  }));
}

// Guards against a reordered digest that replaces a newer one.
Test(PeerBook, OvertakenDigestsAreDropped) {
  PeerBench Bench;
  Bench.Peers.handleDigest("1.1.1.1:1", digestOf("n", 2));
  PeerDigest Old = digestOf("n", 1);
  Old.ServerLoads.clear();
  Bench.Peers.handleDigest("1.1.1.1:1", Old);
  cr_assert_eq(Bench.Loads.totalLoad("s").Online, 2);
  cr_assert(Bench.Crashes.isBlocked({0, {77}}));
}

// Guards against counting the load of a VM that has stopped, and against
// assigning work to a VM that is stopping.
Test(PeerBook, SilentAndStoppingVmsTakeNoWork) {
  PeerBench Bench;
  Bench.Peers.handleDigest("1.1.1.1:1", digestOf("n", 1));
  PeerDigest Stopping = digestOf("m", 1);
  Stopping.Stopping = true;
  Bench.Peers.handleDigest("1.1.1.2:1", Stopping);
  cr_assert_eq(Bench.Peers.aliveNames().size(), 1);
  Bench.Time.advance(PeerDirectory::SilenceLimit);
  cr_assert_eq(Bench.Peers.detectSilentPeers().size(), 2);
  cr_assert(Bench.Peers.detectSilentPeers().empty());
  cr_assert_not(Bench.Peers.isAlive("n"));
  cr_assert(Bench.Peers.isAlive("self"));
  cr_assert_eq(Bench.Loads.totalLoad("s").Online, 0);
  Bench.Peers.handleDigest("1.1.1.1:1", digestOf("n", 2));
  cr_assert(Bench.Peers.isAlive("n"));
}

// Guards against sending digests to other zones as often as within the zone.
Test(PeerBook, AddressesOfOtherZonesAreLeftOutWhenAsked) {
  PeerBench Bench;
  PeerDigest Far = digestOf("far", 1);
  Far.Zone = "b";
  Bench.Peers.handleDigest("1.1.1.1:1", digestOf("near", 1));
  Bench.Peers.handleDigest("1.1.1.2:1", Far);
  Bench.Peers.setListedNodes({{"1.1.1.2:1", "b", 12}, {"1.1.1.3:1", "a", 12}});
  cr_assert_eq(Bench.Peers.addresses().size(), 3);
  cr_assert_eq(Bench.Peers.addresses("a").size(), 2);
}

// Guards against a store view that changes between encoding and decoding.
Test(PeerView, DecodedViewIsTheEncodedOne) {
  StoreView View;
  View.Settings = "document";
  StoredRow Row;
  Row.Key = "s1";
  Row.Value = std::string("a\0b", 3);
  Row.Version = 7;
  View.Servers = {Row};
  const Result<StoreView> Read = decodeView(encodeView(View));
  cr_assert(Read);
  cr_assert_str_eq(Read->Settings.c_str(), "document");
  cr_assert(Read->Servers.at(0).Value == Row.Value);
  cr_assert_eq(Read->Servers.at(0).Version, 7);
}

// Guards against a VM that fails to start because the platform lacks a value,
// and against a value that is ignored.
Test(NodeConfig, RevocationMayBeLeftOut) {
  const auto Read = [](const std::string &More) {
    return readText(GoodConfig + More);
  };
  for (const char *Missing :
       {"", "refuse_stale_keys = \"\"\nstale_keys_ms = \"\"\n",
        "refuse_stale_keys = \"{{bounds.strict_revoke}}\"\nstale_keys_ms = "
        "\"null\"\n"}) {
    const Result<NodeConfig> Config = Read(Missing);
    cr_assert(Config, "%s", Missing);
    cr_assert_not(Config->RefuseStaleKeys);
    cr_assert_eq(Config->StaleKeysTime, Duration(5s));
  }
  for (const char *Given :
       {"refuse_stale_keys = true\nstale_keys_ms = 7000\n",
        "refuse_stale_keys = \"true\"\nstale_keys_ms = \"7000\"\n",
        "refuse_stale_keys = \"True\"\nstale_keys_ms = 7000.0\n"}) {
    const Result<NodeConfig> Config = Read(Given);
    cr_assert(Config, "%s", Given);
    cr_assert(Config->RefuseStaleKeys);
    cr_assert_eq(Config->StaleKeysTime, Duration(7s));
  }
  cr_assert_not(Read("refuse_stale_keys = \"false\"\n")->RefuseStaleKeys);
  for (const char *Invalid :
       {"refuse_stale_keys = 1", "refuse_stale_keys = \"yes\"",
        "stale_keys_ms = 0", "stale_keys_ms = -1", "stale_keys_ms = \"5s\"",
        "stale_keys_ms = true"})
    cr_assert_not(Read(Invalid), "%s", Invalid);
}

// Guards against a VM that starts again and takes older settings from one VM
// although another one has newer ones.
Test(PeerDirectory, StoreViewsWithTheNewestSettingsArePreferred) {
  PeerBench Bench;
  for (const int Vm : {2, 3, 4, 5}) {
    PeerDigest Digest = digestOf("n" + std::to_string(Vm), 1);
    Digest.SettingsVersion = static_cast<std::uint64_t>(Vm);
    Digest.HasStoreView = Vm < 5;
    Bench.Peers.handleDigest("1.1.0." + std::to_string(Vm) + ":1", Digest);
  }
  const std::vector<std::string> View = {"1.1.0.4:1"};
  cr_assert(Bench.Peers.storeViewAddresses() == View);
  cr_assert_eq(Bench.Peers.newestSettings(), 5);
  const std::vector<std::string> Newer = {"1.1.0.4:1", "1.1.0.5:1"};
  cr_assert(Bench.Peers.addressesWithSettingsAfter(3) == Newer);
  Bench.Time.advance(2s);
  Bench.Peers.detectSilentPeers();
  cr_assert_eq(Bench.Peers.newestSettings(), 0);
}
