#ifndef TURMERICPASS_RAWHTTP_CALLERCONNECTION_H
#define TURMERICPASS_RAWHTTP_CALLERCONNECTION_H

#include "RawHttp/CallerServer.h"
#include "RawHttp/MessageReader.h"
#include "RawHttp/OutputProgress.h"

struct bufferevent;

namespace turmericpass {

/// The connection of one caller. It reads a request, waits until the request is
/// answered, and then reads the next request.
class CallerConnection : private MessageSink {
public:
  CallerConnection(CallerServer &Server, std::uint64_t Id, int Descriptor);
  ~CallerConnection() override;

  void sendHead(int Status, const HttpHeaders &Headers,
                std::optional<std::uint64_t> Length);
  void sendPiece(std::string_view Bytes);
  /// Returns the number of bytes that were not sent yet.
  std::size_t unsentBytes() const;
  void finish();
  void abortAnswer();

  /// Returns whether the connection waits for a request of which no byte was
  /// received, and the caller has taken the answers before it.
  bool isIdle();

  /// Applies the time limits: closes the connection, or rejects an incomplete
  /// request, if there was no progress for too long before \p Now. A caller
  /// that is still taking an answer makes progress.
  void applyTimeLimits(Instant Now);

  /// Shuts down the sending side and waits for the caller to close.
  void closeGracefully();

private:
  enum class Phase {
    Reading,
    /// The handler is processing a request.
    Answering,
    /// The last answer is being written.
    Closing,
    /// All output was written and the connection waits for the caller to close.
    Lingering,
  };

  void onHead(RawHead Head) override;
  void onBody(std::string_view Bytes) override;
  void onMessageComplete() override;

  /// Processes the input, and ends the connection if that fails unexpectedly.
  void handleInput();
  void processInput();
  bool hasPartOfRequest() const;
  void rejectRequest(int Status);
  void write(std::string_view Bytes);
  /// Records which bytes the caller has taken until \p Now.
  PeerState recordTaken(Instant Now);
  /// Closes the connection if the caller has stopped taking bytes. Returns
  /// whether it did.
  bool closeIfUnread(Instant Now);
  void handleOutputWritten();
  /// Handles the end of the input, or an error.
  void handleEnd(short Events);
  void handleDisconnect();
  /// Removes this object from the server, after the current input is processed
  /// if necessary.
  void destroy();

  CallerServer &Server;
  std::uint64_t Id;
  bufferevent *Channel;
  MessageReader Reader;
  Phase CurrentPhase = Phase::Reading;
  RawRequest Request;
  CallerId CurrentRequest = 0;
  bool CallerKeepsAlive = false;
  bool TooLarge = false;
  bool Chunked = false;
  bool IsHeadMethod = false;
  Instant LastProgress;
  OutputProgress Output;
  /// The kernel waits for a caller that does not read for longer than for one
  /// that does not respond.
  bool WaitsForReader = false;
  /// The number of body bytes since LastProgress was updated.
  std::size_t BytesSinceProgress = 0;
  /// Input is being processed, so the object must not be destroyed.
  bool ProcessingInput = false;
  bool DestroyAfterInput = false;
};

} // namespace turmericpass

#endif
