#ifndef TURMERICPASS_PLATFORM_BUDGETEDOBJECTSTORE_H
#define TURMERICPASS_PLATFORM_BUDGETEDOBJECTSTORE_H

#include "Platform/ObjectStore.h"
#include "Platform/StoreQueue.h"

namespace turmericpass {

/// Limits the rate of calls to another ObjectStore. Errors: those of
/// ObjectStore, and Unavailable also if a call was not sent because the budget
/// was exhausted.
class BudgetedObjectStore : public ObjectStore {
public:
  BudgetedObjectStore(EventLoop &Loop, ObjectStore &Inner,
                      const StoreLimits &Limits, std::uint64_t Seed);

  void put(std::string Name, std::string Bytes, PutCallback Done) override;
  void get(std::string Name, GetCallback Done) override;
  void remove(std::string Name, PutCallback Done) override;

  const StoreCounts &counts() const { return this->Queue.counts(); }

private:
  ObjectStore &Inner;
  StoreQueue Queue;
};

} // namespace turmericpass

#endif
