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
  /// The rows of one part are changed together; different parts are changed
  /// independently of each other.
  std::string Part;
  std::string Key;
  std::string Value;
  /// Raised by each transaction that writes the row; 0 stands for no row.
  std::uint64_t Version = 0;
  /// The row was removed; only in changes.
  bool Removed = false;
};

/// A precondition: the row has \p Version, and 0 means that there is no row.
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

/// All conditions hold and all changes are made, or nothing is.
struct RowTransaction {
  std::string Part;
  std::vector<RowCondition> Conditions;
  std::vector<RowWrite> Writes;
  std::vector<RowRemoval> Removals;
};

enum class TransactionOutcome {
  Committed,
  /// A condition does not hold; nothing was changed.
  Conflict,
  /// The store refused or was not reached; nothing was changed.
  NotDone,
  /// No answer came. The change may have been made, or may be made seconds
  /// later while its conditions still hold.
  Unknown,
};

std::string_view toName(TransactionOutcome Outcome);

struct TransactionResult {
  TransactionOutcome Outcome = TransactionOutcome::Unknown;
  /// The version of the rows that were written, if they were.
  std::uint64_t Version = 0;
  /// After a conflict: the rows of the conditions as they are now.
  std::vector<StoredRow> Current;
  /// Why it was not done, for logs.
  std::string Detail;
};

/// Rows as of one moment.
struct RowPage {
  std::vector<StoredRow> Rows;
  /// More rows follow.
  bool Truncated = false;
  /// The newest version in the store.
  std::uint64_t Version = 0;
  /// The store's own steady clock, in milliseconds.
  std::int64_t StoreMillis = 0;
};

/// A range of keys of one part; an empty end is open.
struct RowRange {
  std::string Table;
  std::string Part;
  std::string From;
  /// The first key beyond the range.
  std::string To;
  std::size_t Limit = 500;
};

/// What the store takes at most in one transaction and in one row.
struct RowLimits {
  /// Conditions, writes and removals of a transaction, added up.
  std::size_t Entries = 100;
  /// Values of a transaction, added up, in bytes.
  std::size_t TransactionBytes = std::size_t{700} << 10U;
  /// The value of one row, in bytes; at most a quarter of a transaction.
  std::size_t ValueBytes = std::size_t{48} << 10U;
};

/// The transactional store that all VMs share. Its answers are linearizable.
/// Errors of reads: Unavailable (refused or not reached), Timeout, Malformed.
class RowStore {
public:
  using TransactDone = std::function<void(TransactionResult)>;
  using PageCallback = std::function<void(Result<RowPage>)>;

  virtual ~RowStore() = default;

  /// A transaction beyond these limits is never made.
  virtual const RowLimits &limits() const = 0;

  virtual void transact(RowTransaction Change, TransactDone Done) = 0;
  virtual void read(RowRange Range, PageCallback Done) = 0;

  /// Gives the rows of \p Table that changed after version \p After, as soon
  /// as there is one or after \p Wait. NotFound: that history is gone.
  virtual void changes(std::string Table, std::uint64_t After, Duration Wait,
                       PageCallback Done) = 0;
};

} // namespace turmericpass

#endif
