#ifndef TURMERICPASS_RAWHTTP_MESSAGEREADER_H
#define TURMERICPASS_RAWHTTP_MESSAGEREADER_H

#include "RawHttp/RawMessage.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace turmericpass {

/// Receives the parts of the messages that a MessageReader parses.
class MessageSink {
public:
  virtual ~MessageSink() = default;
  virtual void onHead(RawHead Head) = 0;
  virtual void onBody(std::string_view Bytes) = 0;
  virtual void onMessageComplete() = 0;
};

enum class ReadOutcome {
  /// More bytes are needed.
  Partial,
  /// The message is complete; the bytes after it were not parsed.
  Complete,
  /// The bytes are not valid HTTP/1.1, or the head exceeds the size limit.
  Invalid,
};

/// Parses the bytes of a connection into HTTP/1.1 messages. It stops after each
/// message, so that bytes after an answer are never treated as part of it.
class MessageReader {
public:
  enum class Kind { Requests, Answers };

  /// \p HeadBytes limits the size of the head of a message.
  MessageReader(Kind Messages, std::size_t HeadBytes, MessageSink &Sink);
  ~MessageReader();
  MessageReader(const MessageReader &) = delete;
  MessageReader &operator=(const MessageReader &) = delete;

  struct Step {
    ReadOutcome Outcome = ReadOutcome::Partial;
    /// Number of bytes that were consumed.
    std::size_t Consumed = 0;
  };

  /// Parses \p Bytes up to the end of the current message.
  Step feed(std::string_view Bytes);

  /// Sets whether answers have no body whatever their heads say, as those to
  /// HEAD requests do.
  void setWithoutBody(bool WithoutBody);

  /// Handles an orderly close of the connection by the sender. Returns Complete
  /// if the close ends the current message.
  ReadOutcome endOfStream();

  /// Returns whether any byte of the current message was received.
  bool isInsideMessage() const;

private:
  struct State;
  std::unique_ptr<State> ReaderState;
};

} // namespace turmericpass

#endif
