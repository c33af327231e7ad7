#include "Jobs/TableIntentLedger.h"
#include "Support/MemoryTable.h"

#include <criterion/criterion.h>
#include <optional>

using namespace turmericpass;

namespace {

struct LedgerFixture {
  explicit LedgerFixture(MemoryTable Connection)
      : Rows(std::move(Connection)), Ledger(Rows, Time, Ids) {}

  Result<IntentDecision> begin(const std::string &Attempt,
                               const std::string &Hash = "h") {
    Result<IntentDecision> Received = failure(ErrorCode::Internal, "no answer");
    this->Ledger.begin(
        {"c", "k"}, Attempt, Hash,
        [&Received](const Result<IntentDecision> &R) { Received = R; });
    return Received;
  }

  IntentVerdict beginVerdict(const std::string &Attempt) {
    const Result<IntentDecision> Received = this->begin(Attempt);
    cr_assert(Received, "%s", Received ? "" : Received.error().Message.c_str());
    return Received->Verdict;
  }

  void finish(const std::string &Attempt, IntentOutcome Outcome) {
    this->Ledger.finish({"c", "k"}, Attempt, std::move(Outcome),
                        [this](const Result<void> &R) { this->Finished = R; });
  }

  void advance(Duration By) {
    this->Time.advance(By);
    this->Ledger.tick();
  }

  MemoryTable Rows;
  ManualClock Time;
  IdSource Ids{7};
  TableIntentLedger Ledger;
  std::optional<Result<void>> Finished;
};

} // namespace

// Guards against two attempts that both send work that must not be repeated,
// and against a resend that does not get the first call's outcome byte for
// byte.
Test(IntentLedger, OneAttemptWinsAndOthersGetItsOutcome) {
  LedgerFixture First{MemoryTable()};
  LedgerFixture Second{MemoryTable(First.Rows.rows())};
  cr_assert(First.beginVerdict("a1") == IntentVerdict::Proceed);
  cr_assert(Second.beginVerdict("a2") == IntentVerdict::InProgress);
  const std::string Body("\x00\xff{\"x\":1}\x80", 10);
  First.finish("a1", {Execution::Ran, 200, "application/json", Body});
  const Result<IntentDecision> Replay = Second.begin("a3");
  cr_assert(Replay->Verdict == IntentVerdict::Replay);
  cr_assert(Replay->Outcome.Body == Body && Replay->Outcome.Status == 200);
  cr_assert(Second.begin("a4", "other")->Verdict == IntentVerdict::Mismatch);
}

// Guards against taking this attempt's insert, whose reply was lost, for the
// insert of another attempt.
Test(IntentLedger, LostReplyIsResolvedByReadingBack) {
  LedgerFixture First{MemoryTable()};
  First.Rows.Faults.Next = {StoreFault::ReplyLost};
  cr_assert(First.beginVerdict("a1") == IntentVerdict::Proceed);
}

// Guards against an untrue `not_run` and against a key that stays blocked, in
// the case that the insert takes effect after the caller was refused.
Test(IntentLedger, LateInsertOfARefusedCallDoesNotBlockTheKey) {
  LedgerFixture First{MemoryTable()};
  First.Rows.Faults.Always = StoreFault::LateEffect;
  cr_assert(First.begin("a1").error().Code == ErrorCode::Unavailable);
  First.Rows.Faults.Always = StoreFault::None;
  First.advance(std::chrono::seconds(1));
  cr_assert(First.Ledger.pendingOutcomes() == 0);
  First.Rows.Faults.release();
  cr_assert(First.beginVerdict("a2") == IntentVerdict::Proceed);
}

// Guards against losing an outcome during an outage of the table.
Test(IntentLedger, OutcomeIsStoredAfterAnOutage) {
  LedgerFixture First{MemoryTable()};
  cr_assert(First.beginVerdict("a1") == IntentVerdict::Proceed);
  First.Rows.Faults.Always = StoreFault::Unavailable;
  First.finish("a1", {Execution::Ran, 200, "text/plain", "done"});
  First.advance(std::chrono::seconds(5));
  cr_assert(!First.Finished);
  First.Rows.Faults.Always = StoreFault::None;
  First.advance(std::chrono::seconds(5));
  cr_assert(First.Finished && *First.Finished);
  cr_assert(First.beginVerdict("a2") == IntentVerdict::Replay);
}

// Guards against a released key that cannot be used again.
Test(IntentLedger, WorkThatDidNotRunMayBeSentAgain) {
  LedgerFixture First{MemoryTable()};
  cr_assert(First.beginVerdict("a1") == IntentVerdict::Proceed);
  First.finish("a1", {Execution::NotRun, 0, "", ""});
  cr_assert(First.beginVerdict("a2") == IntentVerdict::Proceed);
  cr_assert(First.beginVerdict("a3") == IntentVerdict::InProgress);
}
