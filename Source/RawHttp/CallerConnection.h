#ifndef TURMERICPASS_RAWHTTP_CALLERCONNECTION_H
#define TURMERICPASS_RAWHTTP_CALLERCONNECTION_H

#include "RawHttp/CallerServer.h"
#include "RawHttp/MessageReader.h"

struct bufferevent;

namespace turmericpass {

/// One caller's connection. It reads a request, waits until that is answered,
/// and then reads the next one.
class CallerConnection : private MessageSink {
public:
  CallerConnection(CallerServer &Server, std::uint64_t Id, int Descriptor);
  ~CallerConnection() override;

  void sendHead(int Status, const HttpHeaders &Headers,
                std::optional<std::uint64_t> Length);
  void sendPiece(std::string_view Bytes);
  void finish();
  void abortAnswer();

  /// Whether it waits for a request of which nothing has come.
  bool isIdle() const;

  /// Ends the connection if it has been silent for too long.
  void sweep(Instant Now);

  /// Ends an idle connection in order.
  void closeInOrder();

private:
  enum class Phase {
    Reading,
    /// A request is with the handler.
    Answering,
    /// The last answer is being written.
    Closing,
    /// Everything was written; waits for the caller to close.
    Lingering,
  };

  void headRead(RawHead Head) override;
  void bodyRead(std::string_view Bytes) override;
  void messageRead() override;

  void readMore();
  void refuse(int Status);
  void written();
  void ended();
  /// Removes this object from the server.
  void destroy();

  CallerServer &Server;
  std::uint64_t Id;
  bufferevent *Channel;
  MessageReader Reader;
  Phase Now = Phase::Reading;
  RawRequest Request;
  CallerId Current = 0;
  bool CallerKeepsAlive = false;
  bool TooLarge = false;
  bool Chunked = false;
  bool IsHeadMethod = false;
  Instant LastProgress;
  /// Bytes are being looked at, so the object must not be destroyed.
  bool InRead = false;
  bool DestroyAfterRead = false;
};

} // namespace turmericpass

#endif
