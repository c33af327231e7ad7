#ifndef TURMERICPASS_RAWHTTP_CALLERSERVER_H
#define TURMERICPASS_RAWHTTP_CALLERSERVER_H

#include "Core/Clock.h"
#include "Core/Error.h"
#include "RawHttp/CallerPort.h"

#include <map>
#include <memory>
#include <string>

struct evconnlistener;

namespace turmericpass {

class CallerConnection;
class EventLoop;

/// Limits of the size of requests and of the time that callers may take.
struct CallerLimits {
  std::size_t HeaderBytes = std::size_t{16} << 10U;
  std::size_t BodyBytes = std::size_t{4} << 20U;
  /// How long a started request may make no progress before it is rejected.
  Duration RequestTime = std::chrono::seconds(10);
  /// How long a connection without a request is kept open.
  Duration IdleTime = std::chrono::seconds(15);
};

/// Accepts connections from callers and reads their requests, one at a time on
/// each connection.
class CallerServer : public CallerPort {
public:
  CallerServer(EventLoop &Loop, CallerHandler &Handler);
  ~CallerServer() override;

  /// Starts accepting connections at \p Address ("ip:port").
  Result<void> listen(const std::string &Address);

  void setLimits(const CallerLimits &Limits) { this->Limits = Limits; }

  /// Makes each further answer the last one on its connection.
  void startDraining() { this->Draining = true; }

  /// Stops accepting connections.
  void closeListener();

  /// Closes the connections that carry no request.
  void closeIdleConnections();

  std::size_t openRequests() const { return this->Requests.size(); }
  std::size_t openConnections() const { return this->Connections.size(); }

  void reply(CallerId Id, int Status, const HttpHeaders &Headers,
             std::string_view Body) override;
  void sendHead(CallerId Id, int Status, const HttpHeaders &Headers,
                std::optional<std::uint64_t> Length) override;
  void sendPiece(CallerId Id, std::string_view Bytes) override;
  std::size_t unsentBytes(CallerId Id) const override;
  std::size_t totalUnsentBytes() const override { return this->TotalUnsent; }
  void finish(CallerId Id) override;
  void abortAnswer(CallerId Id) override;

private:
  friend class CallerConnection;

  CallerConnection *findConnection(CallerId Id);
  void addConnection(int Descriptor);
  void applyTimeLimits();

  EventLoop &Loop;
  CallerHandler &Handler;
  CallerLimits Limits;
  evconnlistener *Listener = nullptr;
  bool Draining = false;
  std::size_t TotalUnsent = 0;
  std::uint64_t NextConnection = 1;
  CallerId NextRequest = 1;
  std::map<std::uint64_t, std::unique_ptr<CallerConnection>> Connections;
  /// Maps each unanswered request to the id of its connection.
  std::map<CallerId, std::uint64_t> Requests;
};

} // namespace turmericpass

#endif
