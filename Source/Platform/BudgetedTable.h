#ifndef TURMERICPASS_PLATFORM_BUDGETEDTABLE_H
#define TURMERICPASS_PLATFORM_BUDGETEDTABLE_H

#include "Platform/StoreQueue.h"
#include "Platform/Table.h"

namespace turmericpass {

/// Limits the rate of calls to another Table. Errors: those of Table, and
/// Unavailable also if a call was not sent because the budget was exhausted.
class BudgetedTable : public Table {
public:
  BudgetedTable(EventLoop &Loop, Table &Inner, const StoreLimits &Limits,
                std::uint64_t Seed);

  void transact(TableTransaction Transaction, TransactCallback Done) override;
  void get(std::string Key, GetCallback Done) override;
  void scan(std::string Prefix, std::string After, std::size_t Limit,
            ScanCallback Done) override;

  const StoreCounts &counts() const { return this->Queue.counts(); }

private:
  Table &Inner;
  StoreQueue Queue;
};

} // namespace turmericpass

#endif
