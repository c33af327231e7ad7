#include "Scheduling/Quarantine.h"

#include <algorithm>

namespace turmericpass {

namespace {

constexpr std::size_t MostProven = 20000;
constexpr std::chrono::minutes SuspectLife{10};
// Fingerprints consist of digits, so none of them begins with this byte.
constexpr char OneRequest = '\x01';

} // namespace

std::string Quarantine::keyFor(const std::string &Fingerprint,
                               const std::string &RequestId) {
  return Fingerprint.empty() ? OneRequest + RequestId : Fingerprint;
}

bool Quarantine::namesOneRequest(const std::string &Key) {
  return !Key.empty() && Key.front() == OneRequest;
}

bool Quarantine::isQuarantined(const std::string &Key) const {
  return this->Banned.count(Key) != 0;
}

bool Quarantine::isSuspect(const std::string &Key) const {
  return this->Suspects.count(Key) != 0;
}

void Quarantine::started(const std::string &Key, const std::string &Server) {
  this->Entries[Key].Servers.push_back(Server);
}

void Quarantine::ended(const std::string &Key, const std::string &Server) {
  const auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end())
    return;
  std::vector<std::string> &Servers = Found->second.Servers;
  const auto Place = std::find(Servers.begin(), Servers.end(), Server);
  if (Place != Servers.end())
    Servers.erase(Place);
  if (Servers.empty() && Found->second.Crash == 0)
    this->Entries.erase(Found);
}

bool Quarantine::hasOtherSuspect(const std::string &Server,
                                 const std::string &Key) const {
  return std::any_of(
      this->Suspects.begin(), this->Suspects.end(),
      [&](const std::string &Other) {
        const std::vector<std::string> &Used = this->Entries.at(Other).Servers;
        return Other != Key &&
               std::find(Used.begin(), Used.end(), Server) != Used.end();
      });
}

std::set<std::string> Quarantine::serversInUse() const {
  std::set<std::string> Used;
  for (const std::string &Key : this->Suspects)
    for (const std::string &Server : this->Entries.at(Key).Servers)
      Used.insert(Server);
  return Used;
}

bool Quarantine::mayStart(const std::string &Key,
                          const std::string &Server) const {
  const auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end())
    return true;
  const std::vector<std::string> &Used = Found->second.Servers;
  if (Found->second.Crash != 0)
    return Used.empty() && !this->hasOtherSuspect(Server, Key);
  return Used.empty() || this->Proven.count(Key) != 0 ||
         std::find(Used.begin(), Used.end(), Server) != Used.end();
}

bool Quarantine::mayCopy(const std::string &Key,
                         const std::string &Server) const {
  const auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end())
    return true;
  const std::vector<std::string> &Used = Found->second.Servers;
  return Found->second.Crash == 0 &&
         (this->Proven.count(Key) != 0 || Used.size() < 2 ||
          std::find(Used.begin(), Used.end(), Server) != Used.end());
}

std::string Quarantine::serverLost(const std::string &Server,
                                   const std::set<std::string> &Keys,
                                   Instant Now) {
  std::vector<std::string> Before;
  for (const std::string &Key : Keys)
    if (this->isSuspect(Key))
      Before.push_back(Key);
  if (Before.size() == 1) {
    std::string Blamed = Before.front();
    this->clearCrash(this->Entries[Blamed].Crash);
    this->add(Blamed);
    return Blamed;
  }
  if (!Before.empty())
    return "";
  this->CrashOf[Server] = ++this->LastCrash;
  for (const std::string &Key : Keys) {
    Entry &Record = this->Entries[Key];
    Record.Crash = this->LastCrash;
    Record.Suspected = Now;
    this->Suspects.insert(Key);
    this->Proven.erase(Key);
  }
  return "";
}

void Quarantine::retract(const std::string &Server) {
  const auto Found = this->CrashOf.find(Server);
  if (Found == this->CrashOf.end())
    return;
  this->clearCrash(Found->second);
  this->CrashOf.erase(Found);
}

void Quarantine::clear(const std::string &Key) {
  if (this->Suspects.erase(Key) == 0)
    return;
  const auto Found = this->Entries.find(Key);
  Found->second.Crash = 0;
  if (Found->second.Servers.empty())
    this->Entries.erase(Found);
}

void Quarantine::clearCrash(std::uint64_t Crash) {
  const std::set<std::string> Copy = this->Suspects;
  for (const std::string &Key : Copy)
    if (this->Entries.at(Key).Crash == Crash)
      this->clear(Key);
}

void Quarantine::proven(const std::string &Key) {
  this->clear(Key);
  if (!this->Proven.insert(Key).second)
    return;
  this->ProvenOrder.push_back(Key);
  if (this->ProvenOrder.size() <= MostProven)
    return;
  this->Proven.erase(this->ProvenOrder.front());
  this->ProvenOrder.pop_front();
}

void Quarantine::expire(Instant Now) {
  if (this->Suspects.empty())
    return;
  const std::set<std::string> Copy = this->Suspects;
  for (const std::string &Key : Copy)
    if (Now - this->Entries.at(Key).Suspected > SuspectLife)
      this->clear(Key);
}

} // namespace turmericpass
