#include "Rows/RowFeed.h"
#include "Support/RunUntil.h"
#include "Support/ScriptedRowStore.h"
#include "Telemetry/Logger.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

struct FeedBench {
  BootClock Time;
  EventLoop Loop{Time};
  ScriptedRowStore Store;
  NullLogger Log;
  std::vector<RowListing> Listings;
  std::size_t Changes = 0;
  RowFeed Feed{
      Loop,
      Store,
      Log,
      "t",
      "p",
      Duration(0),
      {[this](const RowListing &Listing) { this->Listings.push_back(Listing); },
       [this](const std::vector<StoredRow> &) { ++this->Changes; }}};

  FeedBench() { this->Feed.start(); }

  static RowPage makePage(std::uint64_t Version,
                          const std::vector<std::string> &Keys,
                          bool Truncated = false) {
    RowPage Page;
    Page.Version = Version;
    Page.Truncated = Truncated;
    for (const std::string &Key : Keys)
      Page.Rows.push_back({"t", "p", Key, "value", 1, false});
    return Page;
  }
  /// Answers the next call, as soon as there is one.
  ScriptedRowStore::Call answer(Result<RowPage> Page) {
    cr_assert(runUntil(this->Loop, [&] { return !this->Store.Calls.empty(); }));
    return this->Store.answer(std::move(Page));
  }
};

} // namespace

// Guards against rows that count as removed because they were written while the
// pages of a listing were read.
Test(RowFeed, ListingIncludesWritesUpToItsFirstPage) {
  FeedBench Bench;
  Bench.answer(FeedBench::makePage(7, {"b"}, true));
  cr_assert(Bench.Listings.empty());
  const ScriptedRowStore::Call Second =
      Bench.answer(FeedBench::makePage(9, {"c"}));
  cr_assert_gt(Second.From, "b");
  cr_assert_eq(Bench.Listings.size(), 1);
  cr_assert_eq(Bench.Listings[0].Version, 7);
  cr_assert_eq(Bench.Listings[0].Rows.size(), 2);
  cr_assert_not(Bench.Listings[0].AfterOutage);
  const ScriptedRowStore::Call Follow =
      Bench.answer(FeedBench::makePage(9, {"a"}));
  cr_assert_not(Follow.IsRead);
  cr_assert_eq(Follow.After, 7);
  cr_assert_eq(Bench.Changes, 1);
}

// Guards against a server that is used for seconds after its entry was removed,
// because one call without an answer counts as an outage in which entries may
// have expired.
Test(RowFeed, OneUnansweredCallIsNoOutage) {
  for (const ErrorCode Code : {ErrorCode::Timeout, ErrorCode::Malformed}) {
    FeedBench Bench;
    Bench.answer(FeedBench::makePage(1, {"a"}));
    Bench.answer(failure(Code, "The store gave no answer."));
    const ScriptedRowStore::Call Retry =
        Bench.answer(FeedBench::makePage(2, {}));
    cr_assert(Retry.IsRead);
    cr_assert_eq(Bench.Listings.size(), 2);
    cr_assert_not(Bench.Listings[1].AfterOutage);
  }
}

// Guards against servers that are taken for gone because their entries expired
// while the store was down.
Test(RowFeed, OutageIsReportedWithTheNextListing) {
  const std::vector<std::vector<ErrorCode>> Outages = {
      {ErrorCode::Unavailable},
      {ErrorCode::Timeout, ErrorCode::Timeout},
      {ErrorCode::Timeout, ErrorCode::Unavailable, ErrorCode::Timeout}};
  for (const std::vector<ErrorCode> &Outage : Outages) {
    FeedBench Bench;
    Bench.answer(FeedBench::makePage(1, {"a"}));
    for (const ErrorCode Code : Outage)
      Bench.answer(failure(Code, "The store is away."));
    // The outage concerns the listing, not one page of it.
    Bench.answer(FeedBench::makePage(2, {"a"}, true));
    Bench.answer(FeedBench::makePage(3, {"b"}));
    cr_assert_eq(Bench.Listings.size(), 2);
    cr_assert(Bench.Listings[1].AfterOutage);
    // It ends with the listing.
    Bench.answer(failure(ErrorCode::NotFound, "The history is gone."));
    Bench.answer(FeedBench::makePage(4, {"b"}));
    cr_assert_eq(Bench.Listings.size(), 3);
    cr_assert_not(Bench.Listings[2].AfterOutage);
  }
}

// Guards against a lost history that counts as a failed call, so that one more
// call without an answer looks like an outage.
Test(RowFeed, LostHistoryIsNoFailure) {
  FeedBench Bench;
  Bench.answer(FeedBench::makePage(1, {"a"}));
  Bench.answer(failure(ErrorCode::NotFound, "The history is gone."));
  Bench.answer(failure(ErrorCode::Timeout, "The store gave no answer."));
  Bench.answer(FeedBench::makePage(2, {}));
  cr_assert_eq(Bench.Listings.size(), 2);
  cr_assert_not(Bench.Listings[1].AfterOutage);
}
