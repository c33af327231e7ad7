#ifndef TURMERICPASS_ROWS_ROWSTORE_H
#define TURMERICPASS_ROWS_ROWSTORE_H

#include "Core/Clock.h"
#include "Core/Error.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace turmericpass {

/// A row of the transactional store.
struct StoredRow {
  std::string Table;
  /// A transaction changes rows of one part only. Different parts are changed
  /// independently of each other.
  std::string Part;
  std::string Key;
  std::string Value;
  /// The version increases with each transaction that writes the row. 0 means
  /// that there is no row.
  std::uint64_t Version = 0;
  /// The row was removed. This is set only in lists of changes.
  bool Removed = false;
};

/// A precondition that the row has \p Version. 0 means that there is no row.
struct RowCondition {
  std::string Table;
  std::string Key;
  std::uint64_t Version = 0;
};

struct RowWrite {
  std::string Table;
  std::string Key;
  std::string Value;
};

struct RowRemoval {
  std::string Table;
  std::string Key;
};

/// A set of changes that are made atomically if all conditions hold.
struct RowTransaction {
  std::string Part;
  std::vector<RowCondition> Conditions;
  std::vector<RowWrite> Writes;
  std::vector<RowRemoval> Removals;
};

enum class TransactionOutcome {
  Committed,
  /// A condition does not hold, and nothing was changed.
  Conflict,
  /// The store refused the transaction or was not reached, and nothing was
  /// changed.
  NotDone,
  /// The store did not answer. The changes may have been made, or may be made
  /// some seconds later if the conditions still hold.
  Unknown,
};

std::string_view toName(TransactionOutcome Outcome);

struct TransactionResult {
  TransactionOutcome Outcome = TransactionOutcome::Unknown;
  /// The version of the written rows, if the transaction was committed.
  std::uint64_t Version = 0;
  /// The current rows of the conditions, after a conflict.
  std::vector<StoredRow> Current;
  /// The reason for which the transaction was not committed, for logs.
  std::string Detail;
};

/// One page of rows, read at one point in time.
struct RowPage {
  std::vector<StoredRow> Rows;
  /// The range contains further rows.
  bool Truncated = false;
  /// The newest version in the store.
  std::uint64_t Version = 0;
  /// The store's own steady clock, in milliseconds.
  std::int64_t StoreMillis = 0;
};

/// A range of keys of one part. An empty bound means that the range is
/// unbounded on that side.
struct RowRange {
  std::string Table;
  std::string Part;
  std::string From;
  /// The first key after the range.
  std::string To;
  std::size_t Limit = 500;
};

/// The limits of the store for one transaction and for one row.
struct RowLimits {
  /// The total number of conditions, writes and removals of a transaction.
  std::size_t Entries = 100;
  /// The total size of the values of a transaction in bytes.
  std::size_t TransactionBytes = std::size_t{700} << 10U;
  /// The size of the value of one row in bytes. It is at most a quarter of
  /// TransactionBytes.
  std::size_t ValueBytes = std::size_t{48} << 10U;
};

/// The transactional store that all VMs share. Its operations are linearizable.
/// Reads fail with Unavailable (the store refused or was not reached), Timeout
/// or Malformed.
class RowStore {
public:
  using TransactionCallback = std::function<void(TransactionResult)>;
  using PageCallback = std::function<void(Result<RowPage>)>;

  virtual ~RowStore() = default;

  /// Returns the limits of the store. A transaction that exceeds them is never
  /// committed.
  virtual const RowLimits &limits() const = 0;

  virtual void transact(RowTransaction Change, TransactionCallback Done) = 0;
  virtual void read(RowRange Range, PageCallback Done) = 0;

  /// Reads the rows of \p Table that changed after version \p After. The call
  /// completes as soon as there is such a row, or after \p Wait. It fails with
  /// NotFound if the store no longer has the history since \p After.
  virtual void changes(std::string Table, std::uint64_t After, Duration Wait,
                       PageCallback Done) = 0;
};

} // namespace turmericpass

#endif
