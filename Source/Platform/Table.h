#ifndef TURMERICPASS_PLATFORM_TABLE_H
#define TURMERICPASS_PLATFORM_TABLE_H

#include "Core/Error.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace turmericpass {

/// A row of the platform's transactional table.
struct TableRow {
  std::string Key;
  std::string Value;
  /// Increases with every write to the row; 0 means that the row is absent.
  std::uint64_t Version = 0;
  /// The id of the transaction that last wrote the row. A writer that did not
  /// receive its reply uses it to detect that its write took effect.
  std::string WriteId;
};

/// A precondition of a transaction: the row has this version, where 0 means
/// that the row is absent.
struct TableCheck {
  std::string Key;
  std::uint64_t Version = 0;
};

struct TablePut {
  std::string Key;
  std::string Value;
};

/// An atomic transaction: if all checks hold, all changes are applied;
/// otherwise none is.
struct TableTransaction {
  /// Unique for each transaction. A retry after a lost reply reuses the id.
  std::string WriteId;
  std::vector<TableCheck> Checks;
  std::vector<TablePut> Puts;
  std::vector<std::string> Deletes;
};

/// The platform's transactional table service. Errors: Conflict if a check does
/// not hold (nothing was written), Unavailable if the service refused the call
/// or was not reached (nothing was written), Timeout if the reply was lost (the
/// write may have taken effect), NotFound for an absent row.
class Table {
public:
  using TransactCallback = std::function<void(Result<void>)>;
  using GetCallback = std::function<void(Result<TableRow>)>;
  using ScanCallback = std::function<void(Result<std::vector<TableRow>>)>;

  virtual ~Table() = default;

  virtual void transact(TableTransaction Transaction,
                        TransactCallback Done) = 0;
  virtual void get(std::string Key, GetCallback Done) = 0;

  /// Reads at most \p Limit rows whose keys begin with \p Prefix and sort after
  /// \p After, in key order.
  virtual void scan(std::string Prefix, std::string After, std::size_t Limit,
                    ScanCallback Done) = 0;
};

} // namespace turmericpass

#endif
