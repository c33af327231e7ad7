#include "Serving/ServerDirectory.h"

#include "Serving/LoadTracker.h"

#include <algorithm>
#include <set>
#include <utility>

namespace turmericpass {

namespace {

/// How long a server is avoided after its first failure in a row; it doubles
/// with each further one.
constexpr Duration FirstAvoidance = std::chrono::milliseconds(300);
constexpr int MostDoublings = 4;

/// How long the word of another VM holds, and how long an own experience goes
/// before it. Some digests fit in.
constexpr Duration HearsayTime = std::chrono::milliseconds(600);

} // namespace

bool ServerDirectory::update(ServerEntry Entry) {
  KnownServer &Known = this->Servers[Entry.Id];
  const bool Restarted = !Known.Entry.Id.empty() &&
                         Known.Entry.StartUnixMillis != Entry.StartUnixMillis &&
                         Known.Entry.StartUnixMillis != 0;
  if (Restarted)
    Known = KnownServer();
  Known.Entry = std::move(Entry);
  Known.ForgottenAt = Instant::max();
  return Restarted;
}

void ServerDirectory::remove(const std::string &Id) { this->Servers.erase(Id); }

void ServerDirectory::replace(std::vector<ServerEntry> Entries,
                              Instant MissingUntil) {
  std::set<std::string> Listed;
  for (ServerEntry &Entry : Entries) {
    Listed.insert(Entry.Id);
    this->update(std::move(Entry));
  }
  for (auto &[Id, Known] : this->Servers)
    if (!Listed.contains(Id))
      Known.ForgottenAt = std::min(Known.ForgottenAt, MissingUntil);
}

void ServerDirectory::failed(const std::string &Id) {
  const auto Found = this->Servers.find(Id);
  if (Found == this->Servers.end())
    return;
  KnownServer &Known = Found->second;
  const int Doublings = std::min(Known.Failures++, MostDoublings);
  Known.AvoidedUntil = this->Time.now() + FirstAvoidance * (1 << Doublings);
}

void ServerDirectory::succeeded(const std::string &Id) {
  const auto Found = this->Servers.find(Id);
  if (Found == this->Servers.end())
    return;
  Found->second.Failures = 0;
  Found->second.HeardAt = this->Time.now();
  Found->second.AvoidedUntil = Instant();
}

void ServerDirectory::heard(const std::string &Id) {
  const auto Found = this->Servers.find(Id);
  if (Found != this->Servers.end())
    Found->second.HeardAt = this->Time.now();
}

void ServerDirectory::applyPeerAvoidance(std::uint32_t Key) {
  const Instant Now = this->Time.now();
  for (auto &[Id, Known] : this->Servers)
    if (serverKey(Id) == Key && Now - Known.HeardAt > HearsayTime)
      Known.AvoidedUntil = std::max(Known.AvoidedUntil, Now + HearsayTime);
}

std::vector<std::uint32_t> ServerDirectory::avoided() const {
  std::vector<std::uint32_t> Keys;
  const Instant Now = this->Time.now();
  for (const auto &[Id, Known] : this->Servers)
    if (Known.Failures > 0 && Known.AvoidedUntil > Now)
      Keys.push_back(serverKey(Id));
  return Keys;
}

const KnownServer *ServerDirectory::find(const std::string &Id) const {
  const auto Found = this->Servers.find(Id);
  return Found == this->Servers.end() ? nullptr : &Found->second;
}

std::vector<const KnownServer *>
ServerDirectory::usable(std::string_view Service) const {
  std::vector<const KnownServer *> Found;
  const Instant Now = this->Time.now();
  for (const auto &[Id, Known] : this->Servers)
    if (Known.Entry.Service == Service && !Known.Entry.Leaving &&
        Now < Known.ForgottenAt)
      Found.push_back(&Known);
  return Found;
}

} // namespace turmericpass
