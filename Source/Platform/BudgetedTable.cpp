#include "Platform/BudgetedTable.h"

#include "Platform/BudgetedCall.h"

#include <utility>

namespace turmericpass {

BudgetedTable::BudgetedTable(EventLoop &Loop, Table &Inner,
                             const StoreLimits &Limits, std::uint64_t Seed)
    : Inner(Inner), Queue(Loop, Limits, Seed) {}

void BudgetedTable::transact(TableTransaction Transaction,
                             TransactCallback Done) {
  callWithinBudget<void>(
      this->Queue, StoreAccess::Write,
      [this, Transaction = std::move(Transaction)](TransactCallback Handler) {
        this->Inner.transact(Transaction, std::move(Handler));
      },
      std::move(Done));
}

void BudgetedTable::get(std::string Key, GetCallback Done) {
  callWithinBudget<TableRow>(
      this->Queue, StoreAccess::Read,
      [this, Key = std::move(Key)](GetCallback Handler) {
        this->Inner.get(Key, std::move(Handler));
      },
      std::move(Done));
}

void BudgetedTable::scan(std::string Prefix, std::string After,
                         std::size_t Limit, ScanCallback Done) {
  callWithinBudget<std::vector<TableRow>>(
      this->Queue, StoreAccess::Read,
      [this, Prefix = std::move(Prefix), After = std::move(After),
       Limit](ScanCallback Handler) {
        this->Inner.scan(Prefix, After, Limit, std::move(Handler));
      },
      std::move(Done));
}

} // namespace turmericpass
