#ifndef TURMERICPASS_TESTS_SUPPORT_GATEWAYBENCH_H
#define TURMERICPASS_TESTS_SUPPORT_GATEWAYBENCH_H

#include "Control/DecisionLog.h"
#include "Core/Hash.h"
#include "Gateway/GatewayDaemon.h"
#include "Http/HttpServer.h"
#include "Loop/EventLoop.h"
#include "RawHttp/ChannelHttpClient.h"
#include "RawHttp/TcpBackendChannels.h"
#include "Support/FakeIntentLedger.h"
#include "Support/FakePeerPort.h"
#include "Support/RunUntil.h"
#include "Support/StaticFleet.h"
#include "Telemetry/Logger.h"
#include "Telemetry/Metrics.h"
#include "Telemetry/Tracer.h"

#include <criterion/criterion.h>
#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace turmericpass {

/// Two nodes in two zones, a model, a plain service, and one whose calls run
/// at most once. Customer "hanbit" has the key "secret".
inline FleetSettings benchSettings() {
  FleetSettings Settings;
  Settings.Version = 1;
  for (const char *Zone : {"a", "b"})
    Settings.Zones[Zone] = {Zone, "r"};
  Settings.Nodes["a1"] = {"a1", "a", "127.0.0.1", 0, 0, 7101, 0, 0, 0};
  Settings.Nodes["b1"] = {"b1", "b", "127.0.0.1", 0, 0, 7102, 0, 0, 0};
  ServiceSettings Model{"assistant", ServiceKind::Model, "bobbin", true, true,
                        1000};
  ServiceSettings Plain{"webshop", ServiceKind::Plain, "", true, true, 0};
  ServiceSettings Once{"orders", ServiceKind::Plain, "", false, false, 0};
  for (const ServiceSettings &Service : {Model, Plain, Once}) {
    Settings.Services[Service.Name] = Service;
    for (const char *Zone : {"a", "b"}) {
      const std::string Name = Service.Name + Zone;
      Settings.Servers[Name] = {Name, Service.Name, Zone, "127.0.0.1:1", 8};
    }
  }
  ClassSettings Question;
  Question.Name = "question";
  ClassSettings Batch;
  Batch.Name = "nightly";
  Batch.Kind = ClassKind::Batch;
  Settings.Classes = {{"question", Question}, {"nightly", Batch}};
  CustomerSettings Customer;
  Customer.Name = "hanbit";
  Customer.KeyHashes = {sha256Hex("secret")};
  Customer.Classes = {"question", "nightly"};
  Settings.Customers["hanbit"] = Customer;
  return Settings;
}

/// What one caller got.
struct CallerView {
  HttpCallId Call = 0;
  std::optional<HttpReply> Done;
  std::string Got;
  bool Failed = false;

  bool isOver() const { return this->Done || this->Failed; }
};

/// A gateway on loopback HTTP with a fake peer port and a manual clock.
class GatewayBench {
public:
  static constexpr const char *PeerA = "127.0.0.1:7101";
  static constexpr const char *PeerB = "127.0.0.1:7102";

  explicit GatewayBench(FleetSettings Settings = benchSettings(),
                        JobService *Jobs = nullptr)
      : Loop(LoopTime), Http(Loop, {}), Ids(7),
        Spans(Time, Ids, "test", "a1", false), Records(Time, 100, 100000),
        Fleet(std::move(Settings)), Channels(Loop),
        Client(Loop, Channels, std::size_t{64} << 20U),
        Gateway({Loop, Http, Peers, Time, Ids, Log, Stats, Spans, Fleet,
                 Records, &Intents, Jobs, "a"}) {
    // As in DaemonContext: a write to a broken connection is an error value.
    std::signal(SIGPIPE, SIG_IGN);
    this->Port = *this->Http.listen("127.0.0.1", 0);
    this->Peers.onReceive([this](const std::string &From, const Message &Body) {
      this->Gateway.received(From, Body);
    });
    this->Peers.onLost([this](const std::string &Peer) {
      this->Gateway.handlePeerLoss(Peer);
    });
  }

  std::shared_ptr<CallerView> call(HttpRequest Request) {
    return this->start(std::move(Request), {});
  }

  /// Like call(), and collects the pieces of a stream.
  std::shared_ptr<CallerView> callStream(HttpRequest Request) {
    return this->start(
        std::move(Request),
        [](CallerView &View, std::string_view Bytes) { View.Got += Bytes; });
  }

  bool until(const std::function<bool()> &Holds) {
    return runUntil(this->Loop, Holds);
  }

  /// Waits for the submission number \p Count, counted from 1.
  Submit submission(std::size_t Count) {
    cr_assert(
        this->until([&] { return this->Peers.all<Submit>().size() >= Count; }));
    return this->Peers.all<Submit>()[Count - 1];
  }

  HttpReply replyOf(const std::shared_ptr<CallerView> &View) {
    cr_assert(this->until([&] { return View->isOver(); }));
    cr_assert(View->Done.has_value());
    return *View->Done;
  }

  BootClock LoopTime;
  ManualClock Time;
  EventLoop Loop;
  HttpServer Http;
  FakePeerPort Peers;
  IdSource Ids;
  NullLogger Log;
  Metrics Stats;
  Tracer Spans;
  DecisionLog Records;
  StaticFleet Fleet;
  FakeIntentLedger Intents;
  TcpBackendChannels Channels;
  ChannelHttpClient Client;
  GatewayDaemon Gateway;
  std::uint16_t Port = 0;

private:
  std::shared_ptr<CallerView>
  start(HttpRequest Request,
        const std::function<void(CallerView &, std::string_view)> &Piece) {
    auto View = std::make_shared<CallerView>();
    HttpCallHandlers Handlers;
    if (Piece)
      Handlers.Piece = [View, Piece](std::string_view Bytes) {
        Piece(*View, Bytes);
      };
    Handlers.Done = [View](HttpReply Reply) { View->Done = std::move(Reply); };
    Handlers.Failed = [View](const Error &, HttpProgress) {
      View->Failed = true;
    };
    View->Call = this->Client.call("127.0.0.1:" + std::to_string(this->Port),
                                   std::move(Request), std::chrono::seconds(20),
                                   std::move(Handlers));
    return View;
  }
};

inline HttpRequest post(const std::string &Path, const std::string &Body) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = Path;
  Request.Headers = {{"Authorization", "Bearer secret"},
                     {"Content-Type", "application/json"}};
  Request.Body = Body;
  return Request;
}

inline HttpRequest chat(bool Stream) {
  return post("/v1/chat/completions",
              std::string(R"({"model":"bobbin","messages":[{"role":"user",)") +
                  R"("content":"hello"}],"stream":)" +
                  (Stream ? "true}" : "false}"));
}

/// A call to the service whose calls run at most once.
inline HttpRequest order(const std::string &Key, const std::string &Body) {
  HttpRequest Request = post("/services/orders/new", Body);
  Request.Headers.emplace_back("Idempotency-Key", Key);
  return Request;
}

inline Chunk chunkOf(const Submit &Work, std::uint64_t Offset,
                     const std::string &Text) {
  return {Work.RequestId,
          Work.Attempt,
          Offset,
          {static_cast<std::uint32_t>(Offset + 100)},
          {Text}};
}

inline Finish finishOf(const Submit &Work, FinishCode Code, Execution Ran) {
  Finish Ending;
  Ending.RequestId = Work.RequestId;
  Ending.Attempt = Work.Attempt;
  Ending.Code = Code;
  Ending.Ran = Ran;
  return Ending;
}

} // namespace turmericpass

#endif
