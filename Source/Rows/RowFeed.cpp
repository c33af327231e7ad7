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
constexpr Duration FollowWait = std::chrono::milliseconds(1200);

/// The time after an answer for which the rows count as current. It covers one
/// wait, its time-out and one retry.
constexpr Duration CurrentTime = std::chrono::milliseconds(2200);

constexpr Duration FirstRetry = std::chrono::milliseconds(50);
constexpr int MostDoublings = 3;

std::int64_t bootMillis(Instant Now) {
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
                 Handlers Told)
    : Loop(Loop), Store(Store), Log(Log), Table(std::move(Table)),
      Part(std::move(Part)), ChangePause(ChangePause), Told(std::move(Told)) {}

bool RowFeed::isCurrent() const {
  return this->Listed &&
         this->Loop.clock().now() - this->LastAnswer < CurrentTime;
}

std::int64_t RowFeed::storeMillis() const {
  return bootMillis(this->Loop.clock().now()) + this->StoreOffset;
}

void RowFeed::answered(const RowPage &Page) {
  if (std::exchange(this->Failures, 0) > 0)
    this->Log.log(LogLevel::Info, "The store answers again.",
                  {{"table", this->Table}, {"part", this->Part}});
  this->LastAnswer = this->Loop.clock().now();
  if (Page.StoreMillis != 0)
    this->StoreOffset = Page.StoreMillis - bootMillis(this->LastAnswer);
}

void RowFeed::list() {
  this->Rows.clear();
  this->ListVersion = 0;
  this->readPage("");
}

void RowFeed::readPage(std::string From) {
  RowRange Range;
  Range.Table = this->Table;
  Range.Part = this->Part;
  Range.From = std::move(From);
  this->Store.read(std::move(Range), [this](Result<RowPage> Page) {
    if (!Page) {
      this->failed(Page.error(), true);
      return;
    }
    this->answered(*Page);
    // The rows may change while the pages are read. Following starts at the
    // version of the first page, so that such changes are read afterwards.
    if (this->ListVersion == 0)
      this->ListVersion = Page->Version;
    std::move(Page->Rows.begin(), Page->Rows.end(),
              std::back_inserter(this->Rows));
    if (Page->Truncated && !this->Rows.empty()) {
      this->readPage(this->Rows.back().Key + '\0');
      return;
    }
    this->Version = this->ListVersion;
    this->Listed = true;
    this->Told.Listed(std::exchange(this->Rows, {}),
                      std::exchange(this->Gap, false));
    this->follow();
  });
}

void RowFeed::follow() {
  this->Store.changes(
      this->Table, this->Version, FollowWait, [this](Result<RowPage> Page) {
        if (!Page) {
          this->failed(Page.error(), Page.error().Code == ErrorCode::NotFound);
          return;
        }
        this->answered(*Page);
        this->Gap = false;
        this->Version = std::max(this->Version, Page->Version);
        std::erase_if(Page->Rows, [this](const StoredRow &Row) {
          return Row.Part != this->Part;
        });
        if (Page->Rows.empty()) {
          this->follow();
          return;
        }
        this->Told.Changed(Page->Rows);
        this->Loop.after(this->ChangePause, [this] { this->follow(); });
      });
}

void RowFeed::failed(const Error &Why, bool ListAgain) {
  const bool HistoryGone = Why.Code == ErrorCode::NotFound;
  if (this->Failures++ == 0)
    this->Log.log(LogLevel::Warning, "A call to the store failed.",
                  {{"table", this->Table},
                   {"part", this->Part},
                   {"code", toName(Why.Code)},
                   {"reason", Why.Message}});
  if (!HistoryGone)
    this->Gap = true;
  const int Doublings = std::min(this->Failures - 1, MostDoublings);
  const Duration Pause =
      HistoryGone ? Duration(0) : FirstRetry * (1 << Doublings);
  // Entries may have expired while the store was unreachable, and the history
  // may not show that, so all rows are listed again after a gap.
  const bool List = ListAgain || this->Gap || !this->Listed;
  this->Loop.after(Pause, [this, List] {
    if (List)
      this->list();
    else
      this->follow();
  });
}

} // namespace turmericpass
