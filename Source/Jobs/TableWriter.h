#ifndef TURMERICPASS_JOBS_TABLEWRITER_H
#define TURMERICPASS_JOBS_TABLEWRITER_H

#include "Jobs/Protections.h"
#include "Platform/Table.h"

namespace turmericpass {

/// Makes a transaction whose outcome is known even if replies are lost. A
/// transaction must check the version of its witness row, so that sending it
/// twice changes the table once.
class TableWriter {
public:
  /// How often one call sends its transaction before it gives up.
  static constexpr int MaxTries = 3;

  explicit TableWriter(Table &Rows, Protections Rules = {})
      : Rows(Rows), Rules(Rules) {}

  /// Makes \p Transaction. \p Witness is a row that it puts and that nobody
  /// overwrites while the caller still waits. Success: it took effect.
  /// Conflict and Unavailable: it did not. Timeout: not known; the caller may
  /// call again with the same write id and \p Uncertain set.
  void commit(TableTransaction Transaction, std::string Witness,
              Table::TransactCallback Done, bool Uncertain = false) const;

private:
  Table &Rows;
  Protections Rules;
};

} // namespace turmericpass

#endif
