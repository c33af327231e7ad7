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
  /// Raised by every write to the row; 0 stands for an absent row.
  std::uint64_t Version = 0;
  /// The id of the transaction that wrote the row last. A writer whose reply
  /// was lost recognises its own write by it.
  std::string WriteId;
};

/// A precondition: the row's version is \p Version, and 0 means absent.
struct TableCheck {
  std::string Key;
  std::uint64_t Version = 0;
};

struct TablePut {
  std::string Key;
  std::string Value;
};

/// All checks hold and all changes are made, or nothing is.
struct TableTransaction {
  /// Unique for each attempt to change something; a retry after a lost reply
  /// keeps it.
  std::string WriteId;
  std::vector<TableCheck> Checks;
  std::vector<TablePut> Puts;
  std::vector<std::string> Deletes;
};

/// The platform's transactional table service. Errors: Conflict when a check
/// does not hold (nothing was written), Unavailable when the service refused
/// or was not reached (nothing was written), Timeout when the reply was lost
/// (the write may have taken effect), NotFound for an absent row.
class Table {
public:
  using TransactCallback = std::function<void(Result<void>)>;
  using GetCallback = std::function<void(Result<TableRow>)>;
  using ScanCallback = std::function<void(Result<std::vector<TableRow>>)>;

  virtual ~Table() = default;

  virtual void transact(TableTransaction Transaction,
                        TransactCallback Done) = 0;
  virtual void get(std::string Key, GetCallback Done) = 0;

  /// Gives at most \p Limit rows whose key begins with \p Prefix and comes
  /// after \p After, in order of key.
  virtual void scan(std::string Prefix, std::string After, std::size_t Limit,
                    ScanCallback Done) = 0;
};

} // namespace turmericpass

#endif
