#ifndef TURMERICPASS_JOBS_BATCHITEM_H
#define TURMERICPASS_JOBS_BATCHITEM_H

#include "Core/Error.h"

#include <string>
#include <string_view>

namespace turmericpass {

/// One line of a batch's input file.
struct BatchItem {
  std::string CustomId;
  std::string Method;
  /// The path of the request at the gateway, such as /v1/chat/completions.
  std::string Url;
  /// The body of the request as JSON text.
  std::string Body;
  /// The "model" field of the body, if it has one.
  std::string Model;
};

/// Parses \p Line. Errors: Malformed, with a message that says what is wrong.
Result<BatchItem> parseItem(std::string_view Line);

/// Returns the custom id of \p Line, or an empty string if it has none.
std::string customIdOf(std::string_view Line);

} // namespace turmericpass

#endif
