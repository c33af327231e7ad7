#include "Scheduling/FairQueue.h"

#include <algorithm>

namespace turmericpass {

namespace {

// Each round grants a customer this many tokens or milliseconds. The largest
// charge limits the number of rounds that are needed to find the next item.
constexpr double Quantum = 64;
constexpr double MaxCharge = 2048;

} // namespace

double FairQueue::chargeFor(double Cost) {
  return std::clamp(Cost, 1.0, MaxCharge);
}

void FairQueue::push(const WorkItem &Item) {
  ++this->ItemCount;
  if (Item.WasStarted) {
    this->ResumedItems.emplace(Item.QueueKey, Item.Id);
    return;
  }
  CustomerQueue &Queue = this->Customers[Item.Work.Customer];
  if (Queue.WaitingItems.empty())
    this->RoundRobin.push_back(Item.Work.Customer);
  Queue.WaitingItems.emplace(QueuePosition{Item.QueueKey, Item.Id},
                             chargeFor(Item.Cost));
}

void FairQueue::remove(const WorkItem &Item, bool ChargeCustomer) {
  const QueuePosition Key{Item.QueueKey, Item.Id};
  if (this->ResumedItems.erase(Key) != 0) {
    --this->ItemCount;
    return;
  }
  const auto Found = this->Customers.find(Item.Work.Customer);
  if (Found == this->Customers.end())
    return;
  CustomerQueue &Queue = Found->second;
  const auto Entry = Queue.WaitingItems.find(Key);
  if (Entry == Queue.WaitingItems.end())
    return;
  if (ChargeCustomer)
    Queue.Deficit -= Entry->second;
  Queue.WaitingItems.erase(Entry);
  --this->ItemCount;
  if (!Queue.WaitingItems.empty())
    return;
  // A customer without waiting items keeps no credit.
  this->RoundRobin.remove(Item.Work.Customer);
  this->Customers.erase(Found);
}

FairQueue::QueuePosition FairQueue::headPosition() {
  if (!this->ResumedItems.empty())
    return *this->ResumedItems.begin();
  while (true) {
    CustomerQueue &Queue = this->Customers.at(this->RoundRobin.front());
    const auto &[Key, Charge] = *Queue.WaitingItems.begin();
    if (Charge <= Queue.Deficit)
      return Key;
    // A single customer needs only one round.
    Queue.Deficit += this->RoundRobin.size() == 1 ? Charge : Quantum;
    this->RoundRobin.splice(this->RoundRobin.end(), this->RoundRobin,
                            this->RoundRobin.begin());
  }
}

ItemId FairQueue::head() { return this->headPosition().second; }

Instant FairQueue::headKey() { return this->headPosition().first; }

} // namespace turmericpass
