#include "Platform/BudgetedTable.h"
#include "Support/RunUntil.h"

#include <criterion/criterion.h>
#include <deque>
#include <rapidcheck.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

/// Fails writes with the scripted error codes in order, then succeeds.
class ScriptedTable : public Table {
public:
  std::deque<ErrorCode> Failures;
  int Calls = 0;

  void transact(TableTransaction, TransactCallback Done) override {
    ++this->Calls;
    if (this->Failures.empty()) {
      Done({});
      return;
    }
    const ErrorCode Code = this->Failures.front();
    this->Failures.pop_front();
    Done(failure(Code, "scripted"));
  }
  void get(std::string, GetCallback Done) override {
    Done(failure(ErrorCode::NotFound, "scripted"));
  }
  void scan(std::string, std::string, std::size_t, ScanCallback Done) override {
    Done(std::vector<TableRow>());
  }
};

struct Bench {
  BootClock Time;
  EventLoop Loop{Time};
  ScriptedTable Inner;
  std::vector<Result<void>> Results;

  void write(Table &To) {
    To.transact({"w", {}, {}, {}}, [this](const Result<void> &Outcome) {
      this->Results.push_back(Outcome);
    });
  }
};

} // namespace

// Guards against a process exceeding its share of the store's rate limit.
Test(StoreBudget, NoSecondHoldsMoreCallsThanTheLimit) {
  cr_assert(rc::check([](const std::vector<std::uint16_t> &Gaps) {
    const auto Rate = *rc::gen::inRange(1, 50);
    ManualClock Time;
    StoreBudget Budget(Time, {double(Rate), 1000, 10, 1s}, 1);
    std::deque<Instant> Starts;
    for (const std::uint16_t Gap : Gaps) {
      Time.advance(Duration(Gap));
      // Rounding may leave a wait of one microsecond.
      for (int Look = 0; Look < 3; ++Look)
        Time.advance(Budget.timeUntilAllowed(StoreAccess::Write));
      RC_ASSERT(Budget.timeUntilAllowed(StoreAccess::Write) == Duration(0));
      Budget.recordStart(StoreAccess::Write);
      Budget.recordEnd(false);
      Starts.push_back(Time.now());
      while (Starts.front() <= Time.now() - 1s)
        Starts.pop_front();
      RC_ASSERT(Starts.size() <= std::size_t(Rate));
    }
  }));
}

// Guards against a flood of simultaneous retries during an outage.
Test(StoreBudget, PausesGrowToABoundAndEndWithASuccess) {
  ManualClock Time;
  StoreBudget Budget(Time, {}, 7);
  Duration Bound = StoreBudget::InitialRetryPause;
  for (int Turn = 0; Turn < 12; ++Turn) {
    Budget.recordStart(StoreAccess::Read);
    Budget.recordEnd(true);
    const Duration Pause = Budget.timeUntilAllowed(StoreAccess::Read);
    cr_assert(Pause >= Bound / 2 && Pause <= Bound);
    Budget.recordEnd(true);
    cr_assert(Budget.timeUntilAllowed(StoreAccess::Read) == Pause);
    Time.advance(Pause);
    Bound = std::min(Bound * 2, StoreBudget::MaxRetryPause);
  }
  Budget.recordStart(StoreAccess::Read);
  cr_assert(Budget.timeUntilAllowed(StoreAccess::Read) > Duration(0),
            "one call at a time finds out whether the outage is over");
  Budget.recordEnd(false);
  cr_assert(Budget.timeUntilAllowed(StoreAccess::Read) == Duration(0));
}

Test(BudgetedTable, RefusedCallIsSentAgainAndTimeoutIsNot) {
  Bench Bench;
  BudgetedTable Budgeted(Bench.Loop, Bench.Inner, {100, 100, 10, 10s}, 1);
  Bench.Inner.Failures = {ErrorCode::Unavailable, ErrorCode::Unavailable};
  Bench.write(Budgeted);
  cr_assert(runUntil(Bench.Loop, [&] { return Bench.Results.size() == 1; }));
  cr_assert(Bench.Results[0].has_value());
  cr_assert(Bench.Inner.Calls == 3);
  // A write that is retried after a lost reply could be applied twice.
  Bench.Inner.Failures = {ErrorCode::Timeout};
  Bench.write(Budgeted);
  cr_assert(runUntil(Bench.Loop, [&] { return Bench.Results.size() == 2; }));
  cr_assert(Bench.Results[1].error().Code == ErrorCode::Timeout);
  cr_assert(Bench.Inner.Calls == 4);
  cr_assert(Budgeted.counts().Writes == 4 && Budgeted.counts().Retries == 2);
}

// Guards against unbounded memory use and waits during an outage.
Test(BudgetedTable, CallsBeyondQueueOrWaitFailUnsent) {
  Bench Bench;
  BudgetedTable Budgeted(Bench.Loop, Bench.Inner, {1, 100, 2, 50ms}, 1);
  for (int Turn = 0; Turn < 4; ++Turn)
    Bench.write(Budgeted);
  cr_assert(Bench.Results.size() == 1, "a refusal comes from the loop");
  cr_assert(runUntil(Bench.Loop, [&] { return Bench.Results.size() == 4; }));
  for (int Turn = 1; Turn < 4; ++Turn)
    cr_assert(Bench.Results[Turn].error().Code == ErrorCode::Unavailable);
  cr_assert(Bench.Inner.Calls == 1);
  cr_assert(Budgeted.counts().Refused == 3);
}

Test(BudgetedTable, ReadsPassThrough) {
  Bench Bench;
  BudgetedTable Budgeted(Bench.Loop, Bench.Inner, {}, 1);
  bool Missing = false;
  bool Scanned = false;
  Budgeted.get("k", [&](const auto &Row) {
    Missing = Row.error().Code == ErrorCode::NotFound;
  });
  Budgeted.scan("k", "", 5,
                [&](const auto &Rows) { Scanned = Rows.has_value(); });
  cr_assert(Missing && Scanned);
  cr_assert(Budgeted.counts().Reads == 2);
}
