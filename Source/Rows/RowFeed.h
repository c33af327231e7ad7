#ifndef TURMERICPASS_ROWS_ROWFEED_H
#define TURMERICPASS_ROWS_ROWFEED_H

#include "Loop/EventLoop.h"
#include "Rows/RowStore.h"

#include <functional>
#include <string>
#include <vector>

namespace turmericpass {

class Logger;

/// Follows the changes of one part of a table, and reads it whole when changes
/// may have been missed.
class RowFeed {
public:
  struct Handlers {
    /// All rows of the part, at the start and after changes were missed. \p
    /// Gap tells whether the store was out of reach before.
    std::function<void(const std::vector<StoredRow> &Rows, bool Gap)> Listed;
    /// Rows that changed, in order.
    std::function<void(const std::vector<StoredRow> &Rows)> Changed;
  };

  /// \p ChangePause is kept between two answers with changes, so that a stream
  /// of changes costs few calls.
  RowFeed(EventLoop &Loop, RowStore &Store, Logger &Log, std::string Table,
          std::string Part, Duration ChangePause, Handlers Told);

  void start() { this->list(); }

  /// When the store last answered; Instant() if it never did.
  Instant lastAnswer() const { return this->LastAnswer; }

  /// Whether the rows are known and the last answer is recent.
  bool isCurrent() const;

  /// Milliseconds of the store's clock now, as far as it is known.
  std::int64_t storeMillis() const;

private:
  void list();
  void readPage(std::string From);
  void follow();
  void failed(const Error &Why, bool ListAgain);
  void answered(const RowPage &Page);

  EventLoop &Loop;
  RowStore &Store;
  Logger &Log;
  std::string Table;
  std::string Part;
  Duration ChangePause;
  Handlers Told;
  std::vector<StoredRow> Rows;
  std::uint64_t ListVersion = 0;
  std::uint64_t Version = 0;
  bool Listed = false;
  bool Gap = false;
  int Failures = 0;
  Instant LastAnswer;
  std::int64_t StoreOffset = 0;
};

} // namespace turmericpass

#endif
