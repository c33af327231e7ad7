#include "Serving/BackendServer.h"

#include "RawHttp/SocketOptions.h"

#include <algorithm>

namespace turmericpass {

namespace {

/// Returns whether the text consists of visible ASCII characters.
bool isVisible(const std::string &Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char C) {
    return C > ' ' && C < '\x7f';
  });
}

} // namespace

Result<void> checkServerEntry(const ServerEntry &Entry) {
  if (!isVisible(Entry.Id))
    return failure(ErrorCode::InvalidArgument,
                   "The name of a server is empty or has other characters "
                   "than visible ASCII characters.");
  if (Entry.Service.empty())
    return failure(ErrorCode::InvalidArgument,
                   "The entry of a server names no service.");
  if (const Result<sockaddr_in> Address = parseSocketAddress(Entry.Address);
      !Address)
    return tl::make_unexpected(Address.error());
  return {};
}

} // namespace turmericpass
