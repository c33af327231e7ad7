#include "Scheduling/FairLane.h"

#include <algorithm>

namespace turmericpass {

namespace {

// One round grants a customer this many tokens or milliseconds. The largest
// price bounds the rounds that are needed to find the next item.
constexpr double Quantum = 64;
constexpr double LargestPrice = 2048;

} // namespace

double FairLane::price(double Cost) {
  return std::clamp(Cost, 1.0, LargestPrice);
}

void FairLane::push(const WorkItem &Item) {
  ++this->Size;
  if (Item.WasStarted) {
    this->Resumed.emplace(Item.QueueKey, Item.Id);
    return;
  }
  CustomerQueue &Queue = this->Customers[Item.Work.Customer];
  if (Queue.Waiting.empty())
    this->Turns.push_back(Item.Work.Customer);
  Queue.Waiting.emplace(Place{Item.QueueKey, Item.Id}, price(Item.Cost));
}

void FairLane::remove(const WorkItem &Item, bool Served) {
  const Place Key{Item.QueueKey, Item.Id};
  if (this->Resumed.erase(Key) != 0) {
    --this->Size;
    return;
  }
  const auto Owner = this->Customers.find(Item.Work.Customer);
  if (Owner == this->Customers.end())
    return;
  CustomerQueue &Queue = Owner->second;
  const auto Found = Queue.Waiting.find(Key);
  if (Found == Queue.Waiting.end())
    return;
  if (Served)
    Queue.Deficit -= Found->second;
  Queue.Waiting.erase(Found);
  --this->Size;
  if (!Queue.Waiting.empty())
    return;
  // An idle customer saves up no turns.
  this->Turns.remove(Item.Work.Customer);
  this->Customers.erase(Owner);
}

FairLane::Place FairLane::headPlace() {
  if (!this->Resumed.empty())
    return *this->Resumed.begin();
  while (true) {
    CustomerQueue &Queue = this->Customers.at(this->Turns.front());
    const auto &[Key, Price] = *Queue.Waiting.begin();
    if (Price <= Queue.Deficit)
      return Key;
    // Dependencies one customer there is nobody to take turns with.
    Queue.Deficit += this->Turns.size() == 1 ? Price : Quantum;
    this->Turns.splice(this->Turns.end(), this->Turns, this->Turns.begin());
  }
}

ItemId FairLane::head() { return this->headPlace().second; }

Instant FairLane::headKey() { return this->headPlace().first; }

} // namespace turmericpass
