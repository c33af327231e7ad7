#include "Serving/ServerDirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace turmericpass {

namespace {

/// How long a server is avoided after its first failure in a row; it doubles
/// with each further one.
constexpr Duration FirstAvoidance = std::chrono::milliseconds(300);
constexpr int MostDoublings = 4;

} // namespace

bool ServerDirectory::update(ServerEntry Entry) {
  KnownServer &Known = this->Servers[Entry.Id];
  const bool Restarted = !Known.Entry.Id.empty() &&
                         Known.Entry.BornMillis != Entry.BornMillis &&
                         Known.Entry.BornMillis != 0;
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
  Found->second.AvoidedUntil = Instant();
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
