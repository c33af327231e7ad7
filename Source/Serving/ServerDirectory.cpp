#include "Serving/ServerDirectory.h"

#include "Serving/LoadTracker.h"

#include <algorithm>
#include <set>
#include <utility>

namespace turmericpass {

namespace {

/// The time for which a server is avoided after its first failure. The time
/// doubles with each consecutive failure.
constexpr Duration InitialAvoidanceTime = std::chrono::milliseconds(300);
constexpr int MaxDoublings = 4;

/// The time for which the report of another VM is applied, and for which data
/// that this VM received from the server takes precedence over such reports. It
/// covers several digest intervals.
constexpr Duration PeerReportTime = std::chrono::milliseconds(600);

/// The number of leaving servers from which those that have gone are forgotten.
constexpr std::size_t MaxLeavingServers = 1024;

} // namespace

bool ServerDirectory::update(ServerEntry Entry) {
  KnownServer &Server = this->Servers[Entry.Id];
  const bool Restarted =
      !Server.Entry.Id.empty() &&
      Server.Entry.StartUnixMillis != Entry.StartUnixMillis &&
      Server.Entry.StartUnixMillis != 0;
  if (Restarted)
    Server = KnownServer();
  Server.Entry = std::move(Entry);
  Server.ExpiresAt = Instant::max();
  return Restarted;
}

void ServerDirectory::remove(const std::string &Id) { this->Servers.erase(Id); }

void ServerDirectory::replaceAll(std::vector<ServerEntry> Entries,
                                 Instant MissingUntil) {
  std::set<std::string> Listed;
  for (ServerEntry &Entry : Entries) {
    Listed.insert(Entry.Id);
    this->update(std::move(Entry));
  }
  for (auto &[Id, Server] : this->Servers)
    if (!Listed.contains(Id))
      Server.ExpiresAt = std::min(Server.ExpiresAt, MissingUntil);
}

bool ServerDirectory::recordLeaving(const std::string &Id) {
  const auto Found = this->Servers.find(Id);
  if (Found == this->Servers.end() || this->saidLeaving(Found->second.Entry))
    return false;
  if (this->LeavingStarts.size() >= MaxLeavingServers)
    std::erase_if(this->LeavingStarts, [this](const auto &Each) {
      return !this->Servers.contains(Each.first);
    });
  this->LeavingStarts[Id] = Found->second.Entry.StartUnixMillis;
  return true;
}

bool ServerDirectory::saidLeaving(const ServerEntry &Entry) const {
  const auto Found = this->LeavingStarts.find(Entry.Id);
  return Found != this->LeavingStarts.end() &&
         Found->second == Entry.StartUnixMillis;
}

void ServerDirectory::recordFailure(const std::string &Id) {
  const auto Found = this->Servers.find(Id);
  if (Found == this->Servers.end())
    return;
  KnownServer &Server = Found->second;
  const int Doublings = std::min(Server.Failures++, MaxDoublings);
  Server.AvoidedForOwnFailuresUntil =
      this->Time.now() + InitialAvoidanceTime * (1 << Doublings);
  Server.AvoidedUntil =
      std::max(Server.AvoidedUntil, Server.AvoidedForOwnFailuresUntil);
}

void ServerDirectory::recordSuccess(const std::string &Id) {
  const auto Found = this->Servers.find(Id);
  if (Found == this->Servers.end())
    return;
  Found->second.Failures = 0;
  Found->second.LastActivityAt = this->Time.now();
  Found->second.AvoidedUntil = Instant();
  Found->second.AvoidedForOwnFailuresUntil = Instant();
}

void ServerDirectory::recordActivity(const std::string &Id) {
  const auto Found = this->Servers.find(Id);
  if (Found != this->Servers.end())
    Found->second.LastActivityAt = this->Time.now();
}

void ServerDirectory::applyPeerAvoidance(std::uint32_t Key) {
  const Instant Now = this->Time.now();
  for (auto &[Id, Server] : this->Servers)
    if (serverKey(Id) == Key && Now - Server.LastActivityAt > PeerReportTime)
      Server.AvoidedUntil = std::max(Server.AvoidedUntil, Now + PeerReportTime);
}

std::vector<std::uint32_t> ServerDirectory::avoidedServers() const {
  std::vector<std::uint32_t> Keys;
  const Instant Now = this->Time.now();
  for (const auto &[Id, Server] : this->Servers)
    if (Server.AvoidedForOwnFailuresUntil > Now)
      Keys.push_back(serverKey(Id));
  return Keys;
}

const KnownServer *ServerDirectory::find(const std::string &Id) const {
  const auto Found = this->Servers.find(Id);
  return Found == this->Servers.end() ? nullptr : &Found->second;
}

bool ServerDirectory::isUsable(const KnownServer &Server,
                               std::string_view Service) const {
  return Server.Entry.Service == Service && !Server.Entry.Leaving &&
         this->Time.now() < Server.ExpiresAt &&
         !this->saidLeaving(Server.Entry);
}

std::vector<const KnownServer *>
ServerDirectory::usableServers(std::string_view Service) const {
  std::vector<const KnownServer *> Found;
  for (const auto &[Id, Server] : this->Servers)
    if (this->isUsable(Server, Service))
      Found.push_back(&Server);
  return Found;
}

bool ServerDirectory::hasUsableServer(std::string_view Service) const {
  return std::any_of(
      this->Servers.begin(), this->Servers.end(),
      [&](const auto &Each) { return this->isUsable(Each.second, Service); });
}

} // namespace turmericpass
