#include "Serving/LoadBook.h"

#include "Core/Hash.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

ServerKey serverKey(const std::string &Id) {
  return static_cast<ServerKey>(hash64(Id));
}

LoadBook::LoadBook(std::string Self) : Self(std::move(Self)) {}

ServerUse &LoadBook::ownOf(const std::string &Server) {
  ++this->Revision;
  return this->Own[serverKey(Server)];
}

void LoadBook::trim(const std::string &Server) {
  const auto Found = this->Own.find(serverKey(Server));
  if (Found->second.Online <= 0 && Found->second.Batch <= 0)
    this->Own.erase(Found);
}

void LoadBook::startOnline(const std::string &Server) {
  ++this->ownOf(Server).Online;
}

void LoadBook::endOnline(const std::string &Server) {
  --this->ownOf(Server).Online;
  this->trim(Server);
}

void LoadBook::startBatch(const std::string &Server) {
  ++this->ownOf(Server).Batch;
}

void LoadBook::endBatch(const std::string &Server) {
  --this->ownOf(Server).Batch;
  this->trim(Server);
}

void LoadBook::setPeer(const std::string &Node,
                       std::map<ServerKey, ServerUse> Use) {
  this->Peers[Node] = std::move(Use);
}

void LoadBook::removePeer(const std::string &Node) { this->Peers.erase(Node); }

ServerUse LoadBook::own(const std::string &Server) const {
  const auto Found = this->Own.find(serverKey(Server));
  return Found == this->Own.end() ? ServerUse() : Found->second;
}

ServerUse LoadBook::total(const std::string &Server) const {
  const ServerKey Key = serverKey(Server);
  ServerUse Sum = this->own(Server);
  for (const auto &[Node, Use] : this->Peers)
    if (const auto Found = Use.find(Key); Found != Use.end()) {
      Sum.Online += Found->second.Online;
      Sum.Batch += Found->second.Batch;
    }
  return Sum;
}

int LoadBook::batchToYield(const std::string &Server, int Slots) const {
  const int Mine = this->own(Server).Batch;
  if (Mine == 0)
    return 0;
  const ServerUse Sum = this->total(Server);
  int Excess = std::min(Sum.Online + Sum.Batch - Slots, Sum.Batch);
  if (Excess <= 0)
    return 0;
  // The VMs withdraw their items one after the other, in an order that differs
  // between servers so that the burden is spread.
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
