#ifndef TURMERICPASS_BATCHJOBS_JOBRECORDS_H
#define TURMERICPASS_BATCHJOBS_JOBRECORDS_H

#include "Core/Error.h"
#include "Http/HttpTypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// One item of a job as it was submitted.
struct JobItem {
  std::string Id;
  std::string Target;
  HttpHeaders Headers;
  std::string Body;
  /// Tokens of the prompt and the most tokens of the output, summed.
  std::uint64_t Tokens = 0;
};

/// The part of a job that its owner rewrites with each commit. It is small;
/// items and results are rows of their own.
struct JobMetadata {
  std::string Host;
  std::string Target;
  /// The route under which the job was accepted; its waiting tokens count
  /// there.
  std::string Route;
  /// The incarnation of the VM that runs the items; empty if none does.
  std::string Owner;
  /// Raised with each change of the owner.
  std::uint64_t Epoch = 0;
  /// The store's clock at the acceptance, in milliseconds.
  std::int64_t AcceptedAtMillis = 0;
  std::uint64_t TotalItems = 0;
  std::uint64_t TotalTokens = 0;
  /// How many results are listed, and their items' tokens.
  std::uint64_t ListedItems = 0;
  std::uint64_t ListedTokens = 0;
  /// The caller ended the job.
  bool Ended = false;
  /// Names the transaction that wrote this head, so that a writer whose answer
  /// was lost recognises its own write.
  std::string WriteId;

  bool isOpen() const {
    return !this->Ended && this->ListedItems < this->TotalItems;
  }
};

struct ItemResult {
  std::string ItemId;
  /// False if the item was given up.
  bool Succeeded = false;
  /// The data of all events, separated by line feeds.
  std::string Output;
};

/// How far an item ran, kept when its VM stops.
struct ItemProgress {
  std::uint64_t Index = 0;
  std::uint64_t LastEvent = 0;
  std::string Output;
};

std::string encodeHead(const JobMetadata &Head);
Result<JobMetadata> decodeHead(std::string_view Bytes);
std::string encodeItems(const std::vector<JobItem> &Items);
Result<std::vector<JobItem>> decodeItems(std::string_view Bytes);
std::string encodeResult(const ItemResult &Item);
Result<ItemResult> decodeResult(std::string_view Bytes);
std::string encodeProgress(const ItemProgress &Item);
Result<ItemProgress> decodeProgress(std::string_view Bytes);

} // namespace turmericpass

#endif
