#ifndef TURMERICPASS_RAWHTTP_BACKENDCONNECTION_H
#define TURMERICPASS_RAWHTTP_BACKENDCONNECTION_H

#include "RawHttp/MessageReader.h"
#include "RawHttp/TcpBackendChannels.h"

#include <string_view>

struct bufferevent;

namespace turmericpass {

/// A connection to a backend server, which carries one request at a time.
class BackendConnection : private MessageSink {
public:
  BackendConnection(TcpBackendChannels &Owner, std::uint64_t Id,
                    std::string Address);
  ~BackendConnection() override;

  std::uint64_t id() const { return this->Id; }
  const std::string &address() const { return this->Address; }

  void start(SendId Send, BackendRequest Request, SendHandler &Handler);

  /// Stops or resumes reading the answer.
  void setReading(bool Reading);

  /// Returns how many bytes of the request wait to be written.
  std::size_t unsentBytes() const;

  /// Ends the current request. Returns true if the connection is processing
  /// input: the object must then not be destroyed yet, and the connection
  /// removes itself once the input is processed.
  bool deferRemoval();

  /// Returns whether the connection may carry another request at \p Now.
  bool isReusable(Instant Now) const { return Now < this->UsableUntil; }
  /// Returns whether the server has sent bytes or closed the connection since
  /// the last answer.
  bool hasUnreadInput() const;

private:
  void onHead(RawHead Head) override;
  void onBody(std::string_view Bytes) override;
  void onMessageComplete() override;

  void connect();
  void writeRequest();
  /// Processes the input, and ends the connection if that fails unexpectedly.
  void handleInput();
  void processInput();
  void handleEvent(short Events);
  void fail(SendFailure Failure, std::string_view Detail);
  /// Ends the request. The handler is notified last, since it may send another
  /// request.
  void completeAnswer();

  TcpBackendChannels &Owner;
  std::uint64_t Id;
  std::string Address;
  bufferevent *Channel = nullptr;
  MessageReader Reader;
  SendId CurrentSend = 0;
  SendHandler *Handler = nullptr;
  BackendRequest CurrentRequest;
  bool Connected = false;
  bool HeadReceived = false;
  /// The current answer belongs to an earlier request.
  bool SkippingAnswer = false;
  /// The bytes of answers to earlier requests that came in place of the current
  /// one.
  std::size_t SkippedBytes = 0;
  bool Reusable = false;
  /// An answer on this connection had the echo header, so that each one has.
  bool ServerEchoes = false;
  /// The connection has carried a request without a value to echo. A second
  /// copy of its answer cannot be told from an answer that lacks the header.
  bool CarriedUnnamedRequest = false;
  /// The reason for which the current answer is not accepted, if any.
  std::string_view RejectionReason;
  std::size_t BodyBytes = 0;
  bool ProcessingInput = false;
  bool DestroyAfterInput = false;
  Duration IdleLimit;
  Instant UsableUntil;
};

} // namespace turmericpass

#endif
