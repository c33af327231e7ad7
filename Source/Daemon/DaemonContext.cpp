#include "Daemon/DaemonContext.h"

#include "Core/EnumTable.h"

#include <csignal>
#include <ctime>
#include <utility>

namespace turmericpass {

namespace {

using namespace std::chrono_literals;

constexpr auto RoleNames = makeEnumTable<DaemonRole>({
    {DaemonRole::Gateway, "gateway"},
    {DaemonRole::Dispatcher, "dispatcher"},
    {DaemonRole::Batcher, "batcher"},
    {DaemonRole::Controller, "controller"},
});

constexpr std::size_t MaxReplyBytes = std::size_t{256} << 20U;
constexpr Duration DrainCheckPeriod = 20ms;

std::uint16_t portOf(const NodeSettings &Node, DaemonRole Role) {
  switch (Role) {
  case DaemonRole::Gateway:
    return Node.GatewayPort;
  case DaemonRole::Dispatcher:
    return Node.DispatcherPort;
  case DaemonRole::Batcher:
    return Node.BatcherPort;
  case DaemonRole::Controller:
    return Node.ControllerPort;
  }
  return 0;
}

std::string programName(DaemonRole Role) {
  return "turmericpass-" + std::string(toName(Role));
}

double processorSeconds() {
  timespec Used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Used);
  return static_cast<double>(Used.tv_sec) +
         static_cast<double>(Used.tv_nsec) / 1e9;
}

} // namespace

std::string_view toName(DaemonRole Role) { return RoleNames.nameOf(Role); }

std::string peerAddress(const NodeSettings &Node, DaemonRole Role) {
  return Node.Address + ":" + std::to_string(portOf(Node, Role));
}

DaemonContext::DaemonContext(DaemonRole Role, DaemonOptions Given)
    : Options(std::move(Given)), Role(Role), Loop(this->Time),
      Ids(IdSource::randomSeed()),
      Log(this->Time, programName(Role), this->Options.Node.Name,
          this->Options.Debug ? LogLevel::Debug : LogLevel::Info),
      Spans(this->Time, this->Ids, programName(Role), this->Options.Node.Name,
            this->Options.Trace),
      Peers(this->Loop), Channels(this->Loop),
      Client(this->Loop, this->Channels, MaxReplyBytes),
      Admin(this->Loop, HttpLimits{}) {
  std::signal(SIGPIPE, SIG_IGN);
}

Result<void> DaemonContext::open() {
  const NodeSettings &Node = this->Options.Node;
  if (Result<void> Opened = this->Peers.listen(peerAddress(Node, this->Role));
      !Opened)
    return Opened;
  const auto Port = static_cast<std::uint16_t>(
      Node.AdminPort + static_cast<std::uint16_t>(this->Role));
  const Result<std::uint16_t> Bound = this->Admin.listen(Node.Address, Port);
  if (!Bound)
    return tl::make_unexpected(Bound.error());
  this->Admin.onRequest([this](ExchangeId Id, const HttpRequest &Request) {
    this->serveAdmin(Id, Request);
  });
  return {};
}

void DaemonContext::onAdmin(
    const std::string &Path,
    std::function<HttpReply(const HttpRequest &)> Action) {
  this->Paths[Path] = std::move(Action);
}

void DaemonContext::serveAdmin(ExchangeId Id, const HttpRequest &Request) {
  if (const auto Own = this->Paths.find(Request.Path);
      Own != this->Paths.end()) {
    this->Admin.reply(Id, Own->second(Request));
  } else if (Request.Path == "/metrics") {
    this->Stats.set("process_cpu_seconds", processorSeconds());
    this->Stats.set("peer_sent_bytes",
                    static_cast<double>(this->Peers.sentBytes()));
    this->Stats.set("peer_received_bytes",
                    static_cast<double>(this->Peers.receivedBytes()));
    this->Stats.set("peer_malformed_messages",
                    static_cast<double>(this->Peers.malformedCount()));
    for (const Callback &Collect : this->Collectors)
      Collect();
    this->Admin.reply(Id, {200,
                           {{"Content-Type", "text/plain; version=0.0.4"}},
                           this->Stats.render()});
  } else if (Request.Path == "/healthz") {
    this->Admin.reply(Id, {200, {}, "ok\n"});
  } else if (Request.Path == "/readyz") {
    this->Admin.reply(Id, this->Draining ? HttpReply{503, {}, "draining\n"}
                                         : HttpReply{200, {}, "ok\n"});
  } else {
    this->Admin.reply(Id, {404, {}, "no such path\n"});
  }
}

void DaemonContext::beginDrain() {
  if (this->Draining) {
    this->Log.log(LogLevel::Warning, "ended before the drain was complete");
    this->Loop.stop();
    return;
  }
  this->Draining = true;
  this->DrainEnd =
      this->Time.now() +
      std::chrono::seconds(this->Options.Settings.Limits.DrainSeconds);
  this->Log.log(LogLevel::Info, "draining");
  if (this->DrainAction)
    this->DrainAction();
  this->checkDrained();
}

void DaemonContext::checkDrained() {
  const bool Idle = !this->IdleTest || this->IdleTest();
  if (!Idle && this->Time.now() < this->DrainEnd) {
    this->Loop.after(DrainCheckPeriod, [this] { this->checkDrained(); });
    return;
  }
  this->Log.log(Idle ? LogLevel::Info : LogLevel::Warning,
                Idle ? "drained" : "drain_seconds passed with work left");
  // One more turn lets the last answers leave.
  this->Loop.after(DrainCheckPeriod, [this] { this->Loop.stop(); });
}

ExitStatus DaemonContext::run(Callback Drain, std::function<bool()> IsIdle) {
  this->DrainAction = std::move(Drain);
  this->IdleTest = std::move(IsIdle);
  this->Loop.onSignal(SIGTERM, [this] { this->beginDrain(); });
  this->Loop.onSignal(SIGINT, [this] { this->beginDrain(); });
  this->Log.log(LogLevel::Info, "started",
                {{"peers", this->Peers.address()},
                 {"admin_port", this->Options.Node.AdminPort +
                                    static_cast<int>(this->Role)}});
  this->Loop.run();
  this->Log.log(LogLevel::Info, "stopped");
  return ExitStatus::Done;
}

} // namespace turmericpass
