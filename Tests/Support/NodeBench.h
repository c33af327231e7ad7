#ifndef TURMERICPASS_TESTS_SUPPORT_NODEBENCH_H
#define TURMERICPASS_TESTS_SUPPORT_NODEBENCH_H

#include "Core/IdSource.h"
#include "Node/ServingNode.h"
#include "Support/FakeChannels.h"
#include "Support/MemoryRowStore.h"
#include "Support/RawPeer.h"
#include "Support/RunUntil.h"
#include "Telemetry/Logger.h"
#include "platform/PlatformAdapter.h"

#include <criterion/criterion.h>

namespace turmericpass {

/// A node with one server, which the test plays, as are its callers. The node
/// is killed 5 s after a stop begins.
struct NodeBench {
  BootClock Time;
  EventLoop Loop{Time};
  FakeChannels Channels;
  MemoryRowStore Rows{Loop};
  PlatformAdapter Adapter;
  IdSource Ids{7};
  NullLogger Log;
  NodeConfig Config = makeConfig();
  ServingNode Node{{Loop, Channels, Rows, Adapter, Ids, Log}, Config};

  explicit NodeBench(const std::string &ServerAddress = "127.0.0.1:1") {
    this->Rows.put("op", "", "config", makeDocument(7, ""));
    this->Rows.put("servers", "", "s1",
                   R"({"service": "s", "address": ")" + ServerAddress +
                       R"(", "zone": "z", "slots": 8, "state": "ready",
                          "born": 1})");
    cr_assert(this->Node.start());
    cr_assert(runUntil(this->Loop, [&] { return this->isReady(); }));
  }

  /// Returns a document of \p Version with the fields \p More.
  static std::string makeDocument(int Version, const std::string &More) {
    return R"({"version": )" + std::to_string(Version) + R"(, "routes": [
        {"name": "r", "host": "h", "path_prefix": "/r/",
         "kind": "non_idempotent", "service": "s", "timeout_ms": 15000,
         "target_latency_ms": 400, "priority": 1, "max_attempts": 1}],
      "services": [{"name": "s", "health_path": "/healthz", "max_conns": 100}],
      "limits": {"max_header_bytes": 16384, "max_body_bytes": 16777216,
                 "header_timeout_ms": 15000, "idle_timeout_ms": 15000})" +
           More + "}";
  }
  static std::uint16_t freePort() {
    RawPeer Free;
    return Free.listen();
  }
  static NodeConfig makeConfig() {
    const auto Address = [] {
      return "127.0.0.1:" + std::to_string(freePort());
    };
    NodeConfig Made;
    Made.Name = "n";
    Made.Zone = "z";
    Made.Ip = "127.0.0.1";
    Made.FrontAddress = Address();
    Made.ReadyAddress = Address();
    Made.ControlAddress = Address();
    Made.PeerPort = freePort();
    Made.MetricsPort = freePort();
    Made.StopTimeout = std::chrono::seconds(5);
    return Made;
  }
  static std::uint16_t portOf(const std::string &Address) {
    return static_cast<std::uint16_t>(
        std::stoi(Address.substr(Address.find(':') + 1)));
  }

  bool isReady() {
    RawPeer Check;
    Check.connect(portOf(this->Config.ReadyAddress));
    Check.write("GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n");
    return runUntil(this->Loop,
                    [&] {
                      Check.read();
                      return Check.Received.find("\r\n\r\n") !=
                             std::string::npos;
                    }) &&
           Check.Received.starts_with("HTTP/1.1 200");
  }

  void connect(RawPeer &Caller) const {
    Caller.connect(portOf(this->Config.FrontAddress));
  }
  /// Returns the status line and headers of the answer to \p Caller.
  std::string answerTo(RawPeer &Caller) {
    cr_assert(runUntil(this->Loop, [&] {
      Caller.read();
      return Caller.Received.find("\r\n\r\n") != std::string::npos;
    }));
    return Caller.Received;
  }
  /// Returns the ids of the sends that carry callers' requests.
  std::vector<SendId> callerSends() const { return this->sendsTo("/r/"); }
  /// Returns the ids of the sends whose targets begin with \p Prefix.
  std::vector<SendId> sendsTo(std::string_view Prefix) const {
    std::vector<SendId> Found;
    for (const FakeChannels::Sent &Each : this->Channels.All)
      if (Each.Order.Request.Target.starts_with(Prefix))
        Found.push_back(Each.Id);
    return Found;
  }
};

} // namespace turmericpass

#endif
