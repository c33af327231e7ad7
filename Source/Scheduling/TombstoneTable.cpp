#include "Scheduling/TombstoneTable.h"

namespace turmericpass {

void TombstoneTable::add(const std::string &RequestId, Tombstone Entry,
                         Instant Now) {
  Entry.ExpiryTime = Now + Lifetime;
  this->ExpiryOrder.emplace_back(Entry.ExpiryTime, RequestId);
  this->Entries[RequestId] = Entry;
}

const Tombstone *TombstoneTable::find(const std::string &RequestId) const {
  const auto Found = this->Entries.find(RequestId);
  return Found == this->Entries.end() ? nullptr : &Found->second;
}

void TombstoneTable::expire(Instant Now) {
  while (!this->ExpiryOrder.empty() && this->ExpiryOrder.front().first <= Now) {
    const auto Found = this->Entries.find(this->ExpiryOrder.front().second);
    if (Found != this->Entries.end() && Found->second.ExpiryTime <= Now)
      this->Entries.erase(Found);
    this->ExpiryOrder.pop_front();
  }
}

} // namespace turmericpass
