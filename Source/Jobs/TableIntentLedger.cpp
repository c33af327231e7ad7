#include "Jobs/TableIntentLedger.h"

#include "Jobs/IntentRow.h"

namespace turmericpass {

struct TableIntentLedger::Begin {
  std::string RowKey;
  IntentRow Row;
  std::string WriteId;
  BeginDone Done;
  /// True if an insert of this attempt may have taken effect.
  bool Uncertain = false;
  int Reads = 0;
};

struct TableIntentLedger::Finish {
  std::uint64_t Id = 0;
  std::string RowKey;
  std::string AttemptId;
  IntentOutcome Outcome;
  FinishDone Done;
  std::string WriteId;
  std::size_t Bytes = 0;
  Duration Backoff{std::chrono::milliseconds(100)};
  Instant Next{};
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
                                     std::size_t KeptBytes)
    : Rows(Rows), Time(Time), Ids(Ids), Writer(Rows, Rules), Rules(Rules),
      MaxPendingOutcomeBytes(KeptBytes) {}

TableIntentLedger::~TableIntentLedger() = default;

void TableIntentLedger::begin(const IntentKey &Key,
                              const std::string &AttemptId,
                              const std::string &RequestHash, BeginDone Done) {
  auto Call = std::make_shared<Begin>();
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

void TableIntentLedger::replaceRow(const std::shared_ptr<Begin> &Call,
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

void TableIntentLedger::onInserted(const std::shared_ptr<Begin> &Call,
                                   Result<void> Reply) {
  if (Reply)
    return Call->Done(
        IntentDecision{IntentVerdict::Proceed, {}, Call->Row.SinceMs});
  if (Reply.error().Code == ErrorCode::Conflict)
    return this->readRow(Call);
  if (Reply.error().Code == ErrorCode::Timeout) {
    Call->Uncertain = true;
    return this->giveUp(Call);
  }
  Call->Done(tl::make_unexpected(
      Error{ErrorCode::Unavailable, Reply.error().Message}));
}

void TableIntentLedger::readRow(const std::shared_ptr<Begin> &Call) {
  this->Rows.get(Call->RowKey, [this, Call](Result<TableRow> Row) {
    if (Row)
      return this->decide(Call, *Row);
    if (++Call->Reads < MaxReads)
      return this->readRow(Call);
    Call->Done(failure(ErrorCode::Unavailable,
                       "The intent row cannot be read; the call did not run. "
                       "Resend it with the same Idempotency-Key."));
  });
}

void TableIntentLedger::decide(const std::shared_ptr<Begin> &Call,
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
void TableIntentLedger::giveUp(const std::shared_ptr<Begin> &Call) {
  auto Release = std::make_shared<Finish>();
  Release->RowKey = Call->RowKey;
  Release->AttemptId = Call->Row.AttemptId;
  Release->Outcome.Ran = Execution::NotRun;
  Release->Done = [](const Result<void> &) {};
  Release->Bytes = Call->RowKey.size();
  this->keep(Release);
  this->retry(Release);
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
  if (this->KeptBytes + Bytes > this->MaxPendingOutcomeBytes)
    return Done(failure(ErrorCode::Unavailable,
                        "Too many outcomes wait for the table; this one is "
                        "dropped and the call's outcome stays unknown."));
  auto Call = std::make_shared<Finish>();
  Call->RowKey = intentRowKey(Key);
  Call->AttemptId = AttemptId;
  Call->Outcome = std::move(Outcome);
  Call->Done = std::move(Done);
  Call->Bytes = Bytes;
  this->keep(Call);
  this->store(Call);
}

void TableIntentLedger::keep(const std::shared_ptr<Finish> &Call) {
  Call->Id = this->NextCall++;
  Call->WriteId = this->Ids.longId();
  this->KeptBytes += Call->Bytes;
  this->Kept[Call->Id] = Call;
}

void TableIntentLedger::store(const std::shared_ptr<Finish> &Call) {
  Call->Busy = true;
  this->Rows.get(Call->RowKey, [this, Call](const Result<TableRow> &Row) {
    if (Row)
      return this->write(Call, *Row);
    // A late write of this attempt may still insert the absent row. The
    // released row that is written instead makes that insert fail.
    if (Row.error().Code == ErrorCode::NotFound &&
        Call->Outcome.Ran == Execution::NotRun)
      return this->replaceRowWithOutcome(
          Call, {IntentState::Begun, Call->AttemptId}, 0);
    this->retry(Call);
  });
}

void TableIntentLedger::write(const std::shared_ptr<Finish> &Call,
                              const TableRow &Row) {
  const Result<IntentRow> Found = decodeIntentRow(Row.Value);
  if (!Found || Found->AttemptId != Call->AttemptId)
    return this->end(Call, failure(ErrorCode::Conflict,
                                   "Another attempt holds the intent row."));
  if (Found->State != IntentState::Begun)
    return this->end(Call, {});
  this->replaceRowWithOutcome(Call, *Found, Row.Version);
}

void TableIntentLedger::replaceRowWithOutcome(
    const std::shared_ptr<Finish> &Call, IntentRow Row, std::uint64_t Version) {
  Row.State = Call->Outcome.Ran == Execution::NotRun ? IntentState::Released
                                                     : IntentState::Done;
  Row.Outcome = Call->Outcome;
  this->Writer.commit({Call->WriteId,
                       {{Call->RowKey, Version}},
                       {{Call->RowKey, encodeIntentRow(Row)}},
                       {}},
                      Call->RowKey, [this, Call](const Result<void> &Reply) {
                        if (Reply)
                          return this->end(Call, {});
                        this->retry(Call);
                      });
}

void TableIntentLedger::end(const std::shared_ptr<Finish> &Call,
                            Result<void> Reply) {
  if (this->Kept.erase(Call->Id) == 0)
    return;
  this->KeptBytes -= Call->Bytes;
  Call->Done(std::move(Reply));
}

void TableIntentLedger::retry(const std::shared_ptr<Finish> &Call) {
  Call->Busy = false;
  Call->Next = this->Time.now() + Call->Backoff;
  Call->Backoff = std::min(Call->Backoff * 2, MaxBackoff);
}

void TableIntentLedger::tick() {
  const auto Waiting = this->Kept;
  for (const auto &[Id, Call] : Waiting)
    if (!Call->Busy && Call->Next <= this->Time.now())
      this->store(Call);
}

} // namespace turmericpass
