#ifndef TURMERICPASS_JOBS_TABLEWRITER_H
#define TURMERICPASS_JOBS_TABLEWRITER_H

#include "Jobs/Protections.h"
#include "Platform/Table.h"

namespace turmericpass {

/// Performs a transaction and determines its outcome even if replies are lost.
/// A transaction must check the version of its witness row, so that sending it
/// twice changes the table only once.
class TableWriter {
public:
  /// The maximum number of times that one call sends its transaction.
  static constexpr int MaxTries = 3;

  explicit TableWriter(Table &Rows, Protections Rules = {})
      : Rows(Rows), Rules(Rules) {}

  /// Performs \p Transaction. \p Witness is the key of a row that the
  /// transaction puts and that no other writer overwrites while the caller
  /// waits. Success means that the transaction took effect; Conflict and
  /// Unavailable mean that it did not. Timeout means that the outcome is not
  /// known; the caller may call again with the same write id and \p Uncertain
  /// set.
  void commit(TableTransaction Transaction, std::string Witness,
              Table::TransactCallback Done, bool Uncertain = false) const;

private:
  Table &Rows;
  Protections Rules;
};

} // namespace turmericpass

#endif
