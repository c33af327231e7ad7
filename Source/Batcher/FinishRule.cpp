#include "Batcher/FinishRule.h"

#include "Batcher/ItemReader.h"
#include "Jobs/IntentLedger.h"

namespace turmericpass {

namespace {

/// How long an item waits for the outcome that another batcher owes.
constexpr Duration IntentPatience = std::chrono::seconds(10);

/// Statuses that speak of the moment and not of the request.
bool isPassing(std::uint32_t Status) {
  return Status == 408 || Status == 409 || Status == 425 || Status == 429 ||
         Status >= 500 || Status == 0;
}

bool mayRunAgain(const Finish &Ending, const ItemRequest &Request) {
  return Request.Work.Repeatable || Ending.Ran == Execution::NotRun;
}

ItemOutcome failedWith(const Finish &Ending, const ItemRequest &Request,
                       std::string Answer) {
  ItemOutcome Outcome;
  Outcome.End = mayRunAgain(Ending, Request) ? ItemEnd::Failed : ItemEnd::Final;
  ItemResult &Result = Outcome.Result;
  Result.CustomId = Request.CustomId;
  Result.RequestId = Ending.RequestId;
  if (Ending.Status != 0) {
    Result.Status = Ending.Status;
    Result.Body = std::move(Answer);
    return Outcome;
  }
  // Without an answer it is not known what the work did, also if it ran.
  Result.ErrorCode = Outcome.End == ItemEnd::Final
                         ? "outcome_unknown"
                         : std::string(toName(Ending.Code));
  Result.ErrorMessage = Ending.Detail;
  return Outcome;
}

} // namespace

ItemOutcome endedWith(const std::string &CustomId, std::string Code,
                      std::string Message) {
  ItemOutcome Outcome;
  Outcome.Result.CustomId = CustomId;
  Outcome.Result.ErrorCode = std::move(Code);
  Outcome.Result.ErrorMessage = std::move(Message);
  return Outcome;
}

ItemOutcome turnedAway(Duration After) {
  ItemOutcome Outcome;
  Outcome.End = ItemEnd::NotRun;
  Outcome.MinDelay = After;
  return Outcome;
}

ItemOutcome outcomeOf(const Finish &Ending, const ItemRequest &Request,
                      std::string Answer) {
  const Duration After = std::chrono::milliseconds(Ending.RetryAfterMs);
  ItemOutcome Outcome = failedWith(Ending, Request, std::move(Answer));
  Outcome.MinDelay = After;
  switch (Ending.Code) {
  case FinishCode::Ok:
  case FinishCode::ServerError:
    if (Ending.Code == FinishCode::Ok && Outcome.Result.Status == 0)
      Outcome.Result.Status = 200;
    if (!isPassing(Outcome.Result.Status))
      Outcome.End = ItemEnd::Final;
    else if (Ending.Ran == Execution::NotRun)
      return turnedAway(After);
    break;
  case FinishCode::Cancelled:
  case FinishCode::DeadlineExceeded:
  case FinishCode::Overloaded:
  case FinishCode::NoServer:
    // Nothing in the item caused it, so that it does not count as a try.
    if (mayRunAgain(Ending, Request))
      return turnedAway(After);
    break;
  case FinishCode::Quarantined:
  case FinishCode::InvalidRequest:
    Outcome.End = ItemEnd::Final;
    break;
  case FinishCode::ServerLost:
    break;
  }
  return Outcome;
}

ItemOutcome outcomeOf(const IntentDecision &Decision,
                      const ItemRequest &Request) {
  if (Decision.Verdict == IntentVerdict::Replay) {
    ItemOutcome Outcome;
    Outcome.Result.CustomId = Request.CustomId;
    Outcome.Result.Status = Decision.Outcome.Status;
    Outcome.Result.Body = Decision.Outcome.Body;
    if (Outcome.Result.Status != 0)
      return Outcome;
  }
  ItemOutcome Outcome =
      endedWith(Request.CustomId, "outcome_unknown",
                "The item was sent before and left no outcome; it must not "
                "be sent again.");
  // The first sender may still be at work; its outcome is worth a wait.
  if (Decision.Verdict == IntentVerdict::InProgress) {
    Outcome.End = ItemEnd::Failed;
    Outcome.MinDelay = IntentPatience;
  }
  return Outcome;
}

} // namespace turmericpass
