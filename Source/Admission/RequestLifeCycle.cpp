#include "Admission/RequestLifeCycle.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

namespace {

/// Limits the memory for pieces that arrive out of order. A piece beyond the
/// limit is dropped, and the answer then counts as incomplete.
constexpr std::size_t MaxWaitingPieces = 256;

std::uint64_t remainingMillis(Instant Deadline, Instant Now) {
  using std::chrono::milliseconds;
  if (Deadline <= Now)
    return 0;
  return std::chrono::duration_cast<milliseconds>(Deadline - Now).count();
}

Finish makeEnding(FinishCode Code, std::string Detail) {
  Finish Ending;
  Ending.Code = Code;
  Ending.Detail = std::move(Detail);
  return Ending;
}

bool isRefusal(FinishCode Code) {
  return Code == FinishCode::Overloaded || Code == FinishCode::NoServer ||
         Code == FinishCode::Cancelled;
}

} // namespace

RequestLifeCycle::RequestLifeCycle(Submit Work, Instant Deadline,
                                   LifeCycleLimits Limits,
                                   LifeCycleCallbacks Callbacks)
    : Work(std::move(Work)), Deadline(Deadline), Limits(Limits),
      Callbacks(std::move(Callbacks)) {}

void RequestLifeCycle::start(Instant Now) { this->submitNext(Now); }

RequestLifeCycle::Attempt *RequestLifeCycle::currentAttempt() {
  return this->AttemptIsActive ? &this->Attempts.back() : nullptr;
}

RequestLifeCycle::Attempt *
RequestLifeCycle::findCurrentAttempt(const std::string &From,
                                     std::uint32_t Number) {
  Attempt *Last = this->currentAttempt();
  return Last && Last->Number == Number && Last->Peer == From ? Last : nullptr;
}

void RequestLifeCycle::submitNext(Instant Now) {
  this->AttemptIsActive = false;
  this->WaitingPieces.clear();
  this->SuccessfulEnding.reset();
  this->GapSince.reset();
  if (!this->UnacceptedSince)
    this->UnacceptedSince = Now;
  const std::optional<std::string> Peer =
      this->Callbacks.ChooseDispatcher(this->TriedPeers);
  if (Peer)
    this->submitTo(*Peer, Now);
  else
    this->handleNoDispatcher(Now);
}

void RequestLifeCycle::submitTo(const std::string &Peer, Instant Now) {
  this->TriedPeers.insert(Peer);
  this->RetryAt.reset();
  this->Work.Attempt = static_cast<std::uint32_t>(this->Attempts.size() + 1);
  this->Work.RemainingMs = remainingMillis(this->Deadline, Now);
  this->Work.ResumeTokenIds = this->Tokens;
  Attempt Next;
  Next.Peer = Peer;
  Next.Number = this->Work.Attempt;
  Next.SubmittedAt = Now;
  Next.LastHeardAt = Now;
  this->Attempts.push_back(std::move(Next));
  this->AttemptIsActive = true;
  ++this->SubmissionCount;
  this->Actions.push_back(SendToDispatcher{Peer, this->Work});
}

void RequestLifeCycle::handleNoDispatcher(Instant Now) {
  const bool Overloaded =
      this->LastRefusal && this->LastRefusal->Code == FinishCode::Overloaded;
  // The servers of a lost dispatcher get a new owner within seconds, so the
  // request waits. An overload is reported to the caller immediately, unless
  // the caller has already received a part of the answer.
  if ((!Overloaded || !this->Tokens.empty()) &&
      Now < *this->UnacceptedSince + this->Limits.NoServerTimeout) {
    this->TriedPeers.clear();
    this->RetryAt = Now + this->Limits.RetryDelay;
    return;
  }
  this->abandon(
      this->LastRefusal.value_or(makeEnding(
          FinishCode::NoServer, "No dispatcher serves this service now.")),
      Now);
}

void RequestLifeCycle::handleAccepted(const std::string &From,
                                      const Accepted &Answer, Instant Now) {
  if (Answer.RequestId != this->Work.RequestId)
    return;
  if (Attempt *Last = this->findCurrentAttempt(From, Answer.Attempt))
    this->markAccepted(*Last, Now);
}

void RequestLifeCycle::markAccepted(Attempt &Entry, Instant Now) {
  Entry.Accepted = true;
  Entry.LastHeardAt = std::max(Entry.LastHeardAt, Now);
  this->UnacceptedSince.reset();
}

void RequestLifeCycle::handleChunk(const std::string &From, Chunk Piece,
                                   Instant Now) {
  Attempt *Last = this->findCurrentAttempt(From, Piece.Attempt);
  if (this->Over || !Last || Piece.RequestId != this->Work.RequestId ||
      Piece.TokenIds.size() != Piece.Texts.size())
    return;
  this->markAccepted(*Last, Now);
  if (Piece.Offset > this->Tokens.size()) {
    if (this->WaitingPieces.size() < MaxWaitingPieces)
      this->WaitingPieces.emplace(Piece.Offset, std::move(Piece));
    if (!this->GapSince)
      this->GapSince = Now;
    return;
  }
  this->appendTokens(Piece);
  this->appendWaitingPieces();
  this->endIfComplete(Now);
}

