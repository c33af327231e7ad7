#ifndef TURMERICPASS_BATCHER_FINISHRULE_H
#define TURMERICPASS_BATCHER_FINISHRULE_H

#include "Jobs/ItemOutcome.h"
#include "Wire/Messages.h"

#include <string>

namespace turmericpass {

struct IntentDecision;
struct ItemRequest;

/// Decides what the end of a submission means for its item. \p Answer is the
/// whole body of a good answer.
ItemOutcome outcomeOf(const Finish &Ending, const ItemRequest &Request,
                      std::string Answer);

/// Decides about an item that must run at most once and whose intent this
/// batcher did not win.
ItemOutcome outcomeOf(const IntentDecision &Decision,
                      const ItemRequest &Request);

/// Returns the result of an item that no retry repairs.
ItemOutcome endedWith(const std::string &CustomId, std::string Code,
                      std::string Message);

/// Returns the outcome of an item that did not run and waits.
ItemOutcome turnedAway(Duration After);

} // namespace turmericpass

#endif
