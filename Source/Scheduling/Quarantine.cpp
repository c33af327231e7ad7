#include "Scheduling/Quarantine.h"

#include <algorithm>

namespace turmericpass {

namespace {

constexpr std::size_t MaxProvenKeys = 20000;
constexpr std::chrono::minutes SuspectLifetime{10};
// Fingerprints consist of digits, so none of them begins with this byte.
constexpr char SingleRequestPrefix = '\x01';

} // namespace

std::string Quarantine::keyFor(const std::string &Fingerprint,
                               const std::string &RequestId) {
  return Fingerprint.empty() ? SingleRequestPrefix + RequestId : Fingerprint;
}

bool Quarantine::isSingleRequestKey(const std::string &Key) {
  return !Key.empty() && Key.front() == SingleRequestPrefix;
}

bool Quarantine::isQuarantined(const std::string &Key) const {
  return this->QuarantinedKeys.count(Key) != 0;
}

bool Quarantine::isSuspect(const std::string &Key) const {
  return this->Suspects.count(Key) != 0;
}

void Quarantine::recordStart(const std::string &Key,
                             const std::string &Server) {
  this->Entries[Key].Servers.push_back(Server);
}

void Quarantine::recordEnd(const std::string &Key, const std::string &Server) {
  const auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end())
    return;
  std::vector<std::string> &Servers = Found->second.Servers;
  const auto Position = std::find(Servers.begin(), Servers.end(), Server);
  if (Position != Servers.end())
    Servers.erase(Position);
  if (Servers.empty() && Found->second.CrashId == 0)
    this->Entries.erase(Found);
}

bool Quarantine::hasOtherSuspect(const std::string &Server,
                                 const std::string &Key) const {
  return std::any_of(this->Suspects.begin(), this->Suspects.end(),
                     [&](const std::string &Other) {
                       const std::vector<std::string> &Servers =
                           this->Entries.at(Other).Servers;
                       return Other != Key &&
                              std::find(Servers.begin(), Servers.end(),
                                        Server) != Servers.end();
                     });
}

std::set<std::string> Quarantine::serversRunningSuspects() const {
  std::set<std::string> Servers;
  for (const std::string &Key : this->Suspects)
    for (const std::string &Server : this->Entries.at(Key).Servers)
      Servers.insert(Server);
  return Servers;
}

bool Quarantine::mayStart(const std::string &Key,
                          const std::string &Server) const {
  const auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end())
    return true;
  const std::vector<std::string> &Servers = Found->second.Servers;
  if (Found->second.CrashId != 0)
    return Servers.empty() && !this->hasOtherSuspect(Server, Key);
  return Servers.empty() || this->ProvenKeys.count(Key) != 0 ||
         std::find(Servers.begin(), Servers.end(), Server) != Servers.end();
}

bool Quarantine::mayStartCopy(const std::string &Key,
                              const std::string &Server) const {
  const auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end())
    return true;
  const std::vector<std::string> &Servers = Found->second.Servers;
  return Found->second.CrashId == 0 &&
         (this->ProvenKeys.count(Key) != 0 || Servers.size() < 2 ||
          std::find(Servers.begin(), Servers.end(), Server) != Servers.end());
}

std::string Quarantine::recordServerLoss(const std::string &Server,
                                         const std::set<std::string> &Keys,
                                         Instant Now) {
  std::vector<std::string> EarlierSuspects;
  for (const std::string &Key : Keys)
    if (this->isSuspect(Key))
      EarlierSuspects.push_back(Key);
  if (EarlierSuspects.size() == 1) {
    std::string CrashingKey = EarlierSuspects.front();
    this->clearSuspectsOf(this->Entries[CrashingKey].CrashId);
    this->add(CrashingKey);
    return CrashingKey;
  }
  if (!EarlierSuspects.empty())
    return "";
  this->LastCrashByServer[Server] = ++this->LastCrashId;
  for (const std::string &Key : Keys) {
    Entry &Record = this->Entries[Key];
    Record.CrashId = this->LastCrashId;
    Record.SuspectedSince = Now;
    this->Suspects.insert(Key);
    this->ProvenKeys.erase(Key);
  }
  return "";
}

void Quarantine::retractLoss(const std::string &Server) {
  const auto Found = this->LastCrashByServer.find(Server);
  if (Found == this->LastCrashByServer.end())
    return;
  this->clearSuspectsOf(Found->second);
  this->LastCrashByServer.erase(Found);
}

void Quarantine::clearSuspect(const std::string &Key) {
  if (this->Suspects.erase(Key) == 0)
    return;
  const auto Found = this->Entries.find(Key);
  Found->second.CrashId = 0;
  if (Found->second.Servers.empty())
    this->Entries.erase(Found);
}

void Quarantine::clearSuspectsOf(std::uint64_t CrashId) {
  const std::set<std::string> CurrentSuspects = this->Suspects;
  for (const std::string &Key : CurrentSuspects)
    if (this->Entries.at(Key).CrashId == CrashId)
      this->clearSuspect(Key);
}

void Quarantine::recordSuccess(const std::string &Key) {
  this->clearSuspect(Key);
  if (!this->ProvenKeys.insert(Key).second)
    return;
  this->ProvenKeyOrder.push_back(Key);
  if (this->ProvenKeyOrder.size() <= MaxProvenKeys)
    return;
  this->ProvenKeys.erase(this->ProvenKeyOrder.front());
  this->ProvenKeyOrder.pop_front();
}

void Quarantine::expireSuspects(Instant Now) {
  if (this->Suspects.empty())
    return;
  const std::set<std::string> CurrentSuspects = this->Suspects;
  for (const std::string &Key : CurrentSuspects)
    if (Now - this->Entries.at(Key).SuspectedSince > SuspectLifetime)
      this->clearSuspect(Key);
}

} // namespace turmericpass
