#include "Node/PeerBook.h"

#include <algorithm>
#include <set>
#include <utility>

namespace turmericpass {

namespace {

/// A silent VM is forgotten after this.
constexpr Duration ForgetTime = std::chrono::seconds(60);

} // namespace

PeerBook::PeerBook(const Clock &Time, LoadTracker &Loads, CrashCounter &Crashes,
                   std::string Self)
    : Time(Time), Loads(Loads), Crashes(Crashes), Self(std::move(Self)) {}

void PeerBook::received(const std::string &Address, PeerDigest Digest) {
  if (Digest.Incarnation == this->Self)
    return;
  Peer &Known = this->Peers[Digest.Incarnation];
  if (Digest.Sequence <= Known.Digest.Sequence)
    return;
  Known.Address = Address;
  Known.Heard = this->Time.now();
  Known.Silent = false;
  for (const CrashCounter::Entry &Crash : Digest.Crashes)
    this->Crashes.merge(Crash.Fingerprint, Crash.Count);
  this->Loads.setPeerLoads(Digest.Incarnation, std::move(Digest.Use));
  Known.Digest = std::move(Digest);
}

void PeerBook::setListed(std::vector<std::string> Addresses) {
  this->Listed = std::move(Addresses);
}

std::vector<std::string> PeerBook::sweep() {
  const Instant Now = this->Time.now();
  std::vector<std::string> Lost;
  for (auto &[Incarnation, Known] : this->Peers) {
    if (Known.Silent || Now - Known.Heard < SilenceLimit)
      continue;
    Known.Silent = true;
    this->Loads.removePeer(Incarnation);
    Lost.push_back(Incarnation);
  }
  std::erase_if(this->Peers, [&](const auto &Each) {
    return Now - Each.second.Heard > ForgetTime;
  });
  return Lost;
}

std::vector<std::string> PeerBook::addresses(const std::string &Zone) const {
  std::set<std::string> All(this->Listed.begin(), this->Listed.end());
  for (const auto &[Incarnation, Known] : this->Peers)
    if (!Zone.empty() && Known.Digest.Zone != Zone)
      All.erase(Known.Address);
    else if (!Known.Silent)
      All.insert(Known.Address);
  return {All.begin(), All.end()};
}

std::vector<std::string> PeerBook::alive() const {
  std::vector<std::string> Found;
  for (const auto &[Incarnation, Known] : this->Peers)
    if (!Known.Silent && !Known.Digest.Stopping)
      Found.push_back(Incarnation);
  return Found;
}

bool PeerBook::isAlive(const std::string &Incarnation) const {
  const auto Found = this->Peers.find(Incarnation);
  return Incarnation == this->Self ||
         (Found != this->Peers.end() && !Found->second.Silent);
}

bool PeerBook::isAnyUrgent() const {
  return std::any_of(this->Peers.begin(), this->Peers.end(),
                     [](const auto &Each) {
                       return !Each.second.Silent && Each.second.Digest.Urgent;
                     });
}

std::vector<std::string> PeerBook::informed() const {
  std::vector<std::string> Found;
  for (const auto &[Incarnation, Known] : this->Peers)
    if (!Known.Silent && Known.Digest.StoreInReach)
      Found.push_back(Known.Address);
  return Found;
}

} // namespace turmericpass
