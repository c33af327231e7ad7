#include "Serving/UseWindow.h"

#include <algorithm>

namespace turmericpass {

void UseWindow::advance(Instant Now) {
  const std::int64_t Current = Now.time_since_epoch() / SlotLength;
  const auto Count = static_cast<std::int64_t>(SlotCount);
  for (std::int64_t Index = std::max(this->Newest + 1, Current - Count + 1);
       Index <= Current; ++Index) {
    Slot &Reused = this->Slots[static_cast<std::size_t>(Index % Count)];
    this->All -= Reused.All;
    this->Own -= Reused.Own;
    Reused = Slot();
  }
  this->Newest = std::max(this->Newest, Current);
}

void UseWindow::add(Instant Now, std::uint64_t Requests, bool IsOwn) {
  this->advance(Now);
  Slot &Current =
      this->Slots[static_cast<std::size_t>(this->Newest) % SlotCount];
  const auto Count = static_cast<std::uint32_t>(Requests);
  Current.All += Count;
  this->All += Count;
  if (!IsOwn)
    return;
  Current.Own += Count;
  this->Own += Count;
}

void UseWindow::addSpread(Instant Now, std::uint64_t Requests) {
  this->advance(Now);
  for (std::uint32_t I = 0; I < SlotCount; ++I)
    this->Slots[I].All += static_cast<std::uint32_t>(
        Requests * (I + 1) / SlotCount - Requests * I / SlotCount);
  this->All += Requests;
}

std::uint64_t UseWindow::total(Instant Now) {
  this->advance(Now);
  return this->All;
}

std::uint64_t UseWindow::own(Instant Now) {
  this->advance(Now);
  return this->Own;
}

} // namespace turmericpass
