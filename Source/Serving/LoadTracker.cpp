#include "Serving/LoadTracker.h"

#include "Core/Hash.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

ServerKey serverKey(const std::string &Id) {
  return static_cast<ServerKey>(hash64(Id));
}

LoadTracker::LoadTracker(std::string Self) : Self(std::move(Self)) {}

ServerLoad &LoadTracker::ownOf(const std::string &Server) {
  ++this->Revision;
  return this->Own[serverKey(Server)];
}

void LoadTracker::trim(const std::string &Server) {
  const auto Found = this->Own.find(serverKey(Server));
  if (Found->second.Online <= 0 && Found->second.Batch <= 0)
    this->Own.erase(Found);
}

void LoadTracker::addOnlineRequest(const std::string &Server) {
  ++this->ownOf(Server).Online;
}

void LoadTracker::removeOnlineRequest(const std::string &Server) {
  --this->ownOf(Server).Online;
  this->trim(Server);
}

void LoadTracker::addBatchItem(const std::string &Server) {
  ++this->ownOf(Server).Batch;
}

void LoadTracker::removeBatchItem(const std::string &Server) {
  --this->ownOf(Server).Batch;
  this->trim(Server);
}

void LoadTracker::setPeerLoads(const std::string &Node,
                               std::map<ServerKey, ServerLoad> Use) {
  this->Peers[Node] = std::move(Use);
}

void LoadTracker::removePeer(const std::string &Node) {
  this->Peers.erase(Node);
}

ServerLoad LoadTracker::own(const std::string &Server) const {
  const auto Found = this->Own.find(serverKey(Server));
  return Found == this->Own.end() ? ServerLoad() : Found->second;
}

ServerLoad LoadTracker::total(const std::string &Server) const {
  const ServerKey Key = serverKey(Server);
  ServerLoad Sum = this->own(Server);
  for (const auto &[Node, Use] : this->Peers)
    if (const auto Found = Use.find(Key); Found != Use.end()) {
      Sum.Online += Found->second.Online;
      Sum.Batch += Found->second.Batch;
    }
  return Sum;
}

int LoadTracker::batchItemsToYield(const std::string &Server, int Slots) const {
  const int Mine = this->own(Server).Batch;
  if (Mine == 0)
    return 0;
  const ServerLoad Sum = this->total(Server);
  int Excess = std::min(Sum.Online + Sum.Batch - Slots, Sum.Batch);
  if (Excess <= 0)
    return 0;
  // The VMs give way in an order that differs from server to server.
  const ServerKey Key = serverKey(Server);
  const auto Rank = [&](const std::string &Node) { return hash64(Node, Key); };
  const std::uint64_t MyRank = Rank(this->Self);
  for (const auto &[Node, Use] : this->Peers)
    if (const auto Found = Use.find(Key);
        Found != Use.end() && Rank(Node) < MyRank)
      Excess -= Found->second.Batch;
  return std::clamp(Excess, 0, Mine);
}

} // namespace turmericpass
