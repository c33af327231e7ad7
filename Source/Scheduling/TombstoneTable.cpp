#include "Scheduling/TombstoneTable.h"

namespace turmericpass {

void TombstoneTable::add(const std::string &RequestId, Tombstone Entry,
                         Instant Now) {
  Entry.Until = Now + Life;
  this->Order.emplace_back(Entry.Until, RequestId);
  this->Entries[RequestId] = Entry;
}

const Tombstone *TombstoneTable::find(const std::string &RequestId) const {
  const auto Found = this->Entries.find(RequestId);
  return Found == this->Entries.end() ? nullptr : &Found->second;
}

void TombstoneTable::expire(Instant Now) {
  while (!this->Order.empty() && this->Order.front().first <= Now) {
    const auto Found = this->Entries.find(this->Order.front().second);
    if (Found != this->Entries.end() && Found->second.Until <= Now)
      this->Entries.erase(Found);
    this->Order.pop_front();
  }
}

} // namespace turmericpass
