#ifndef TURMERICPASS_SCHEDULING_TOMBSTONETABLE_H
#define TURMERICPASS_SCHEDULING_TOMBSTONETABLE_H

#include "Core/Clock.h"
#include "Wire/Messages.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace turmericpass {

/// The record of a request that ended or was cancelled.
struct Tombstone {
  std::uint32_t Attempt = 0;
  FinishCode Code = FinishCode::Cancelled;
  Execution Ran = Execution::Unknown;
  Instant ExpiryTime;
};

/// Remembers ended and cancelled requests for longer than a message can be
/// delayed, so that a late Submit is not run.
class TombstoneTable {
public:
  void add(const std::string &RequestId, Tombstone Entry, Instant Now);
  const Tombstone *find(const std::string &RequestId) const;
  void expire(Instant Now);

  static constexpr std::chrono::seconds Lifetime{120};

private:
  std::unordered_map<std::string, Tombstone> Entries;
  std::deque<std::pair<Instant, std::string>> ExpiryOrder;
};

} // namespace turmericpass

#endif
