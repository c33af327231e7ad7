#ifndef TURMERICPASS_RAWHTTP_BACKENDCONNECTION_H
#define TURMERICPASS_RAWHTTP_BACKENDCONNECTION_H

#include "RawHttp/MessageReader.h"
#include "RawHttp/TcpBackendChannels.h"

struct bufferevent;

namespace turmericpass {

/// One connection to a server; carries one request at a time.
class BackendConnection : private MessageSink {
public:
  BackendConnection(TcpBackendChannels &Owner, std::uint64_t Id,
                    std::string Address);
  ~BackendConnection() override;

  std::uint64_t id() const { return this->Id; }
  const std::string &address() const { return this->Address; }

  void start(SendId Send, BackendRequest Order, SendHandler &Handler);

  /// While bytes are being looked at the object must stay; then this notes the
  /// removal for later and returns true.
  bool deferRemoval();

  /// Whether the connection can still carry a request at \p Now.
  bool isFresh(Instant Now) const { return Now < this->UsableUntil; }

private:
  void headRead(RawHead Head) override;
  void bodyRead(std::string_view Bytes) override;
  void messageRead() override;

  void connect();
  void writeRequest();
  void readMore();
  void event(short Events);
  void fail(SendFailure Failure, std::string_view Detail);
  /// Ends the request and tells the handler last, since that may send again.
  void answered();

  TcpBackendChannels &Owner;
  std::uint64_t Id;
  std::string Address;
  bufferevent *Channel = nullptr;
  MessageReader Reader;
  SendId Send = 0;
  SendHandler *Handler = nullptr;
  BackendRequest Order;
  bool Connected = false;
  bool HeadSeen = false;
  /// The present answer is one to an earlier request.
  bool Skipping = false;
  bool Reusable = false;
  bool InRead = false;
  bool DestroyAfterRead = false;
  Duration IdleLimit;
  Instant UsableUntil;
};

} // namespace turmericpass

#endif
