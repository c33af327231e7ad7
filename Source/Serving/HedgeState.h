#ifndef TURMERICPASS_SERVING_HEDGESTATE_H
#define TURMERICPASS_SERVING_HEDGESTATE_H

#include "Loop/EventLoop.h"
#include "RawHttp/BackendChannels.h"
#include "Serving/EventSplitter.h"
#include "Serving/StallPolicy.h"

#include <optional>
#include <string>

namespace turmericpass {

/// The beginning of an event stream that is held back until its first event,
/// because the answer of the other copy may be given to the caller instead.
struct HeldAnswer {
  std::optional<RawHead> Head;
  std::string Bytes;
  EventSplitter Events;
};

/// The second send of a request, while the first one is also in progress.
struct HedgeCopy {
  SendId Id = 0;
  std::string Server;
  Instant SentAt;
  StallPolicy Stall;
  HeldAnswer Held;
};

/// The state of a call that may have two sends in progress.
struct HedgeState {
  /// Fires when the answer is late.
  WatchId Timer = 0;
  /// The beginning of the answer to the first send.
  HeldAnswer Held;
  std::optional<HedgeCopy> Copy;
  /// The server to which a copy was sent, or empty.
  std::string CopyServer;
  /// The copy took the place of the first send.
  bool CopyWon = false;
  /// The number of runs of which the caller got nothing, because the other
  /// copy was in progress when they ended.
  int UnusedRuns = 0;

  /// Returns whether a copy may still be sent, or is in progress together with
  /// the first send.
  bool isPending() const { return this->Timer != 0 || this->Copy; }
  bool isCopy(SendId Id) const { return this->Copy && this->Copy->Id == Id; }
  HeldAnswer &heldAnswer(SendId Id) {
    return this->isCopy(Id) ? this->Copy->Held : this->Held;
  }
};

} // namespace turmericpass

#endif
