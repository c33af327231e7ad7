#ifndef TURMERICPASS_RAWHTTP_MESSAGEREADER_H
#define TURMERICPASS_RAWHTTP_MESSAGEREADER_H

#include "RawHttp/RawMessage.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace turmericpass {

/// Receives the parts of one message.
class MessageSink {
public:
  virtual ~MessageSink() = default;
  virtual void headRead(RawHead Head) = 0;
  virtual void bodyRead(std::string_view Bytes) = 0;
  virtual void messageRead() = 0;
};

enum class ReadOutcome {
  /// More bytes are needed.
  Partial,
  /// A message ended; the bytes after it were not looked at.
  Complete,
  /// The bytes are not HTTP/1.1, or the head exceeds the limit.
  Invalid,
};

/// Cuts the bytes of a connection into HTTP/1.1 messages. It stops after each
/// message, so that bytes beyond an answer are never taken for part of it.
class MessageReader {
public:
  enum class Kind { Requests, Answers };

  /// \p HeadBytes bounds one head.
  MessageReader(Kind Messages, std::size_t HeadBytes, MessageSink &Sink);
  ~MessageReader();
  MessageReader(const MessageReader &) = delete;
  MessageReader &operator=(const MessageReader &) = delete;

  struct Step {
    ReadOutcome Outcome = ReadOutcome::Partial;
    /// How many bytes were used.
    std::size_t Used = 0;
  };

  /// Reads \p Bytes up to the end of the present message.
  Step feed(std::string_view Bytes);

  /// Tells that the sender closed the connection in order. Returns Complete if
  /// that is how the present message ends.
  ReadOutcome endOfStream();

  /// Whether any byte of the present message has come.
  bool insideMessage() const;

private:
  struct State;
  std::unique_ptr<State> Parser;
};

} // namespace turmericpass

#endif
