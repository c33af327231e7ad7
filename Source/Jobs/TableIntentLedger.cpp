#include "Jobs/TableIntentLedger.h"

#include "Jobs/IntentRow.h"

namespace turmericpass {

struct TableIntentLedger::BeginCall {
  std::string RowKey;
  IntentRow Row;
  std::string WriteId;
  BeginDone Done;
  /// True if an insert of this attempt may have taken effect.
  bool Uncertain = false;
  int ReadCount = 0;
};

struct TableIntentLedger::FinishCall {
  std::uint64_t Id = 0;
  std::string RowKey;
  std::string AttemptId;
  IntentOutcome Outcome;
  FinishDone Done;
  std::string WriteId;
  std::size_t Bytes = 0;
  Duration Backoff{std::chrono::milliseconds(100)};
  Instant NextAttempt{};
  bool Busy = false;
};

namespace {

/// The maximum delay between two attempts to store an outcome.
constexpr Duration MaxBackoff = std::chrono::seconds(2);
/// How often begin() tries to read a row.
constexpr int MaxReads = 3;

} // namespace

TableIntentLedger::TableIntentLedger(Table &Rows, const Clock &Time,
                                     IdSource &Ids, Protections Rules,
                                     std::size_t MaxPendingOutcomeBytes)
    : Rows(Rows), Time(Time), Ids(Ids), Writer(Rows, Rules), Rules(Rules),
      MaxPendingOutcomeBytes(MaxPendingOutcomeBytes) {}

TableIntentLedger::~TableIntentLedger() = default;

void TableIntentLedger::begin(const IntentKey &Key,
                              const std::string &AttemptId,
                              const std::string &RequestHash, BeginDone Done) {
  auto Call = std::make_shared<BeginCall>();
  Call->RowKey = intentRowKey(Key);
  Call->Row.AttemptId = AttemptId;
  Call->Row.RequestHash = RequestHash;
  Call->Row.SinceMs = this->Time.wallMillis();
  Call->Done = std::move(Done);
  if (!this->Rules.insertsIntentRow()) {
    Call->Done(IntentDecision{IntentVerdict::Proceed, {}, Call->Row.SinceMs});
    return;
  }
  this->replaceRow(Call, 0);
}

void TableIntentLedger::replaceRow(const std::shared_ptr<BeginCall> &Call,
                                   std::uint64_t Version) {
  Call->WriteId = this->Ids.longId();
  this->Writer.commit({Call->WriteId,
                       {{Call->RowKey, Version}},
                       {{Call->RowKey, encodeIntentRow(Call->Row)}},
                       {}},
                      Call->RowKey, [this, Call](Result<void> Reply) {
                        this->onInserted(Call, std::move(Reply));
                      });
}

void TableIntentLedger::onInserted(const std::shared_ptr<BeginCall> &Call,
                                   Result<void> Reply) {
  if (Reply)
    return Call->Done(
        IntentDecision{IntentVerdict::Proceed, {}, Call->Row.SinceMs});
  if (Reply.error().Code == ErrorCode::Conflict)
    return this->readRow(Call);
  if (Reply.error().Code == ErrorCode::Timeout) {
    Call->Uncertain = true;
    return this->releaseUnconfirmedRow(Call);
  }
  Call->Done(tl::make_unexpected(
      Error{ErrorCode::Unavailable, Reply.error().Message}));
}

void TableIntentLedger::readRow(const std::shared_ptr<BeginCall> &Call) {
  this->Rows.get(Call->RowKey, [this, Call](Result<TableRow> Row) {
    if (Row)
      return this->decide(Call, *Row);
    if (++Call->ReadCount < MaxReads)
      return this->readRow(Call);
    Call->Done(failure(ErrorCode::Unavailable,
                       "The intent row cannot be read; the call did not run. "
                       "Resend it with the same Idempotency-Key."));
  });
}

void TableIntentLedger::decide(const std::shared_ptr<BeginCall> &Call,
                               const TableRow &Row) {
  Result<IntentRow> Found = decodeIntentRow(Row.Value);
  if (!Found)
    return Call->Done(tl::make_unexpected(
        Error{ErrorCode::Unavailable, Found.error().Message}));
  if (Found->State == IntentState::Released)
    return this->replaceRow(Call, Row.Version);
  if (Found->RequestHash != Call->Row.RequestHash)
    return Call->Done(
        IntentDecision{IntentVerdict::Mismatch, {}, Found->SinceMs});
  if (Found->State == IntentState::Done)
    return Call->Done(IntentDecision{
        IntentVerdict::Replay, std::move(Found->Outcome), Found->SinceMs});
  Call->Done(IntentDecision{IntentVerdict::InProgress, {}, Found->SinceMs});
}

// The insert may still take effect after the caller was told that the work did
// not run. The row is therefore released as soon as the table can be reached,
// so that a resend of the caller runs.
void TableIntentLedger::releaseUnconfirmedRow(
    const std::shared_ptr<BeginCall> &Call) {
  auto Release = std::make_shared<FinishCall>();
  Release->RowKey = Call->RowKey;
  Release->AttemptId = Call->Row.AttemptId;
  Release->Outcome.Ran = Execution::NotRun;
  Release->Done = [](const Result<void> &) {};
  Release->Bytes = Call->RowKey.size();
  this->addPendingOutcome(Release);
  this->scheduleRetry(Release);
  Call->Done(failure(ErrorCode::Unavailable,
                     "The table did not confirm the intent row; the call did "
                     "not run. Resend it with the same Idempotency-Key."));
}

void TableIntentLedger::finish(const IntentKey &Key,
                               const std::string &AttemptId,
                               IntentOutcome Outcome, FinishDone Done) {
  if (!this->Rules.insertsIntentRow())
    return Done({});
  const std::size_t Bytes = Outcome.Body.size() + Outcome.ContentType.size();
  if (this->PendingOutcomeBytes + Bytes > this->MaxPendingOutcomeBytes)
    return Done(failure(ErrorCode::Unavailable,
                        "Too many outcomes wait for the table; this one is "
                        "dropped and the call's outcome stays unknown."));
  auto Call = std::make_shared<FinishCall>();
  Call->RowKey = intentRowKey(Key);
  Call->AttemptId = AttemptId;
  Call->Outcome = std::move(Outcome);
  Call->Done = std::move(Done);
  Call->Bytes = Bytes;
  this->addPendingOutcome(Call);
  this->storeOutcome(Call);
}

void TableIntentLedger::addPendingOutcome(
    const std::shared_ptr<FinishCall> &Call) {
  Call->Id = this->NextCallId++;
  Call->WriteId = this->Ids.longId();
  this->PendingOutcomeBytes += Call->Bytes;
  this->PendingOutcomes[Call->Id] = Call;
}

void TableIntentLedger::storeOutcome(const std::shared_ptr<FinishCall> &Call) {
  Call->Busy = true;
  this->Rows.get(Call->RowKey, [this, Call](const Result<TableRow> &Row) {
    if (Row)
      return this->storeOutcomeInRow(Call, *Row);
    // A late write of this attempt may still insert the absent row. The
    // released row that is written instead makes that insert fail.
    if (Row.error().Code == ErrorCode::NotFound &&
        Call->Outcome.Ran == Execution::NotRun)
      return this->replaceRowWithOutcome(
          Call, {IntentState::Begun, Call->AttemptId}, 0);
    this->scheduleRetry(Call);
  });
}

void TableIntentLedger::storeOutcomeInRow(
    const std::shared_ptr<FinishCall> &Call, const TableRow &Row) {
  const Result<IntentRow> Found = decodeIntentRow(Row.Value);
  if (!Found || Found->AttemptId != Call->AttemptId)
    return this->endCall(
        Call,
        failure(ErrorCode::Conflict, "Another attempt holds the intent row."));
  if (Found->State != IntentState::Begun)
    return this->endCall(Call, {});
  this->replaceRowWithOutcome(Call, *Found, Row.Version);
}

void TableIntentLedger::replaceRowWithOutcome(
    const std::shared_ptr<FinishCall> &Call, IntentRow Row,
    std::uint64_t Version) {
  Row.State = Call->Outcome.Ran == Execution::NotRun ? IntentState::Released
                                                     : IntentState::Done;
  Row.Outcome = Call->Outcome;
  this->Writer.commit({Call->WriteId,
                       {{Call->RowKey, Version}},
                       {{Call->RowKey, encodeIntentRow(Row)}},
                       {}},
                      Call->RowKey, [this, Call](const Result<void> &Reply) {
                        if (Reply)
                          return this->endCall(Call, {});
                        this->scheduleRetry(Call);
                      });
}

void TableIntentLedger::endCall(const std::shared_ptr<FinishCall> &Call,
                                Result<void> Reply) {
  if (this->PendingOutcomes.erase(Call->Id) == 0)
    return;
  this->PendingOutcomeBytes -= Call->Bytes;
  Call->Done(std::move(Reply));
}

void TableIntentLedger::scheduleRetry(const std::shared_ptr<FinishCall> &Call) {
  Call->Busy = false;
  Call->NextAttempt = this->Time.now() + Call->Backoff;
  Call->Backoff = std::min(Call->Backoff * 2, MaxBackoff);
}

void TableIntentLedger::tick() {
  const auto Pending = this->PendingOutcomes;
  for (const auto &[Id, Call] : Pending)
    if (!Call->Busy && Call->NextAttempt <= this->Time.now())
      this->storeOutcome(Call);
}

} // namespace turmericpass
