#include "Node/CrashArchive.h"
#include "Loop/EventLoop.h"
#include "Serving/CrashCounter.h"
#include "Support/MemoryRowStore.h"
#include "Support/RunUntil.h"
#include "Telemetry/Logger.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t CrashingRequest = 77;

struct ArchiveBench {
  BootClock Time;
  EventLoop Loop{Time};
  MemoryRowStore Rows{Loop};
  NullLogger Log;

  std::size_t storedRows() { return this->Rows.count(CrashArchive::Table, ""); }
};

/// A VM that was started on the store of an ArchiveBench.
struct ArchiveVm {
  explicit ArchiveVm(ArchiveBench &Bench)
      : Crashes(Bench.Time),
        Archive(Bench.Loop, Bench.Rows, this->Crashes, Bench.Log) {
    this->Archive.start();
  }

  void block() {
    for (std::uint32_t Server = 1; Server <= 3; ++Server)
      this->Crashes.addCrash({{CrashingRequest, {}}}, Server);
  }

  CrashCounter Crashes;
  CrashArchive Archive;
};

} // namespace

// Guards against sending a blocked request again after all VMs were lost at the
// same time, also if the store refused the first write.
Test(CrashArchive, BlockOutlivesAllVms) {
  ArchiveBench Bench;
  ArchiveVm First(Bench);
  Bench.Rows.Faults = {RowFault::Refused};
  First.block();
  cr_assert(runUntil(Bench.Loop, [&] { return Bench.storedRows() == 1; }));
  ArchiveVm Second(Bench);
  cr_assert(runUntil(Bench.Loop, [&] {
    return Second.Crashes.isBlocked({CrashingRequest, {}});
  }));
}

// Guards against a VM that never learns of blocked requests because the store
// was away when it started.
Test(CrashArchive, RecordsAreReadWhenTheStoreReturns) {
  ArchiveBench Bench;
  ArchiveVm First(Bench);
  First.block();
  cr_assert(runUntil(Bench.Loop, [&] { return Bench.storedRows() == 1; }));
  Bench.Rows.Away = true;
  ArchiveVm Second(Bench);
  runFor(Bench.Loop, 50ms);
  cr_assert_not(Second.Crashes.isBlocked({CrashingRequest, {}}));
  Bench.Rows.Away = false;
  cr_assert(runUntil(Bench.Loop, [&] {
    return Second.Crashes.isBlocked({CrashingRequest, {}});
  }));
}

// Guards against blocking a request again that has succeeded since.
Test(CrashArchive, ResetOutlivesAllVms) {
  ArchiveBench Bench;
  ArchiveVm First(Bench);
  First.block();
  cr_assert(runUntil(Bench.Loop, [&] { return Bench.storedRows() == 1; }));
  runFor(Bench.Loop, 20ms);
  const int Before = Bench.Rows.Transactions;
  First.Crashes.recordSuccess({CrashingRequest, {}});
  cr_assert(runUntil(Bench.Loop,
                     [&] { return Bench.Rows.Transactions == Before + 1; }));
  runFor(Bench.Loop, 20ms);
  ArchiveVm Second(Bench);
  runFor(Bench.Loop, 50ms);
  cr_assert_not(Second.Crashes.isBlocked({CrashingRequest, {}}));
}

// Guards against a block without end, and against rows that nobody removes.
Test(CrashArchive, OldRecordsAreRemoved) {
  ArchiveBench Bench;
  ArchiveVm First(Bench);
  First.block();
  cr_assert(runUntil(Bench.Loop, [&] { return Bench.storedRows() == 1; }));
  Bench.Rows.StoreMillis = (CrashCounter::CountLifetime + 5s) / 1ms;
  ArchiveVm Second(Bench);
  cr_assert(runUntil(Bench.Loop, [&] { return Bench.storedRows() == 0; }));
  cr_assert_not(Second.Crashes.isBlocked({CrashingRequest, {}}));
}

// Guards against writes of requests that are not blocked, and of a blocked
// request by every VM that hears of it.
Test(CrashArchive, OneVmWritesOneRow) {
  ArchiveBench Bench;
  ArchiveVm First(Bench);
  ArchiveVm Second(Bench);
  First.Crashes.addCrash({{1, {}}}, 1);
  First.block();
  cr_assert(runUntil(Bench.Loop, [&] { return Bench.storedRows() == 1; }));
  for (int Round = 0; Round < 3; ++Round) {
    runFor(Bench.Loop, 220ms);
    for (const CrashRecord &Record : First.Crashes.recordsToShare(8))
      Second.Crashes.mergeRecord(Record);
  }
  cr_assert_eq(Bench.Rows.Transactions, 1);
}

// Guards against a VM that does not start because another writer left a row
// that it cannot read.
Test(CrashArchive, InvalidRowsAreIgnored) {
  ArchiveBench Bench;
  Bench.Rows.put(CrashArchive::Table, CrashArchive::Part, "1", "\x93\x01");
  Bench.Rows.put(CrashArchive::Table, CrashArchive::Part, "2", "text");
  ArchiveVm First(Bench);
  First.block();
  cr_assert(runUntil(Bench.Loop, [&] { return Bench.storedRows() == 3; }));
}
