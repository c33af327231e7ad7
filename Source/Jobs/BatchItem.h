#ifndef TURMERICPASS_JOBS_BATCHITEM_H
#define TURMERICPASS_JOBS_BATCHITEM_H

#include "Core/Error.h"

#include <string>
#include <string_view>

namespace turmericpass {

/// One line of a batch's input.
struct BatchItem {
  std::string CustomId;
  std::string Method;
  /// The path at the gateway, such as /v1/chat/completions.
  std::string Url;
  /// The body as JSON text.
  std::string Body;
  /// The body's "model", if it has one.
  std::string Model;
};

/// Reads a line. Errors: Malformed, with what is wrong with the line.
Result<BatchItem> parseItem(std::string_view Line);

/// Returns the custom id of a line, empty if it has none.
std::string customIdOf(std::string_view Line);

} // namespace turmericpass

#endif
