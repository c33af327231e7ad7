#ifndef TURMERICPASS_SERVING_CRASHSUSPECTS_H
#define TURMERICPASS_SERVING_CRASHSUSPECTS_H

#include <cstdint>
#include <string_view>
#include <vector>

namespace turmericpass {

/// What the crash of a server may be due to: a request, or a part of its prompt
/// that other requests have as well. Both are identified by hashes.
struct CrashSuspects {
  /// The same for requests with the same target and body.
  std::uint64_t Request = 0;
  std::vector<std::uint64_t> Parts;
};

/// Returns the suspects of a request. \p PromptParts lists the parts of its
/// prompt in the format of BackendProtocol::PromptParts.
CrashSuspects makeCrashSuspects(std::string_view Target, std::string_view Body,
                                std::string_view PromptParts);

/// Returns the hashes of the parts in \p PromptParts, without the last one,
/// which belongs to one request alone.
std::vector<std::uint64_t> sharedPromptParts(std::string_view PromptParts);

} // namespace turmericpass

#endif
