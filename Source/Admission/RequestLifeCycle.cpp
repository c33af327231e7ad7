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
                                   LifeCycleCallbacks Ports)
    : Work(std::move(Work)), Deadline(Deadline), Limits(Limits),
      Ports(std::move(Ports)) {}

void RequestLifeCycle::start(Instant Now) { this->submitNext(Now); }

RequestLifeCycle::Attempt *RequestLifeCycle::current() {
  return this->Running ? &this->Attempts.back() : nullptr;
}

RequestLifeCycle::Attempt *RequestLifeCycle::currentOf(const std::string &From,
                                                       std::uint32_t Number) {
  Attempt *Last = this->current();
  return Last && Last->Number == Number && Last->Peer == From ? Last : nullptr;
}

void RequestLifeCycle::submitNext(Instant Now) {
  this->Running = false;
  this->Waiting.clear();
  this->WholeEnding.reset();
  this->GapSince.reset();
  if (!this->SearchingSince)
    this->SearchingSince = Now;
  const std::optional<std::string> Peer = this->Ports.Choose(this->Tried);
  if (Peer)
    this->submitTo(*Peer, Now);
  else
    this->noDispatcher(Now);
}

void RequestLifeCycle::submitTo(const std::string &Peer, Instant Now) {
  this->Tried.insert(Peer);
  this->AskAgainAt.reset();
  this->Work.Attempt = static_cast<std::uint32_t>(this->Attempts.size() + 1);
  this->Work.RemainingMs = remainingMillis(this->Deadline, Now);
  this->Work.ResumeTokenIds = this->Tokens;
  Attempt Next;
  Next.Peer = Peer;
  Next.Number = this->Work.Attempt;
  Next.Since = Now;
  Next.Heard = Now;
  this->Attempts.push_back(std::move(Next));
  this->Running = true;
  ++this->Submitted;
  this->Actions.push_back(SendToDispatcher{Peer, this->Work});
}

void RequestLifeCycle::noDispatcher(Instant Now) {
  const bool Overloaded =
      this->LastRefusal && this->LastRefusal->Code == FinishCode::Overloaded;
  // The servers of a lost dispatcher get a new owner within seconds, so the
  // request waits. An overload is reported to the caller immediately, unless
  // the caller has already received a part of the answer.
  if ((!Overloaded || !this->Tokens.empty()) &&
      Now < *this->SearchingSince + this->Limits.NoServerTimeout) {
    this->Tried.clear();
    this->AskAgainAt = Now + this->Limits.RetryPause;
    return;
  }
  this->giveUp(
      this->LastRefusal.value_or(makeEnding(
          FinishCode::NoServer, "No dispatcher serves this service now.")),
      Now);
}

void RequestLifeCycle::accepted(const std::string &From, const Accepted &Answer,
                                Instant Now) {
  if (Answer.RequestId != this->Work.RequestId)
    return;
  if (Attempt *Last = this->currentOf(From, Answer.Attempt))
    this->markAccepted(*Last, Now);
}

void RequestLifeCycle::markAccepted(Attempt &Entry, Instant Now) {
  Entry.Accepted = true;
  Entry.Heard = std::max(Entry.Heard, Now);
  this->SearchingSince.reset();
}

void RequestLifeCycle::chunk(const std::string &From, Chunk Piece,
                             Instant Now) {
  Attempt *Last = this->currentOf(From, Piece.Attempt);
  if (this->Over || !Last || Piece.RequestId != this->Work.RequestId ||
      Piece.TokenIds.size() != Piece.Texts.size())
    return;
  this->markAccepted(*Last, Now);
  if (Piece.Offset > this->Tokens.size()) {
    if (this->Waiting.size() < MaxWaitingPieces)
      this->Waiting.emplace(Piece.Offset, std::move(Piece));
    if (!this->GapSince)
      this->GapSince = Now;
    return;
  }
  this->take(Piece);
  this->takeWaiting();
  this->checkWhole(Now);
}

