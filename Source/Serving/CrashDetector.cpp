#include "Serving/CrashDetector.h"

#include "Serving/CrashCounter.h"
#include "Serving/ServerDirectory.h"
#include "Telemetry/Logger.h"

#include <utility>

namespace turmericpass {

namespace {

/// A server that has crashed needs some seconds to start again, so a question
/// this long after the break still finds it down.
constexpr Duration AskDelay = std::chrono::milliseconds(60);

/// A server that is up accepts a connection in some milliseconds.
constexpr Duration AskConnectTime = std::chrono::milliseconds(300);

} // namespace

CrashDetector::CrashDetector(EventLoop &Loop, BackendChannels &Channels,
                             ServerDirectory &Servers, CrashCounter &Crashes,
                             Logger &Log,
                             std::function<const ServingSettings *()> Settings)
    : Loop(Loop), Channels(Channels), Servers(Servers), Crashes(Crashes),
      Log(Log), Settings(std::move(Settings)) {}

void CrashDetector::brokeOff(const std::string &Server,
                             std::uint64_t Fingerprint) {
  std::vector<std::uint64_t> &Waiting = this->Suspects[Server];
  Waiting.push_back(Fingerprint);
  if (Waiting.size() == 1)
    this->Loop.after(AskDelay, [this, Server] { this->ask(Server); });
}

void CrashDetector::ask(const std::string &Server) {
  const KnownServer *Known = this->Servers.find(Server);
  const ServingSettings *Current = this->Settings();
  if (!Known || !Current) {
    // It left the list meanwhile, which a leaving server does as well.
    this->Suspects.erase(Server);
    return;
  }
  const auto Service = Current->Services.find(Known->Entry.Service);
  SendOrder Order;
  Order.Address = Known->Entry.Address;
  Order.ConnectTime = AskConnectTime;
  Order.Request.Method = "GET";
  Order.Request.Target =
      Service == Current->Services.end() ? "/" : Service->second.HealthPath;
  Order.Request.Headers = {{"Host", Known->Entry.Address}};
  // An idle connection to a server that crashed says nothing.
  this->Channels.forget(Known->Entry.Address);
  this->Asked.emplace(this->Channels.send(std::move(Order), *this), Server);
}

void CrashDetector::answerDone(SendId Id) {
  this->conclude(Id, false, "answered");
}

void CrashDetector::sendFailed(SendId Id, SendFailure Failure,
                               std::string_view Detail) {
  this->conclude(Id, Failure == SendFailure::NotSent, Detail);
}

void CrashDetector::conclude(SendId Id, bool Crashed, std::string_view Detail) {
  const auto Found = this->Asked.find(Id);
  if (Found == this->Asked.end())
    return;
  const std::string Server = std::move(Found->second);
  this->Asked.erase(Found);
  const std::vector<std::uint64_t> Waiting =
      std::exchange(this->Suspects[Server], {});
  this->Suspects.erase(Server);
  if (Crashed) {
    this->Servers.failed(Server);
    for (std::uint64_t Fingerprint : Waiting)
      this->Crashes.brokeOff(Fingerprint);
  }
  this->Log.log(LogLevel::Info, "A server that broke off was asked.",
                {{"server", Server},
                 {"crashed", Crashed},
                 {"detail", Detail},
                 {"requests", Waiting.size()}});
}

} // namespace turmericpass
