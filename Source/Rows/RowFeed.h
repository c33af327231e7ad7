#ifndef TURMERICPASS_ROWS_ROWFEED_H
#define TURMERICPASS_ROWS_ROWFEED_H

#include "Loop/EventLoop.h"
#include "Rows/RowStore.h"

#include <functional>
#include <string>
#include <vector>

namespace turmericpass {

class Logger;

/// All rows of one part of a table.
struct RowListing {
  std::vector<StoredRow> Rows;
  /// The listing is read in pages at different times. It includes every write
  /// up to this version, and some of the later ones.
  std::uint64_t Version = 0;
  /// Whether the store was unreachable before, so that entries may have expired
  /// because their owners could not renew them. A connection that broke or went
  /// silent while the store could be reached over another one is no outage.
  bool AfterOutage = false;
};

/// Follows the changes of one part of a table, and lists the part again when
/// changes may have been missed.
class RowFeed {
public:
  struct Handlers {
    /// Receives all rows of the part, at the start and after changes may have
    /// been missed.
    std::function<void(const RowListing &Listing)> OnListed;
    /// Receives the rows that changed, in order.
    std::function<void(const std::vector<StoredRow> &Rows)> OnChanged;
  };

  /// \p ChangePause is the pause after an answer with changes. It bounds the
  /// number of calls while many changes are made.
  RowFeed(EventLoop &Loop, RowStore &Store, Logger &Log, std::string Table,
          std::string Part, Duration ChangePause, Handlers RowHandlers);

  void start() { this->listRows(); }

  void setChangePause(Duration Pause) { this->ChangePause = Pause; }

  /// Returns the time of the last answer of the store, or Instant() if there
  /// was none.
  Instant lastAnswer() const { return this->LastAnswer; }

  /// Returns whether the rows have been listed and the last answer is recent.
  bool isCurrent() const;

  /// Returns the estimated current time of the store's clock in milliseconds.
  std::int64_t storeMillis() const;

private:
  void listRows();
  void readPage(std::string From);
  void followChanges();
  void handleFailure(const Error &Failure);
  void handleAnswer(const RowPage &Page);

  EventLoop &Loop;
  RowStore &Store;
  Logger &Log;
  std::string Table;
  std::string Part;
  Duration ChangePause;
  Handlers RowHandlers;
  /// The listing that is being read; its version is 0 before the first page.
  RowListing Listing;
  std::uint64_t Version = 0;
  bool IsListed = false;
  bool HadOutage = false;
  /// The number of calls in a row that failed.
  int Failures = 0;
  Instant LastAnswer;
  std::int64_t StoreOffsetMillis = 0;
};

} // namespace turmericpass

#endif