void RequestLifeCycle::take(const Chunk &Piece) {
  const std::uint64_t Known = this->Tokens.size() - Piece.Offset;
  if (Known >= Piece.TokenIds.size())
    return;
  const auto Skip = static_cast<std::ptrdiff_t>(Known);
  DeliverTokens Fresh;
  Fresh.Ids.assign(Piece.TokenIds.begin() + Skip, Piece.TokenIds.end());
  Fresh.Texts.assign(Piece.Texts.begin() + Skip, Piece.Texts.end());
  this->Tokens.insert(this->Tokens.end(), Fresh.Ids.begin(), Fresh.Ids.end());
  this->Actions.push_back(std::move(Fresh));
}

void RequestLifeCycle::takeWaiting() {
  while (!this->Waiting.empty() &&
         this->Waiting.begin()->first <= this->Tokens.size()) {
    this->take(this->Waiting.begin()->second);
    this->Waiting.erase(this->Waiting.begin());
  }
  if (this->Waiting.empty() && !this->WholeEnding)
    this->GapSince.reset();
}

void RequestLifeCycle::checkWhole(Instant Now) {
  if (!this->WholeEnding)
    return;
  if (this->WholeEnding->TotalTokens > this->Tokens.size()) {
    if (!this->GapSince)
      this->GapSince = Now;
    return;
  }
  Finish Ending = std::move(*this->WholeEnding);
  Ending.TotalTokens = this->Tokens.size();
  this->end(std::move(Ending));
}

void RequestLifeCycle::finish(const std::string &From, Finish Answer,
                              Instant Now) {
  if (this->Over || Answer.RequestId != this->Work.RequestId)
    return;
  const auto Known = std::find_if(
      this->Attempts.begin(), this->Attempts.end(), [&](const Attempt &Entry) {
        return Entry.Number == Answer.Attempt && Entry.Peer == From;
      });
  if (Known == this->Attempts.end())
    return;
  if (!Known->Verdict || *Known->Verdict == Execution::Unknown)
    Known->Verdict = Answer.Ran;
  Attempt *Last = this->currentOf(From, Answer.Attempt);
  if (!Last) {
    this->checkVerdicts(Now);
    return;
  }
  Last->Accepted = true;
  if (Answer.Code == FinishCode::Ok) {
    // A complete answer is delivered even if it arrives after the deadline of
    // the caller.
    if (!this->WholeEnding)
      this->WholeEnding = std::move(Answer);
    this->checkWhole(Now);
    if (!this->Over)
      this->checkVerdicts(Now);
    return;
  }
  if (this->Reason)
    this->checkVerdicts(Now);
  else if (isRefusal(Answer.Code))
    this->refused(Answer, Now);
  else
    this->giveUp(std::move(Answer), Now);
}

void RequestLifeCycle::refused(const Finish &Answer, Instant Now) {
  this->LastRefusal = Answer;
  this->Running = false;
  this->Setback =
      "the dispatcher refused it with " + std::string(toName(Answer.Code));
  if (!this->Work.Repeatable)
    this->giveUp(Answer, Now);
  else if (Answer.Ran == Execution::NotRun)
    this->submitNext(Now);
  else
    this->repeat(Now, Answer.Detail);
}

