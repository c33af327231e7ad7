#include "RawHttp/TcpBackendChannels.h"

#include "Loop/EventLoop.h"
#include "RawHttp/BackendConnection.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

namespace {

/// How often idle connections past their time are closed.
constexpr Duration SweepPeriod = std::chrono::milliseconds(500);

} // namespace

TcpBackendChannels::TcpBackendChannels(EventLoop &Loop) : Loop(Loop) {
  this->Loop.every(SweepPeriod, [this] { this->sweep(); });
}

TcpBackendChannels::~TcpBackendChannels() { this->Connections.clear(); }

BackendConnection *TcpBackendChannels::takeIdle(Pool &From) {
  const Instant Now = this->Loop.clock().now();
  while (!From.Idle.empty()) {
    const auto Found = this->Connections.find(From.Idle.back());
    From.Idle.pop_back();
    if (Found == this->Connections.end())
      continue;
    if (Found->second->isFresh(Now))
      return Found->second.get();
    --From.Open;
    this->Connections.erase(Found);
  }
  return nullptr;
}

SendId TcpBackendChannels::send(BackendRequest Order, SendHandler &Handler) {
  const SendId Id = this->NextSend++;
  Pool &Target = this->Pools[Order.Address];
  BackendConnection *Connection = this->takeIdle(Target);
  if (!Connection && Target.Limit != 0 && Target.Open >= Target.Limit) {
    // Told from the loop like every failure.
    this->Sends.emplace(Id, 0);
    this->Loop.after(Duration(0), [this, Id, &Handler] {
      if (this->Sends.erase(Id) > 0)
        Handler.sendFailed(Id, SendFailure::NotSent, "connection limit");
    });
    return Id;
  }
  if (!Connection) {
    const std::uint64_t New = this->NextConnection++;
    auto Added = std::make_unique<BackendConnection>(*this, New, Order.Address);
    Connection = Added.get();
    this->Connections.emplace(New, std::move(Added));
    ++Target.Open;
    ++this->Opened;
  }
  this->Sends.emplace(Id, Connection->id());
  Connection->start(Id, std::move(Order), Handler);
  return Id;
}

void TcpBackendChannels::cancel(SendId Id) {
  const auto Found = this->Sends.find(Id);
  if (Found == this->Sends.end())
    return;
  const std::uint64_t Connection = Found->second;
  this->Sends.erase(Found);
  if (const auto Used = this->Connections.find(Connection);
      Used != this->Connections.end())
    this->removed(*Used->second);
}

void TcpBackendChannels::forget(const std::string &Address) {
  const auto Found = this->Pools.find(Address);
  if (Found == this->Pools.end())
    return;
  for (std::uint64_t Id : Found->second.Idle)
    Found->second.Open -= this->Connections.erase(Id);
  Found->second.Idle.clear();
}

bool TcpBackendChannels::hasIdleConnection(const std::string &Address) const {
  const auto Found = this->Pools.find(Address);
  return Found != this->Pools.end() && !Found->second.Idle.empty();
}

void TcpBackendChannels::setConnectionLimit(const std::string &Address,
                                            std::size_t Limit) {
  this->Pools[Address].Limit = Limit;
}

void TcpBackendChannels::becameIdle(BackendConnection &Connection) {
  this->Pools[Connection.address()].Idle.push_back(Connection.id());
}

void TcpBackendChannels::removed(BackendConnection &Connection) {
  if (Connection.deferRemoval())
    return;
  Pool &Source = this->Pools[Connection.address()];
  std::erase(Source.Idle, Connection.id());
  --Source.Open;
  this->Connections.erase(Connection.id());
}

void TcpBackendChannels::sweep() {
  const Instant Now = this->Loop.clock().now();
  for (auto &Each : this->Pools) {
    Pool &From = Each.second;
    std::erase_if(From.Idle, [&](std::uint64_t Id) {
      const auto Found = this->Connections.find(Id);
      if (Found != this->Connections.end() && Found->second->isFresh(Now))
        return false;
      From.Open -= this->Connections.erase(Id);
      return true;
    });
  }
}

} // namespace turmericpass
