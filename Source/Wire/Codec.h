#ifndef TURMERICPASS_WIRE_CODEC_H
#define TURMERICPASS_WIRE_CODEC_H

#include "Core/Error.h"
#include "Wire/Messages.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace turmericpass {

/// The version of the messages between processes. A receiver rejects other
/// versions.
constexpr std::uint32_t ProtocolVersion = 1;

/// The largest message that is sent or accepted, in bytes.
constexpr std::size_t MaxMessageBytes = std::size_t{32} << 20U;

/// A message with the address of its sender, to which answers are sent.
struct Envelope {
  /// "ip:port" of the sender's peer port.
  std::string From;
  Message Body;
};

/// Encodes \p Sent. Errors: TooLarge for more than MaxMessageBytes.
Result<std::string> encode(const Envelope &Sent);

/// Decodes \p Bytes. Errors: Malformed unless they are exactly one complete
/// message of this protocol version; TooLarge for more than MaxMessageBytes.
Result<Envelope> decode(std::string_view Bytes);

} // namespace turmericpass

#endif
