#include "Serving/LoadTracker.h"

#include "Core/Hash.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

ServerKey serverKey(const std::string &Id) {
  return static_cast<ServerKey>(hash64(Id));
}

LoadTracker::LoadTracker(std::string Self) : Self(std::move(Self)) {}

ServerLoad &LoadTracker::changeLocalLoad(const std::string &Server) {
  ++this->Revision;
  return this->LocalLoads[serverKey(Server)];
}

void LoadTracker::removeIfIdle(const std::string &Server) {
  const auto Found = this->LocalLoads.find(serverKey(Server));
  if (Found->second.Online <= 0 && Found->second.Batch <= 0)
    this->LocalLoads.erase(Found);
}

void LoadTracker::addOnlineRequest(const std::string &Server) {
  ++this->changeLocalLoad(Server).Online;
}

void LoadTracker::removeOnlineRequest(const std::string &Server) {
  --this->changeLocalLoad(Server).Online;
  this->removeIfIdle(Server);
}

void LoadTracker::addBatchItem(const std::string &Server) {
  ++this->changeLocalLoad(Server).Batch;
}

void LoadTracker::removeBatchItem(const std::string &Server) {
  --this->changeLocalLoad(Server).Batch;
  this->removeIfIdle(Server);
}

void LoadTracker::setPeerLoads(const std::string &Node,
                               std::map<ServerKey, ServerLoad> Loads) {
  this->PeerLoads[Node] = std::move(Loads);
}

void LoadTracker::removePeer(const std::string &Node) {
  this->PeerLoads.erase(Node);
}

ServerLoad LoadTracker::localLoad(const std::string &Server) const {
  const auto Found = this->LocalLoads.find(serverKey(Server));
  return Found == this->LocalLoads.end() ? ServerLoad() : Found->second;
}

ServerLoad LoadTracker::totalLoad(const std::string &Server) const {
  const ServerKey Key = serverKey(Server);
  ServerLoad Total = this->localLoad(Server);
  for (const auto &[Node, Loads] : this->PeerLoads)
    if (const auto Found = Loads.find(Key); Found != Loads.end()) {
      Total.Online += Found->second.Online;
      Total.Batch += Found->second.Batch;
    }
  return Total;
}

int LoadTracker::batchItemsToYield(const std::string &Server, int Slots) const {
  const int LocalItems = this->localLoad(Server).Batch;
  if (LocalItems == 0)
    return 0;
  const ServerLoad Total = this->totalLoad(Server);
  int Excess = std::min(Total.Online + Total.Batch - Slots, Total.Batch);
  if (Excess <= 0)
    return 0;
  // The VMs withdraw their items one after the other, in an order that differs
  // between servers.
  const ServerKey Key = serverKey(Server);
  const auto Rank = [&](const std::string &Node) { return hash64(Node, Key); };
  const std::uint64_t LocalRank = Rank(this->Self);
  for (const auto &[Node, Loads] : this->PeerLoads)
    if (const auto Found = Loads.find(Key);
        Found != Loads.end() && Rank(Node) < LocalRank)
      Excess -= Found->second.Batch;
  return std::clamp(Excess, 0, LocalItems);
}

} // namespace turmericpass
