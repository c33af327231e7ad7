#ifndef TURMERICPASS_NODE_CRASHARCHIVE_H
#define TURMERICPASS_NODE_CRASHARCHIVE_H

#include "Core/Clock.h"
#include "Rows/RowStore.h"
#include "Serving/CrashRecord.h"

#include <map>
#include <optional>
#include <string>

namespace turmericpass {

class CrashCounter;
class EventLoop;
class Logger;

/// Keeps the crash records of blocked suspects in the store, so that they
/// stay blocked after all VMs were lost at the same time. While the store is
/// away, the VMs know what they tell each other.
class CrashArchive {
public:
  static constexpr const char *Table = "turmericpass-crashes";
  /// The one part of the table.
  static constexpr const char *Part = "crashes";

  CrashArchive(EventLoop &Loop, RowStore &Store, CrashCounter &Crashes,
               Logger &Log);

  /// Reads the records that other VMs wrote, and starts to write new ones.
  void start();

private:
  struct StoredRecord {
    /// The time of the last crash by the store's clock, in milliseconds.
    std::int64_t CrashedAtMillis = 0;
    CrashRecord Record;
  };

  static std::string encode(const StoredRecord &Stored);
  static Result<StoredRecord> decode(std::string_view Bytes);

  void readPage(const std::string &From);
  void handlePage(const RowPage &Page);
  void removeRow(const StoredRow &Row);
  void writeRecords();
  void writeRecord(const CrashRecord &Record);

  EventLoop &Loop;
  RowStore &Store;
  CrashCounter &Crashes;
  Logger &Log;
  /// The difference between the store's clock and the clock of this VM, once
  /// the table was read.
  std::optional<Duration> StoreClockOffset;
  /// The earliest time of the next write for each suspect. A write that is in
  /// progress or has failed is not repeated before.
  std::map<std::uint64_t, Instant> NextWrites;
};

} // namespace turmericpass

#endif
