#ifndef TURMERICPASS_JOBS_RESULTLINES_H
#define TURMERICPASS_JOBS_RESULTLINES_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// The result of a batch item.
struct ItemResult {
  std::string CustomId;
  /// The request id of the last submission, or empty if there was none.
  std::string RequestId;
  /// The HTTP status of the backend server, or 0 if there was no answer.
  std::uint32_t Status = 0;
  std::string Body;
  /// The error code if there was no answer, such as "batch_expired".
  std::string ErrorCode;
  std::string ErrorMessage;

  /// Returns true if the server answered with a success status.
  bool succeeded() const {
    return this->ErrorCode.empty() && this->Status >= 200 && this->Status < 300;
  }
};

/// Returns the line of the item in the format of the files-and-batches API,
/// without a line end.
std::string resultLine(const ItemResult &Item);

/// Result lines by the index of the item within its piece.
using IndexedLines = std::map<std::uint32_t, std::string>;

/// Encodes \p Lines as a result object, with one "index<TAB>line" per item.
std::string packLines(const IndexedLines &Lines);

/// Appends the lines of a result object to \p Into. Returns false if \p Bytes
/// is not a valid result object.
bool unpackLines(std::string_view Bytes,
                 std::vector<std::pair<std::uint32_t, std::string>> &Into);

} // namespace turmericpass

#endif
