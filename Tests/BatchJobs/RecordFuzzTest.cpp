#include "BatchJobs/JobRecords.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace turmericpass;

namespace {

/// Returns \p Bytes with some of them changed, removed or repeated.
std::string mutate(std::string Bytes) {
  const int Changes = *rc::gen::inRange(1, 6);
  for (int I = 0; I < Changes && !Bytes.empty(); ++I) {
    const auto At = *rc::gen::inRange<std::size_t>(0, Bytes.size());
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
      Bytes[At] = static_cast<char>(*rc::gen::inRange(0, 256));
      break;
    case 1:
      Bytes.erase(At, *rc::gen::inRange<std::size_t>(1, 9));
      break;
    default:
      Bytes.insert(At, Bytes.substr(At, *rc::gen::inRange<std::size_t>(1, 9)));
    }
  }
  return Bytes;
}

} // namespace

// Guards against a record in the store that another program, or a disturbed
// transfer, has changed: it is an error and ends no process.
Test(JobRecords, ChangedRecordsAreReadWithoutACrash) {
  JobMetadata Metadata;
  Metadata.Host = "h";
  Metadata.Owner = "n@1";
  Metadata.TotalItems = 12;
  const std::string Encoded[] = {
      encodeMetadata(Metadata),
      encodeItems({{"i", "/x", {{"A", "b"}}, "body", 10}}),
      encodeResult({"i", true, "output"}), encodeProgress({3, 7, "part"})};
  cr_assert(rc::check([&] {
    for (const std::string &Bytes : Encoded) {
      const std::string Changed = mutate(Bytes);
      (void)decodeMetadata(Changed);
      (void)decodeItems(Changed);
      (void)decodeResult(Changed);
      (void)decodeProgress(Changed);
    }
  }));
}

// Guards against a record that claims to hold more elements than its bytes can.
Test(JobRecords, HugeArraysAreErrors) {
  const std::string Huge("\xdd\xff\xff\xff\xff\x01", 6);
  cr_assert_not(decodeMetadata(Huge));
  cr_assert_not(decodeItems(Huge));
  cr_assert_not(decodeItems(std::string("\x92\x01\xdd\xff\xff\xff\xff", 7)));
}

// Guards against the loss of all progress of a job at an upgrade, because an
// earlier version wrote fewer fields.
Test(JobRecords, ProgressOfAnEarlierVersionIsRead) {
  const Result<ItemProgress> Read =
      decodeProgress(std::string_view("\x94\x01\x03\x07\xa4part", 9));
  cr_assert(Read);
  cr_assert_eq(Read->LastEventId, 7);
  cr_assert_eq(Read->Failures, 0);
  cr_assert(Read->HasEvents);
  cr_assert_eq(Read->Crashes, ItemCrashCounts());
  const Result<ItemProgress> Current =
      decodeProgress(encodeProgress({3, 0, "", 2, false, {5, 2, 20}}));
  cr_assert_eq(Current->Crashes, (ItemCrashCounts{5, 2, 20}));
  cr_assert_eq(Current->Failures, 2);
  cr_assert_not(Current->HasEvents);
}
