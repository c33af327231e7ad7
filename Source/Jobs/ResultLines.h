#ifndef TURMERICPASS_JOBS_RESULTLINES_H
#define TURMERICPASS_JOBS_RESULTLINES_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// What an item of a batch ended with.
struct ItemResult {
  std::string CustomId;
  /// The request id of the last submission; empty if there was none.
  std::string RequestId;
  /// The backend server's HTTP status, or 0 if there was no answer.
  std::uint32_t Status = 0;
  std::string Body;
  /// Set if there was no answer, such as "batch_expired".
  std::string ErrorCode;
  std::string ErrorMessage;

  /// True if the server answered with a status of success.
  bool succeeded() const {
    return this->ErrorCode.empty() && this->Status >= 200 && this->Status < 300;
  }
};

/// Returns the item's line as the files-and-batches API has it, without a line
/// end.
std::string resultLine(const ItemResult &Item);

/// Result lines by the item's index within its piece.
using IndexedLines = std::map<std::uint32_t, std::string>;

/// Packs \p Lines into a result object: "index<TAB>line" for each.
std::string packLines(const IndexedLines &Lines);

/// Appends the lines of a result object to \p Into. Returns false for text
/// that is no result object.
bool unpackLines(std::string_view Bytes,
                 std::vector<std::pair<std::uint32_t, std::string>> &Into);

} // namespace turmericpass

#endif
