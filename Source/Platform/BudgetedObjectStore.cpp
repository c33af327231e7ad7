#include "Platform/BudgetedObjectStore.h"

#include "Platform/BudgetedCall.h"

#include <utility>

namespace turmericpass {

BudgetedObjectStore::BudgetedObjectStore(EventLoop &Loop, ObjectStore &Inner,
                                         const StoreLimits &Limits,
                                         std::uint64_t Seed)
    : Inner(Inner), Queue(Loop, Limits, Seed) {}

void BudgetedObjectStore::put(std::string Name, std::string Bytes,
                              PutCallback Done) {
  callWithinBudget<void>(
      this->Queue, StoreAccess::Write,
      [this, Name = std::move(Name),
       Bytes = std::move(Bytes)](PutCallback Handler) {
        this->Inner.put(Name, Bytes, std::move(Handler));
      },
      std::move(Done));
}

void BudgetedObjectStore::get(std::string Name, GetCallback Done) {
  callWithinBudget<std::string>(
      this->Queue, StoreAccess::Read,
      [this, Name = std::move(Name)](GetCallback Handler) {
        this->Inner.get(Name, std::move(Handler));
      },
      std::move(Done));
}

void BudgetedObjectStore::remove(std::string Name, PutCallback Done) {
  callWithinBudget<void>(
      this->Queue, StoreAccess::Write,
      [this, Name = std::move(Name)](PutCallback Handler) {
        this->Inner.remove(Name, std::move(Handler));
      },
      std::move(Done));
}

} // namespace turmericpass
