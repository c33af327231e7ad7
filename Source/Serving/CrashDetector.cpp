#include "Serving/CrashDetector.h"

#include "Core/Hash.h"
#include "Serving/CrashCounter.h"
#include "Serving/ServerDirectory.h"
#include "Telemetry/Logger.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

namespace {

/// The delay between a failure and the check of the server. A crashed server
/// needs some seconds to restart, so the check still finds it down.
constexpr Duration CheckDelay = std::chrono::milliseconds(60);

/// A running server accepts a connection within a few milliseconds.
constexpr Duration CheckConnectTimeout = std::chrono::milliseconds(300);

/// A check that gets no answer ends after this time, so that the server is
/// checked again after its next failure.
constexpr Duration CheckTimeout = std::chrono::milliseconds(1000);

/// Returns a key of the incarnation of the server, which is the same on all
/// VMs.
std::uint32_t lifetimeKey(const ServerEntry &Entry) {
  return static_cast<std::uint32_t>(
      hash64(Entry.Id, static_cast<std::uint64_t>(Entry.StartUnixMillis)));
}

} // namespace

CrashDetector::CrashDetector(EventLoop &Loop, BackendChannels &Channels,
                             ServerDirectory &Servers, CrashCounter &Crashes,
                             Logger &Log,
                             std::function<const ServingSettings *()> Settings)
    : Loop(Loop), Channels(Channels), Servers(Servers), Crashes(Crashes),
      Log(Log), Settings(std::move(Settings)) {}

void CrashDetector::checkForCrash(const std::string &Server,
                                  const CrashSuspects &Suspects,
                                  CheckCallback Done) {
  PendingCheck &Check = this->PendingChecks[Server];
  const bool IsKnown = std::any_of(
      Check.Requests.begin(), Check.Requests.end(),
      [&](const CrashSuspects &S) { return S.Request == Suspects.Request; });
  if (!IsKnown)
    Check.Requests.push_back(Suspects);
  if (Done)
    Check.Callbacks.push_back(std::move(Done));
  else
    Check.RecordsFailure = true;
  if (Check.Requests.size() > 1 || IsKnown)
    return;
  if (const KnownServer *State = this->Servers.find(Server))
    Check.Lifetime = lifetimeKey(State->Entry);
  this->Loop.after(CheckDelay, [this, Server] { this->checkServer(Server); });
}

void CrashDetector::checkServer(const std::string &Server) {
  const KnownServer *State = this->Servers.find(Server);
  const ServingSettings *Current = this->Settings();
  if (!State || !Current) {
    // The server is no longer in the list. A server that leaves normally is
    // removed as well, so this does not prove a crash.
    this->closeCheck(Server, false);
    return;
  }
  const auto Service = Current->Services.find(State->Entry.Service);
  BackendRequest Order;
  Order.Address = State->Entry.Address;
  Order.ConnectTime = CheckConnectTimeout;
  Order.Request.Method = "GET";
  Order.Request.Target =
      Service == Current->Services.end() ? "/" : Service->second.HealthPath;
  // The answer names no request, so the connection must not carry another one.
  Order.Request.Headers = {{"Host", State->Entry.Address},
                           {"Connection", "close"}};
  // An idle connection does not show whether the server has crashed, so the
  // check opens a new one.
  this->Channels.forget(State->Entry.Address);
  const SendId Id = this->Channels.send(std::move(Order), *this);
  this->RunningChecks.emplace(Id, Server);
  this->Loop.after(CheckTimeout, [this, Id] { this->endUnansweredCheck(Id); });
}

void CrashDetector::endUnansweredCheck(SendId Id) {
  if (!this->RunningChecks.contains(Id))
    return;
  this->Channels.cancel(Id);
  this->finishCheck(Id, false, "connected, but not answered");
}

void CrashDetector::answerDone(SendId Id) {
  this->finishCheck(Id, false, "answered");
}

void CrashDetector::sendFailed(SendId Id, SendFailure Failure,
                               std::string_view Detail) {
  this->finishCheck(Id, Failure == SendFailure::NotSent, Detail);
}

std::string CrashDetector::describeParts(const CrashSuspects &Suspects) const {
  std::string Text;
  for (const std::uint64_t Part : Suspects.Parts) {
    if (!Text.empty())
      Text.append(" ");
    Text.append(std::to_string(Part)).append(":");
    Text.append(std::to_string(this->Crashes.crashesOf(Part)));
  }
  return Text;
}

void CrashDetector::finishCheck(SendId Id, bool Crashed,
                                std::string_view Detail) {
  const auto Found = this->RunningChecks.find(Id);
  if (Found == this->RunningChecks.end())
    return;
  const std::string Server = std::move(Found->second);
  this->RunningChecks.erase(Found);
  const PendingCheck Check = this->PendingChecks[Server];
  if (Crashed) {
    if (Check.RecordsFailure)
      this->Servers.recordFailure(Server);
    this->Crashes.addCrash(Check.Requests, Check.Lifetime);
    for (const CrashSuspects &Suspects : Check.Requests)
      this->Log.log(LogLevel::Info, "Counted a crash against a request.",
                    {{"server", Server},
                     {"suspect", Suspects.Request},
                     {"crashes", this->Crashes.crashesOf(Suspects.Request)},
                     {"part_crashes", this->describeParts(Suspects)}});
  }
  this->Log.log(LogLevel::Info,
                "Checked whether a server that failed requests has crashed.",
                {{"server", Server},
                 {"crashed", Crashed},
                 {"detail", Detail},
                 {"requests", Check.Requests.size()}});
  this->closeCheck(Server, Crashed);
}

void CrashDetector::closeCheck(const std::string &Server, bool Crashed) {
  const PendingCheck Check = std::exchange(this->PendingChecks[Server], {});
  this->PendingChecks.erase(Server);
  for (const CheckCallback &Done : Check.Callbacks)
    Done(Crashed);
}

} // namespace turmericpass