void RequestLifeCycle::repeat(Instant Now, const std::string &Why) {
  this->LastRefusal.reset();
  this->Setback = Why;
  if (++this->Repeats > this->Limits.MaxRepeats || !this->Ports.TakeRepeat()) {
    this->giveUp(
        makeEnding(FinishCode::NoServer, "The request was tried " +
                                             std::to_string(this->Submitted) +
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
    if (Entry.Peer == Peer && !Entry.Verdict)
      Entry.Verdict = Execution::Unknown;
  const Attempt *Last = this->current();
  if (this->Reason) {
    this->checkVerdicts(Now);
  } else if (Last && Last->Peer == Peer) {
    if (this->Work.Repeatable)
      this->repeat(Now, "the connection to the dispatcher broke");
    else
      this->giveUp(makeEnding(FinishCode::ServerLost,
                              "The connection to the dispatcher broke after "
                              "the request was sent."),
                   Now);
  }
}

void RequestLifeCycle::replaceSilentDispatcher(
    const std::set<std::string> &Peers, Instant Now) {
  const Attempt *Last = this->current();
  if (this->Over || this->Reason || !Last || !this->Work.Repeatable ||
      !Peers.count(Last->Peer) || Now < Last->Heard + this->Limits.DoubtLimit)
    return;
  this->cancelOpenAttempts();
  this->repeat(Now, "the dispatcher's node is not among the live ones");
}

void RequestLifeCycle::sendFailed(std::uint32_t Number, Instant Now) {
  Attempt *Last = this->current();
  if (this->Over || this->Reason || !Last || Last->Number != Number)
    return;
  Last->Verdict = Execution::NotRun;
  --this->Submitted;
  this->Setback = "the message could not be queued";
  this->submitNext(Now);
}

void RequestLifeCycle::callerDeparted() {
  if (this->Over)
    return;
  this->cancelOpenAttempts();
  this->Over = true;
}

void RequestLifeCycle::tick(Instant Now) {
  if (this->Over)
    return;
  if (this->Reason) {
    this->checkVerdicts(Now);
    return;
  }
  if (Now >= this->Deadline) {
    this->giveUp(makeEnding(FinishCode::DeadlineExceeded,
                            "The request's deadline passed."),
                 Now);
    return;
  }
  if (this->AskAgainAt && Now >= *this->AskAgainAt) {
    this->submitNext(Now);
    return;
  }
  Attempt *Last = this->current();
  if (!Last)
    return;
  const bool Silent =
      !Last->Accepted && Now >= Last->Since + this->Limits.AcceptLimit;
  const bool Cut =
      this->GapSince && Now >= *this->GapSince + this->Limits.GapLimit;
  if (!Silent && !Cut)
    return;
  const std::string Why = Silent ? "the dispatcher did not accept it in time"
                                 : "a piece of the answer is missing";
  if (!this->Work.Repeatable) {
    this->giveUp(makeEnding(FinishCode::ServerLost, "Given up: " + Why + "."),
                 Now);
    return;
  }
  this->cancelOpenAttempts();
  this->repeat(Now, Why);
}

void RequestLifeCycle::cancelOpenAttempts() {
  for (Attempt &Entry : this->Attempts) {
    if (Entry.Verdict || Entry.Cancelled)
      continue;
    Entry.Cancelled = true;
    this->Actions.push_back(SendToDispatcher{
        Entry.Peer, Cancel{this->Work.RequestId, Entry.Number}});
  }
}

void RequestLifeCycle::giveUp(Finish Ending, Instant Now) {
  this->Reason = std::move(Ending);
  this->AskAgainAt.reset();
  this->VerdictUntil = Now + this->Limits.VerdictLimit;
  this->cancelOpenAttempts();
  this->checkVerdicts(Now);
}

void RequestLifeCycle::checkVerdicts(Instant Now) {
  if (this->Over || !this->Reason)
    return;
  const bool Open =
      std::any_of(this->Attempts.begin(), this->Attempts.end(),
                  [](const Attempt &Entry) { return !Entry.Verdict; });
  if (Open && this->execution() != Execution::Ran && Now < this->VerdictUntil)
    return;
  Finish Ending = std::move(*this->Reason);
  Ending.Ran = this->execution();
  this->end(std::move(Ending));
}

Execution RequestLifeCycle::execution() const {
  if (!this->Tokens.empty())
    return Execution::Ran;
  Execution Sum = Execution::NotRun;
  for (const Attempt &Entry : this->Attempts) {
    const Execution Verdict = Entry.Verdict.value_or(Execution::Unknown);
    if (Verdict == Execution::Ran)
      return Execution::Ran;
    if (Verdict == Execution::Unknown)
      Sum = Execution::Unknown;
  }
  return Sum;
}

void RequestLifeCycle::end(Finish Ending) {
  Ending.RequestId = this->Work.RequestId;
  this->Over = true;
  this->Running = false;
  this->Actions.push_back(EndRequest{std::move(Ending)});
}

std::vector<LifeCycleAction> RequestLifeCycle::takeActions() {
  return std::exchange(this->Actions, {});
}

} // namespace turmericpass
