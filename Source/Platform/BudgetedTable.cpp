#include "Platform/BudgetedTable.h"

#include "Platform/BudgetedCall.h"

#include <utility>

namespace turmericpass {

BudgetedTable::BudgetedTable(EventLoop &Loop, Table &Inner,
                             const StoreLimits &Limits, std::uint64_t Seed)
    : Inner(Inner), Queue(Loop, Limits, Seed) {}

void BudgetedTable::transact(TableTransaction Transaction, TransactDone Done) {
  budgetedCall<void>(
      this->Queue, StoreAccess::Write,
      [this, Transaction = std::move(Transaction)](TransactDone Handler) {
        this->Inner.transact(Transaction, std::move(Handler));
      },
      std::move(Done));
}

void BudgetedTable::get(std::string Key, GetDone Done) {
  budgetedCall<TableRow>(
      this->Queue, StoreAccess::Read,
      [this, Key = std::move(Key)](GetDone Handler) {
        this->Inner.get(Key, std::move(Handler));
      },
      std::move(Done));
}

void BudgetedTable::scan(std::string Prefix, std::string After,
                         std::size_t Limit, ScanDone Done) {
  budgetedCall<std::vector<TableRow>>(
      this->Queue, StoreAccess::Read,
      [this, Prefix = std::move(Prefix), After = std::move(After),
       Limit](ScanDone Handler) {
        this->Inner.scan(Prefix, After, Limit, std::move(Handler));
      },
      std::move(Done));
}

} // namespace turmericpass
