#ifndef TURMERICPASS_BATCHJOBS_JOBRECORDS_H
#define TURMERICPASS_BATCHJOBS_JOBRECORDS_H

#include "BatchJobs/ItemCrashPolicy.h"
#include "Core/Error.h"
#include "Http/HttpTypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// One item of a job, as submitted.
struct JobItem {
  std::string Id;
  std::string Target;
  HttpHeaders Headers;
  std::string Body;
  /// The number of prompt tokens plus the maximum number of output tokens.
  std::uint64_t Tokens = 0;
};

/// The metadata row of a job, which its owner rewrites with each commit. It
/// stays small because items and results are stored in rows of their own.
struct JobMetadata {
  std::string Host;
  std::string Target;
  /// The route under which the job was accepted. The job's waiting tokens count
  /// towards the limit of this route.
  std::string Route;
  /// The incarnation of the VM that runs the items. Empty if the job has no
  /// owner.
  std::string Owner;
  /// Incremented whenever the owner changes.
  std::uint64_t Epoch = 0;
  /// The time of acceptance by the store's clock, in milliseconds.
  std::int64_t AcceptedAtMillis = 0;
  std::uint64_t TotalItems = 0;
  std::uint64_t TotalTokens = 0;
  /// The number of results in the store, and the tokens of their items.
  std::uint64_t CommittedItems = 0;
  std::uint64_t CommittedTokens = 0;
  /// Whether the caller cancelled the job.
  bool Cancelled = false;
  /// Identifies the transaction that wrote this row. A writer that got no
  /// answer from the store uses it to recognise its own write.
  std::string WriteId;
  /// The organisation that submitted the job. It is empty if the submission
  /// needed no key and in records of earlier versions.
  std::string Organisation;

  /// Returns whether the job is neither cancelled nor finished.
  bool isOpen() const {
    return !this->Cancelled && this->CommittedItems < this->TotalItems;
  }
};

/// The final result of an item.
struct ItemResult {
  std::string ItemId;
  /// False if the item failed permanently or expired.
  bool Succeeded = false;
  /// The data of all events, joined with line feeds.
  std::string Output;
};

/// The state of an unfinished item: its partial output, up to event
/// LastEventId, its failed attempts and crashes. Another VM that takes the job
/// over goes on from it.
struct ItemProgress {
  /// The index of the item among the items of its job.
  std::uint64_t Index = 0;
  std::uint64_t LastEventId = 0;
  std::string Output;
  /// The number of failed attempts. Records of earlier versions do not have it.
  int Failures = 0;
  /// Whether any event was received.
  bool HasEvents = true;
  /// Records of earlier versions do not have the counts.
  ItemCrashCounts Crashes;
};

std::string encodeMetadata(const JobMetadata &Metadata);
Result<JobMetadata> decodeMetadata(std::string_view Bytes);
std::string encodeItems(const std::vector<JobItem> &Items);
Result<std::vector<JobItem>> decodeItems(std::string_view Bytes);
std::string encodeResult(const ItemResult &Item);
Result<ItemResult> decodeResult(std::string_view Bytes);
std::string encodeProgress(const ItemProgress &Item);
Result<ItemProgress> decodeProgress(std::string_view Bytes);

} // namespace turmericpass

#endif