void RequestLifeCycle::appendTokens(const Chunk &Piece) {
  const std::uint64_t ReceivedCount = this->Tokens.size() - Piece.Offset;
  if (ReceivedCount >= Piece.TokenIds.size())
    return;
  const auto Skip = static_cast<std::ptrdiff_t>(ReceivedCount);
  DeliverTokens NewTokens;
  NewTokens.Ids.assign(Piece.TokenIds.begin() + Skip, Piece.TokenIds.end());
  NewTokens.Texts.assign(Piece.Texts.begin() + Skip, Piece.Texts.end());
  this->Tokens.insert(this->Tokens.end(), NewTokens.Ids.begin(),
                      NewTokens.Ids.end());
  this->Actions.push_back(std::move(NewTokens));
}

void RequestLifeCycle::appendWaitingPieces() {
  while (!this->WaitingPieces.empty() &&
         this->WaitingPieces.begin()->first <= this->Tokens.size()) {
    this->appendTokens(this->WaitingPieces.begin()->second);
    this->WaitingPieces.erase(this->WaitingPieces.begin());
  }
  if (this->WaitingPieces.empty() && !this->SuccessfulEnding)
    this->GapSince.reset();
}

void RequestLifeCycle::endIfComplete(Instant Now) {
  if (!this->SuccessfulEnding)
    return;
  if (this->SuccessfulEnding->TotalTokens > this->Tokens.size()) {
    if (!this->GapSince)
      this->GapSince = Now;
    return;
  }
  Finish Ending = std::move(*this->SuccessfulEnding);
  Ending.TotalTokens = this->Tokens.size();
  this->endRequest(std::move(Ending));
}

void RequestLifeCycle::handleFinish(const std::string &From, Finish Answer,
                                    Instant Now) {
  if (this->Over || Answer.RequestId != this->Work.RequestId)
    return;
  const auto Existing = std::find_if(
      this->Attempts.begin(), this->Attempts.end(), [&](const Attempt &Entry) {
        return Entry.Number == Answer.Attempt && Entry.Peer == From;
      });
  if (Existing == this->Attempts.end())
    return;
  if (!Existing->ReportedExecution ||
      *Existing->ReportedExecution == Execution::Unknown)
    Existing->ReportedExecution = Answer.Ran;
  Attempt *Last = this->findCurrentAttempt(From, Answer.Attempt);
  if (!Last) {
    this->endIfExecutionKnown(Now);
    return;
  }
  Last->Accepted = true;
  if (Answer.Code == FinishCode::Ok) {
    // A complete answer is delivered even if it arrives after the deadline of
    // the caller.
    if (!this->SuccessfulEnding)
      this->SuccessfulEnding = std::move(Answer);
    this->endIfComplete(Now);
    if (!this->Over)
      this->endIfExecutionKnown(Now);
    return;
  }
  if (this->AbandonedEnding)
    this->endIfExecutionKnown(Now);
  else if (isRefusal(Answer.Code))
    this->handleRefusal(Answer, Now);
  else
    this->abandon(std::move(Answer), Now);
}

void RequestLifeCycle::handleRefusal(const Finish &Answer, Instant Now) {
  this->LastRefusal = Answer;
  this->AttemptIsActive = false;
  this->LastFailure =
      "the dispatcher refused it with " + std::string(toName(Answer.Code));
  if (!this->Work.Repeatable)
    this->abandon(Answer, Now);
  else if (Answer.Ran == Execution::NotRun)
    this->submitNext(Now);
  else
    this->resubmit(Now, Answer.Detail);
}

void RequestLifeCycle::resubmit(Instant Now, const std::string &Why) {
  this->LastRefusal.reset();
  this->LastFailure = Why;
  if (++this->ResubmissionCount > this->Limits.MaxResubmissions ||
      !this->Callbacks.TakeResubmission()) {
    this->abandon(makeEnding(FinishCode::NoServer,
                             "The request was tried " +
                                 std::to_string(this->SubmissionCount) +
                                 " times without success: " + Why),
                  Now);
    return;
  }
  this->submitNext(Now);
}

void RequestLifeCycle::handlePeerLoss(const std::string &Peer, Instant Now) {
  if (this->Over)
    return;
  for (Attempt &Entry : this->Attempts)
    if (Entry.Peer == Peer && !Entry.ReportedExecution)
      Entry.ReportedExecution = Execution::Unknown;
  const Attempt *Last = this->currentAttempt();
  if (this->AbandonedEnding) {
    this->endIfExecutionKnown(Now);
  } else if (Last && Last->Peer == Peer) {
    if (this->Work.Repeatable)
      this->resubmit(Now, "the connection to the dispatcher broke");
    else
      this->abandon(makeEnding(FinishCode::ServerLost,
                               "The connection to the dispatcher broke after "
                               "the request was sent."),
                    Now);
  }
}

