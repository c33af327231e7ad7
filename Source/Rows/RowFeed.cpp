#include "Rows/RowFeed.h"

#include "Core/EnumTable.h"
#include "Telemetry/Logger.h"

#include <algorithm>
#include <utility>

namespace turmericpass {

namespace {

constexpr auto TransactionOutcomeNames = makeEnumTable<TransactionOutcome>({
    {TransactionOutcome::Committed, "committed"},
    {TransactionOutcome::Conflict, "conflict"},
    {TransactionOutcome::NotDone, "not_done"},
    {TransactionOutcome::Unknown, "unknown"},
});

/// The time for which one call waits for a change. It is short because the loss
/// of an answer is noticed only when the call times out.
constexpr Duration ChangeWaitTime = std::chrono::milliseconds(1200);

/// The time after an answer for which the rows count as current. It covers one
/// wait, its time-out and one retry.
constexpr Duration MaxAnswerAge = std::chrono::milliseconds(2200);

constexpr Duration InitialRetryDelay = std::chrono::milliseconds(50);
constexpr int MaxDoublings = 3;

std::int64_t millisSinceBoot(Instant Now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Now.time_since_epoch())
      .count();
}

} // namespace

std::string_view toName(TransactionOutcome Outcome) {
  return TransactionOutcomeNames.nameOf(Outcome);
}

RowFeed::RowFeed(EventLoop &Loop, RowStore &Store, Logger &Log,
                 std::string Table, std::string Part, Duration ChangePause,
                 Handlers RowHandlers)
    : Loop(Loop), Store(Store), Log(Log), Table(std::move(Table)),
      Part(std::move(Part)), ChangePause(ChangePause),
      RowHandlers(std::move(RowHandlers)) {}

bool RowFeed::isCurrent() const {
  return this->IsListed &&
         this->Loop.clock().now() - this->LastAnswer < MaxAnswerAge;
}

std::int64_t RowFeed::storeMillis() const {
  return millisSinceBoot(this->Loop.clock().now()) + this->StoreOffsetMillis;
}

void RowFeed::handleAnswer(const RowPage &Page) {
  if (std::exchange(this->Failures, 0) > 0)
    this->Log.log(LogLevel::Info, "The store answers again.",
                  {{"table", this->Table}, {"part", this->Part}});
  this->LastAnswer = this->Loop.clock().now();
  if (Page.StoreMillis != 0)
    this->StoreOffsetMillis =
        Page.StoreMillis - millisSinceBoot(this->LastAnswer);
}

void RowFeed::listRows() {
  this->Listing = RowListing();
  this->readPage("");
}

void RowFeed::readPage(std::string From) {
  RowRange Range;
  Range.Table = this->Table;
  Range.Part = this->Part;
  Range.From = std::move(From);
  this->Store.read(std::move(Range), [this](Result<RowPage> Page) {
    if (!Page) {
      this->handleFailure(Page.error());
      return;
    }
    this->handleAnswer(*Page);
    // The rows may change while the pages are read. Following starts at the
    // version of the first page, so that such changes are read afterwards.
    if (this->Listing.Version == 0)
      this->Listing.Version = Page->Version;
    std::vector<StoredRow> &Rows = this->Listing.Rows;
    std::move(Page->Rows.begin(), Page->Rows.end(), std::back_inserter(Rows));
    if (Page->Truncated && !Rows.empty()) {
      this->readPage(Rows.back().Key + '\0');
      return;
    }
    this->Version = this->Listing.Version;
    this->IsListed = true;
    this->Listing.AfterOutage = std::exchange(this->HadOutage, false);
    // An error in a handler must not end the feed.
    this->Loop.runProtected([this] {
      this->RowHandlers.OnListed(std::exchange(this->Listing, RowListing()));
    });
    this->followChanges();
  });
}

void RowFeed::followChanges() {
  this->Store.changes(
      this->Table, this->Version, ChangeWaitTime, [this](Result<RowPage> Page) {
        if (!Page && Page.error().Code == ErrorCode::NotFound) {
          this->Log.log(LogLevel::Info,
                        "The store does not have the changes any more.",
                        {{"table", this->Table},
                         {"part", this->Part},
                         {"after", this->Version}});
          this->listRows();
          return;
        }
        if (!Page) {
          this->handleFailure(Page.error());
          return;
        }
        this->handleAnswer(*Page);
        this->HadOutage = false;
        this->Version = std::max(this->Version, Page->Version);
        std::erase_if(Page->Rows, [this](const StoredRow &Row) {
          return Row.Part != this->Part;
        });
        if (Page->Rows.empty()) {
          this->followChanges();
          return;
        }
        this->Loop.runProtected(
            [&] { this->RowHandlers.OnChanged(Page->Rows); });
        this->Loop.after(this->ChangePause, [this] { this->followChanges(); });
      });
}

void RowFeed::handleFailure(const Error &Failure) {
  if (this->Failures++ == 0)
    this->Log.log(LogLevel::Warning, "A call to the store failed.",
                  {{"table", this->Table},
                   {"part", this->Part},
                   {"code", toName(Failure.Code)},
                   {"reason", Failure.Message}});
  // A single call without an answer may be due to its connection alone.
  if (Failure.Code == ErrorCode::Unavailable || this->Failures > 1)
    this->HadOutage = true;
  // Entries may have expired while the store was unreachable, and the history
  // may not show that, so all rows are listed again.
  const int Doublings = std::min(this->Failures - 1, MaxDoublings);
  this->Loop.after(InitialRetryDelay * (1 << Doublings),
                   [this] { this->listRows(); });
}

} // namespace turmericpass
