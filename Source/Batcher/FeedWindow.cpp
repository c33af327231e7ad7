#include "Batcher/FeedWindow.h"

#include <algorithm>

namespace turmericpass {

namespace {

constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(250);
/// The refusals of one burst halve the window once.
constexpr Duration HalvingPeriod = std::chrono::milliseconds(200);

} // namespace

std::set<std::string> FeedWindow::shut(const std::string &Service) const {
  std::set<std::string> Peers;
  for (const auto &[Key, Value] : this->Entries)
    if (Key.second == Service && (Value.Outstanding >= Value.Window ||
                                  Value.ShutUntil > this->Time.now()))
      Peers.insert(Key.first);
  return Peers;
}

void FeedWindow::submitted(const std::string &Peer,
                           const std::string &Service) {
  ++this->Entries[{Peer, Service}].Outstanding;
}

void FeedWindow::ended(const std::string &Peer, const std::string &Service,
                       const LoadHint &Hint) {
  Entry &Value = this->Entries[{Peer, Service}];
  const bool WasFull = Value.Outstanding >= Value.Window;
  if (Value.Outstanding > 0)
    --Value.Outstanding;
  if (Hint.Service != Service)
    return;
  if (Hint.QueuedBatch < ShortQueue && WasFull)
    Value.Window = std::min(Value.Window + 1, Most);
  else if (Hint.QueuedBatch > LongQueue)
    Value.Window = std::max(Value.Window - 1, First);
}

void FeedWindow::refused(const std::string &Peer, const std::string &Service,
                         Duration RetryAfter) {
  const Instant Now = this->Time.now();
  Entry &Value = this->Entries[{Peer, Service}];
  Value.ShutUntil =
      Now + (RetryAfter > Duration{0} ? RetryAfter : DefaultRetryAfter);
  if (Now - Value.Halved < HalvingPeriod)
    return;
  Value.Halved = Now;
  Value.Window = std::max(Value.Window / 2, std::uint32_t{1});
}

std::uint32_t FeedWindow::window(const std::string &Peer,
                                 const std::string &Service) const {
  const auto Found = this->Entries.find({Peer, Service});
  return Found == this->Entries.end() ? First : Found->second.Window;
}

} // namespace turmericpass