void RequestLifeCycle::replaceSilentDispatcher(
    const std::set<std::string> &Peers, Instant Now) {
  const Attempt *Last = this->currentAttempt();
  if (this->Over || this->AbandonedEnding || !Last || !this->Work.Repeatable ||
      !Peers.count(Last->Peer) ||
      Now < Last->LastHeardAt + this->Limits.UnconfirmedPeerTimeout)
    return;
  this->cancelOpenAttempts();
  this->resubmit(Now, "the dispatcher's node is not among the live ones");
}

void RequestLifeCycle::handleSendFailure(std::uint32_t Number, Instant Now) {
  Attempt *Last = this->currentAttempt();
  if (this->Over || this->AbandonedEnding || !Last || Last->Number != Number)
    return;
  Last->ReportedExecution = Execution::NotRun;
  --this->SubmissionCount;
  this->LastFailure = "the message could not be queued";
  this->submitNext(Now);
}

void RequestLifeCycle::handleCallerDisconnect() {
  if (this->Over)
    return;
  this->cancelOpenAttempts();
  this->Over = true;
}

void RequestLifeCycle::tick(Instant Now) {
  if (this->Over)
    return;
  if (this->AbandonedEnding) {
    this->endIfExecutionKnown(Now);
    return;
  }
  if (Now >= this->Deadline) {
    this->abandon(makeEnding(FinishCode::DeadlineExceeded,
                             "The request's deadline passed."),
                  Now);
    return;
  }
  if (this->RetryAt && Now >= *this->RetryAt) {
    this->submitNext(Now);
    return;
  }
  Attempt *Last = this->currentAttempt();
  if (!Last)
    return;
  const bool TimedOut =
      !Last->Accepted && Now >= Last->SubmittedAt + this->Limits.AcceptTimeout;
  const bool IsIncomplete =
      this->GapSince && Now >= *this->GapSince + this->Limits.GapTimeout;
  if (!TimedOut && !IsIncomplete)
    return;
  const std::string Why = TimedOut ? "the dispatcher did not accept it in time"
                                   : "a piece of the answer is missing";
  if (!this->Work.Repeatable) {
    this->abandon(makeEnding(FinishCode::ServerLost, "Given up: " + Why + "."),
                  Now);
    return;
  }
  this->cancelOpenAttempts();
  this->resubmit(Now, Why);
}

void RequestLifeCycle::cancelOpenAttempts() {
  for (Attempt &Entry : this->Attempts) {
    if (Entry.ReportedExecution || Entry.Cancelled)
      continue;
    Entry.Cancelled = true;
    this->Actions.push_back(SendToDispatcher{
        Entry.Peer, Cancel{this->Work.RequestId, Entry.Number}});
  }
}

void RequestLifeCycle::abandon(Finish Ending, Instant Now) {
  this->AbandonedEnding = std::move(Ending);
  this->RetryAt.reset();
  this->ExecutionReportDeadline = Now + this->Limits.ExecutionReportTimeout;
  this->cancelOpenAttempts();
  this->endIfExecutionKnown(Now);
}

void RequestLifeCycle::endIfExecutionKnown(Instant Now) {
  if (this->Over || !this->AbandonedEnding)
    return;
  const bool ReportsOutstanding = std::any_of(
      this->Attempts.begin(), this->Attempts.end(),
      [](const Attempt &Entry) { return !Entry.ReportedExecution; });
  if (ReportsOutstanding && this->combinedExecution() != Execution::Ran &&
      Now < this->ExecutionReportDeadline)
    return;
  Finish Ending = std::move(*this->AbandonedEnding);
  Ending.Ran = this->combinedExecution();
  this->endRequest(std::move(Ending));
}

Execution RequestLifeCycle::combinedExecution() const {
  if (!this->Tokens.empty())
    return Execution::Ran;
  Execution Combined = Execution::NotRun;
  for (const Attempt &Entry : this->Attempts) {
    const Execution ReportedExecution =
        Entry.ReportedExecution.value_or(Execution::Unknown);
    if (ReportedExecution == Execution::Ran)
      return Execution::Ran;
    if (ReportedExecution == Execution::Unknown)
      Combined = Execution::Unknown;
  }
  return Combined;
}

void RequestLifeCycle::endRequest(Finish Ending) {
  Ending.RequestId = this->Work.RequestId;
  this->Over = true;
  this->AttemptIsActive = false;
  this->Actions.push_back(EndRequest{std::move(Ending)});
}

std::vector<LifeCycleAction> RequestLifeCycle::takeActions() {
  return std::exchange(this->Actions, {});
}

} // namespace turmericpass
