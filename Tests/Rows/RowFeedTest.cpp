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
