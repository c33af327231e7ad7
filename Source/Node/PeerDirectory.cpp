#include "Node/PeerDirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace turmericpass {

namespace {

/// A VM is removed when it has been silent for this time.
constexpr Duration PeerRetention = std::chrono::seconds(60);

} // namespace

PeerDirectory::PeerDirectory(const Clock &Time, LoadTracker &Loads,
                             CrashCounter &Crashes, std::string Self)
    : Time(Time), Loads(Loads), Crashes(Crashes), Self(std::move(Self)) {}

void PeerDirectory::handleDigest(const std::string &Address,
                                 PeerDigest Digest) {
  if (Digest.Incarnation == this->Self)
    return;
  Peer &Known = this->Peers[Digest.Incarnation];
  if (Digest.Sequence <= Known.Digest.Sequence)
    return;
  Known.Address = Address;
  Known.LastHeard = this->Time.now();
  Known.Silent = false;
  for (const CrashCounter::Entry &Crash : Digest.Crashes)
    this->Crashes.mergePeerCount(Crash.Fingerprint, Crash.Count);
  this->Loads.setPeerLoads(Digest.Incarnation, std::move(Digest.ServerLoads));
  Known.Digest = std::move(Digest);
}

void PeerDirectory::setListedAddresses(std::vector<std::string> Addresses) {
  this->ListedAddresses = std::move(Addresses);
}

std::vector<std::string> PeerDirectory::detectSilentPeers() {
  const Instant Now = this->Time.now();
  std::vector<std::string> NewlySilent;
  for (auto &[Incarnation, Known] : this->Peers) {
    if (Known.Silent || Now - Known.LastHeard < SilenceLimit)
      continue;
    Known.Silent = true;
    this->Loads.removePeer(Incarnation);
    NewlySilent.push_back(Incarnation);
  }
  std::erase_if(this->Peers, [&](const auto &Each) {
    return Now - Each.second.LastHeard > PeerRetention;
  });
  return NewlySilent;
}

std::vector<std::string>
PeerDirectory::addresses(const std::string &Zone) const {
  std::set<std::string> All(this->ListedAddresses.begin(),
                            this->ListedAddresses.end());
  for (const auto &[Incarnation, Known] : this->Peers)
    if (!Zone.empty() && Known.Digest.Zone != Zone)
      All.erase(Known.Address);
    else if (!Known.Silent)
      All.insert(Known.Address);
  return {All.begin(), All.end()};
}

std::vector<std::string> PeerDirectory::aliveIncarnations() const {
  std::vector<std::string> Found;
  for (const auto &[Incarnation, Known] : this->Peers)
    if (!Known.Silent && !Known.Digest.Stopping)
      Found.push_back(Incarnation);
  return Found;
}

bool PeerDirectory::isAlive(const std::string &Incarnation) const {
  const auto Found = this->Peers.find(Incarnation);
  return Incarnation == this->Self ||
         (Found != this->Peers.end() && !Found->second.Silent);
}

bool PeerDirectory::otherVmsHaveUrgentItems() const {
  return std::any_of(
      this->Peers.begin(), this->Peers.end(), [](const auto &Each) {
        return !Each.second.Silent && Each.second.Digest.HasUrgentItems;
      });
}

std::vector<std::string> PeerDirectory::storeViewAddresses() const {
  std::vector<std::string> Found;
  for (const auto &[Incarnation, Known] : this->Peers)
    if (!Known.Silent && Known.Digest.HasStoreView)
      Found.push_back(Known.Address);
  return Found;
}

} // namespace turmericpass
