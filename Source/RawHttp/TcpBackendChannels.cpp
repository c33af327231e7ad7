#include "RawHttp/TcpBackendChannels.h"

#include "Loop/EventLoop.h"
#include "RawHttp/BackendConnection.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

namespace {

/// How often expired idle connections are closed.
constexpr Duration SweepPeriod = std::chrono::milliseconds(500);

} // namespace

TcpBackendChannels::TcpBackendChannels(EventLoop &Loop) : Loop(Loop) {
  this->Sweep = this->Loop.every(SweepPeriod, [this] { this->closeExpired(); });
}

TcpBackendChannels::~TcpBackendChannels() {
  this->Loop.cancel(this->Sweep);
  this->Connections.clear();
}

BackendConnection *TcpBackendChannels::takeIdleConnection(Pool &From) {
  const Instant Now = this->Loop.clock().now();
  while (!From.Idle.empty()) {
    const auto Found = this->Connections.find(From.Idle.back());
    From.Idle.pop_back();
    if (Found == this->Connections.end())
      continue;
    // Bytes that belong to no request must not be taken for the next answer.
    if (Found->second->isReusable(Now) && !Found->second->hasUnreadInput())
      return Found->second.get();
    --From.Open;
    this->Connections.erase(Found);
  }
  return nullptr;
}

void TcpBackendChannels::failUnsent(SendId Id, SendHandler &Handler,
                                    std::string_view Reason) {
  this->Sends.emplace(Id, 0);
  this->Loop.after(Duration(0), [this, Id, &Handler, Reason] {
    if (this->Sends.erase(Id) > 0)
      Handler.sendFailed(Id, SendFailure::NotSent, Reason);
  });
}

SendId TcpBackendChannels::send(BackendRequest Request, SendHandler &Handler) {
  const SendId Id = this->NextSend++;
  // The bytes that a server gets must be one request.
  if (!hasValidHead(Request.Request)) {
    this->failUnsent(Id, Handler, "the head of the request is invalid");
    return Id;
  }
  Pool &Target = this->Pools[Request.Address];
  BackendConnection *Connection = this->takeIdleConnection(Target);
  if (!Connection && Target.Limit != 0 && Target.Open >= Target.Limit) {
    this->failUnsent(Id, Handler, "connection limit");
    return Id;
  }
  if (!Connection) {
    const std::uint64_t ConnectionId = this->NextConnection++;
    auto NewConnection = std::make_unique<BackendConnection>(
        *this, ConnectionId, Request.Address);
    Connection = NewConnection.get();
    this->Connections.emplace(ConnectionId, std::move(NewConnection));
    ++Target.Open;
    ++this->OpenedConnections;
  }
  this->Sends.emplace(Id, Connection->id());
  Connection->start(Id, std::move(Request), Handler);
  return Id;
}

void TcpBackendChannels::cancel(SendId Id) {
  const auto Found = this->Sends.find(Id);
  if (Found == this->Sends.end())
    return;
  const std::uint64_t Connection = Found->second;
  this->Sends.erase(Found);
  if (const auto Entry = this->Connections.find(Connection);
      Entry != this->Connections.end())
    this->removeConnection(*Entry->second);
}

void TcpBackendChannels::setReading(SendId Id, bool Reading) {
  const auto Found = this->Sends.find(Id);
  if (Found == this->Sends.end())
    return;
  if (const auto Entry = this->Connections.find(Found->second);
      Entry != this->Connections.end())
    Entry->second->setReading(Reading);
}

std::size_t TcpBackendChannels::unsentBytes(SendId Id) const {
  const auto Found = this->Sends.find(Id);
  if (Found == this->Sends.end())
    return 0;
  const auto Entry = this->Connections.find(Found->second);
  return Entry == this->Connections.end() ? 0 : Entry->second->unsentBytes();
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

void TcpBackendChannels::addIdleConnection(BackendConnection &Connection) {
  this->Pools[Connection.address()].Idle.push_back(Connection.id());
}

void TcpBackendChannels::removeConnection(BackendConnection &Connection) {
  if (Connection.deferRemoval())
    return;
  Pool &Owner = this->Pools[Connection.address()];
  std::erase(Owner.Idle, Connection.id());
  --Owner.Open;
  this->Connections.erase(Connection.id());
}

void TcpBackendChannels::closeExpired() {
  const Instant Now = this->Loop.clock().now();
  for (auto &Each : this->Pools) {
    Pool &From = Each.second;
    std::erase_if(From.Idle, [&](std::uint64_t Id) {
      const auto Found = this->Connections.find(Id);
      if (Found != this->Connections.end() && Found->second->isReusable(Now))
        return false;
      From.Open -= this->Connections.erase(Id);
      return true;
    });
  }
}

} // namespace turmericpass
