#include "Node/CrashArchive.h"

#include "Loop/EventLoop.h"
#include "Node/PeerCodec.h"
#include "Serving/CrashCounter.h"
#include "Telemetry/Logger.h"

#include <exception>
#include <utility>

namespace turmericpass {

namespace {

constexpr Duration WritePeriod = std::chrono::milliseconds(200);
constexpr Duration RetryDelay = std::chrono::seconds(1);

constexpr unsigned RecordVersion = 1;
constexpr std::uint32_t FieldCount = 3;

Duration clockTime(const Clock &Time) { return Time.now().time_since_epoch(); }

} // namespace

CrashArchive::CrashArchive(EventLoop &Loop, RowStore &Store,
                           CrashCounter &Crashes, Logger &Log)
    : Loop(Loop), Store(Store), Crashes(Crashes), Log(Log) {}

std::string CrashArchive::encode(const StoredRecord &Stored) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Out(Buffer);
  Out.pack_array(FieldCount);
  Out.pack(RecordVersion);
  Out.pack(Stored.CrashedAtMillis);
  packCrashes(Out, {Stored.Record});
  return {Buffer.data(), Buffer.size()};
}

Result<CrashArchive::StoredRecord>
CrashArchive::decode(std::string_view Bytes) {
  try {
    const msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size());
    const msgpack::object &Object = Handle.get();
    if (checkedArray(Object, 1).size != FieldCount ||
        readField<unsigned>(Object, 0) != RecordVersion)
      throw msgpack::type_error();
    const std::vector<CrashRecord> Records =
        readCrashes(Object.via.array.ptr[2]);
    if (Records.size() != 1)
      throw msgpack::type_error();
    return StoredRecord{readField<std::int64_t>(Object, 1), Records.front()};
  } catch (const std::exception &Thrown) {
    return failure(ErrorCode::Malformed,
                   std::string("A stored crash record cannot be read: ") +
                       Thrown.what() + ".");
  }
}

void CrashArchive::start() {
  this->readPage("");
  this->Loop.every(WritePeriod, [this] { this->writeRecords(); });
}

void CrashArchive::readPage(const std::string &From) {
  RowRange Range;
  Range.Table = Table;
  Range.Part = Part;
  Range.From = From;
  this->Store.read(std::move(Range), [this, From](Result<RowPage> Page) {
    if (!Page) {
      this->Log.log(LogLevel::Warning, "Failed to read the crash records.",
                    {{"reason", Page.error().Message}});
      this->Loop.after(RetryDelay, [this, From] { this->readPage(From); });
      return;
    }
    this->handlePage(*Page);
    if (Page->Truncated && !Page->Rows.empty())
      this->readPage(Page->Rows.back().Key + '\x01');
  });
}

void CrashArchive::handlePage(const RowPage &Page) {
  this->StoreClockOffset = std::chrono::milliseconds(Page.StoreMillis) -
                           clockTime(this->Loop.clock());
  std::size_t Blocked = 0;
  for (const StoredRow &Row : Page.Rows) {
    Result<StoredRecord> Stored = decode(Row.Value);
    if (!Stored) {
      this->Log.log(LogLevel::Warning, "Ignored an invalid crash record.",
                    {{"key", Row.Key},
                     {"row_version", Row.Version},
                     {"reason", Stored.error().Message}});
      continue;
    }
    const Duration Age = std::chrono::milliseconds(
        std::max<std::int64_t>(0, Page.StoreMillis - Stored->CrashedAtMillis));
    if (Age >= CrashCounter::CountLifetime) {
      this->removeRow(Row);
      continue;
    }
    Stored->Record.AgeSeconds = CrashCounter::wholeSeconds(Age);
    Stored->Record.Stored = true;
    this->Crashes.mergeRecord(Stored->Record);
    if (this->Crashes.crashesOf(Stored->Record.Suspect) > 0)
      ++Blocked;
  }
  if (Blocked > 0)
    this->Log.log(LogLevel::Info,
                  "Read which requests crash servers from the store.",
                  {{"suspects", Blocked}});
}

void CrashArchive::removeRow(const StoredRow &Row) {
  RowTransaction Change;
  Change.Part = Part;
  // A row that was written in the meantime stays.
  Change.Conditions = {{Table, Row.Key, Row.Version}};
  Change.Removals = {{Table, Row.Key}};
  this->Store.transact(std::move(Change), [](const TransactionResult &) {
    // The next VM that starts tries again.
  });
}

void CrashArchive::writeRecords() {
  const Instant Now = this->Loop.clock().now();
  std::erase_if(this->NextWrites,
                [&](const auto &Each) { return Each.second <= Now; });
  // Ages cannot be stored before the store's clock is known.
  if (!this->StoreClockOffset)
    return;
  for (const CrashRecord &Record : this->Crashes.recordsToStore())
    if (!this->NextWrites.contains(Record.Suspect))
      this->writeRecord(Record);
}

void CrashArchive::writeRecord(const CrashRecord &Record) {
  const Instant Now = this->Loop.clock().now();
  this->NextWrites[Record.Suspect] = Now + RetryDelay;
  const Duration CrashedAt = clockTime(this->Loop.clock()) +
                             *this->StoreClockOffset -
                             std::chrono::seconds(Record.AgeSeconds);
  RowTransaction Change;
  Change.Part = Part;
  Change.Writes = {
      {Table, std::to_string(Record.Suspect),
       encode({CrashedAt / std::chrono::milliseconds(1), Record})}};
  this->Store.transact(
      std::move(Change), [this, Record](const TransactionResult &Transaction) {
        const bool Committed =
            Transaction.Outcome == TransactionOutcome::Committed;
        if (Committed)
          this->Crashes.markStored(Record);
        this->Log.log(Committed ? LogLevel::Info : LogLevel::Warning,
                      Committed ? "Stored a crash record."
                                : "Failed to store a crash record.",
                      {{"suspect", Record.Suspect},
                       {"resets", Record.Resets},
                       {"servers", Record.Servers.size()},
                       {"detail", Transaction.Detail}});
      });
}

} // namespace turmericpass
