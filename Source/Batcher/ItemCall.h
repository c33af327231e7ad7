#ifndef TURMERICPASS_BATCHER_ITEMCALL_H
#define TURMERICPASS_BATCHER_ITEMCALL_H

#include "Admission/RequestLifeCycle.h"
#include "Batcher/ItemReader.h"
#include "Jobs/BatchWorker.h"
#include "Telemetry/Tracer.h"

namespace turmericpass {

/// One item at the dispatchers: its request, its life cycle and what has
/// arrived of its answer.
struct ItemCall {
  WorkItem Item;
  ItemRequest Request;
  RequestLifeCycle Life;
  Tracer::SpanKey Span = 0;
  /// The text of a model's answer so far.
  std::string Text;
  /// The dispatcher where the item counts as outstanding.
  std::string OutstandingAt;
  /// The last load hint of that dispatcher.
  LoadHint Hint;
  /// The item's intent is being won or its outcome stored.
  bool Storing = false;
  /// The item was withdrawn before anything was sent.
  bool Withdrawn = false;
};

/// Returns the body of a good answer as the API's caller expects it.
std::string answerBody(const ItemCall &Call, const Finish &Ending,
                       std::int64_t CreatedSeconds);

} // namespace turmericpass

#endif
