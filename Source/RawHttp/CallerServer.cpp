#include "RawHttp/CallerServer.h"

#include "Loop/EventLoop.h"
#include "RawHttp/CallerConnection.h"
#include "RawHttp/SocketOptions.h"

#include <cerrno>
#include <cstring>
#include <event2/event.h>
#include <event2/listener.h>
#include <utility>
#include <vector>

namespace turmericpass {

namespace {

/// How often the time limits of all connections are checked.
constexpr Duration TimeLimitCheckPeriod = std::chrono::milliseconds(500);

/// Length of the queue of connections that are not accepted yet. If the queue
/// is full, the peer repeats its packet only after a second.
constexpr int ListenBacklog = 512;

} // namespace

CallerServer::CallerServer(EventLoop &Loop, CallerHandler &Handler)
    : Loop(Loop), Handler(Handler) {
  this->Loop.every(TimeLimitCheckPeriod, [this] { this->applyTimeLimits(); });
}

CallerServer::~CallerServer() {
  this->Connections.clear();
  this->closeListener();
}

Result<void> CallerServer::listen(const std::string &Address) {
  const Result<sockaddr_in> Bound = parseSocketAddress(Address);
  if (!Bound)
    return tl::make_unexpected(Bound.error());
  this->Listener = evconnlistener_new_bind(
      this->Loop.base(),
      [](evconnlistener *, evutil_socket_t Descriptor, sockaddr *, int,
         void *Self) {
        static_cast<CallerServer *>(Self)->addConnection(Descriptor);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      ListenBacklog, reinterpret_cast<const sockaddr *>(&*Bound),
      sizeof(*Bound));
  if (!this->Listener)
    return failure(ErrorCode::Unavailable, "Cannot listen at " + Address +
                                               ": " + std::strerror(errno) +
                                               ".");
  return {};
}

void CallerServer::addConnection(int Descriptor) {
  const std::uint64_t Id = this->NextConnection++;
  this->Connections.emplace(
      Id, std::make_unique<CallerConnection>(*this, Id, Descriptor));
}

CallerConnection *CallerServer::findConnection(CallerId Id) {
  const auto Request = this->Requests.find(Id);
  if (Request == this->Requests.end())
    return nullptr;
  const auto Found = this->Connections.find(Request->second);
  return Found == this->Connections.end() ? nullptr : Found->second.get();
}

void CallerServer::reply(CallerId Id, int Status, const HttpHeaders &Headers,
                         std::string_view Body) {
  CallerConnection *Connection = this->findConnection(Id);
  if (!Connection)
    return;
  Connection->sendHead(Status, Headers, Body.size());
  Connection->sendPiece(Body);
  Connection->finish();
}

void CallerServer::sendHead(CallerId Id, int Status, const HttpHeaders &Headers,
                            std::optional<std::uint64_t> Length) {
  if (CallerConnection *Connection = this->findConnection(Id))
    Connection->sendHead(Status, Headers, Length);
}

void CallerServer::sendPiece(CallerId Id, std::string_view Bytes) {
  if (CallerConnection *Connection = this->findConnection(Id))
    Connection->sendPiece(Bytes);
}

std::size_t CallerServer::unsentBytes(CallerId Id) const {
  const auto Request = this->Requests.find(Id);
  if (Request == this->Requests.end())
    return 0;
  const auto Connection = this->Connections.find(Request->second);
  return Connection == this->Connections.end()
             ? 0
             : Connection->second->unsentBytes();
}

void CallerServer::finish(CallerId Id) {
  if (CallerConnection *Connection = this->findConnection(Id))
    Connection->finish();
}

void CallerServer::abortAnswer(CallerId Id) {
  if (CallerConnection *Connection = this->findConnection(Id))
    Connection->abortAnswer();
}

void CallerServer::closeListener() {
  if (this->Listener)
    evconnlistener_free(std::exchange(this->Listener, nullptr));
}

void CallerServer::closeIdleConnections() {
  for (auto &[Id, Connection] : this->Connections)
    if (Connection->isIdle())
      Connection->closeGracefully();
}

void CallerServer::applyTimeLimits() {
  std::vector<std::uint64_t> Ids;
  Ids.reserve(this->Connections.size());
  for (const auto &[Id, Connection] : this->Connections)
    Ids.push_back(Id);
  const Instant Now = this->Loop.clock().now();
  for (std::uint64_t Id : Ids)
    if (const auto Found = this->Connections.find(Id);
        Found != this->Connections.end())
      Found->second->applyTimeLimits(Now);
}

} // namespace turmericpass
