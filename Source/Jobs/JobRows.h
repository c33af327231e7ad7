#ifndef TURMERICPASS_JOBS_JOBROWS_H
#define TURMERICPASS_JOBS_JOBROWS_H

#include "Jobs/JobService.h"

namespace turmericpass {

/// The maximum number of items per job.
constexpr std::uint32_t MaxItemsPerJob = 100000;
/// The maximum number of items per chunk; two table writes serve this many
/// items.
constexpr std::uint32_t MaxItemsPerChunk = 500;
/// The number of index prefixes that the running jobs are distributed over, so
/// that a batcher that looks for work reads only a small part of them.
constexpr std::uint32_t IndexShardCount = 16;

/// The row of an uploaded file. Its lines are stored in objects with equal
/// numbers of items, the pieces. One piece is the input of one chunk.
struct FileRow {
  FileRecord Record;
  std::uint32_t Items = 0;
  std::uint32_t Pieces = 0;
  /// False until every piece is stored.
  bool Ready = false;
};

struct JobRow {
  /// The item counts are valid only in a final state.
  JobRecord Record;
  std::uint32_t Pieces = 0;
  /// Distinguishes a resend from another request with the same key.
  std::string RequestHash;
  /// True if the job is past its due time. It becomes Expired when none of its
  /// chunks is claimed any more.
  bool Expiring = false;

  /// Returns true if no item of the job may start but the job is not final yet.
  bool isStopping() const {
    return this->Record.State == JobState::Cancelling || this->Expiring;
  }
  bool isFinal() const {
    return this->Record.State != JobState::Running &&
           this->Record.State != JobState::Cancelling;
  }
};

enum class ChunkState {
  /// The chunk was claimed and released. A chunk without a row is open as well.
  Open,
  Claimed,
  Done,
};

std::string_view toName(ChunkState State);

struct ChunkRow {
  ChunkState State = ChunkState::Open;
  /// Incremented by each claim. A result object belongs to one epoch.
  std::uint64_t Epoch = 0;
  /// The incarnation of the batcher that claimed the chunk.
  std::string Holder;
  std::uint32_t Piece = 0;
  /// The indices of the items within the piece; empty for all items.
  std::vector<std::uint32_t> Items;
  std::uint32_t Completed = 0;
  std::uint32_t Failed = 0;
};

std::string fileKey(const std::string &Customer, const std::string &FileId);
std::string pieceName(const std::string &Customer, const std::string &FileId,
                      std::uint32_t Piece);
std::string jobKey(const std::string &JobId);
/// Returns the key of the index row of a job that is not final. The keys of a
/// shard are ordered by due time.
std::string indexKey(const JobRecord &Job);
std::string indexPrefix(std::uint32_t Shard);
/// Returns the key of the row that marks the job as stopping.
std::string stopKey(const std::string &JobId);
constexpr std::string_view StopPrefix = "stop/";
constexpr std::string_view LeasePrefix = "lease/";
std::string leaseKey(const std::string &Batcher);
std::string chunkPrefix(const std::string &JobId);
/// Returns the name of the chunk that holds all items of \p Piece.
std::string chunkName(std::uint32_t Piece);
std::string chunkKey(const std::string &JobId, const std::string &Chunk);
std::string resultName(const std::string &JobId, const std::string &Chunk,
                       std::uint64_t Epoch);

std::string encode(const FileRow &Row);
std::string encode(const JobRow &Row);
std::string encode(const ChunkRow &Row);

/// Errors of the decode functions: Malformed.
Result<FileRow> decodeFileRow(const std::string &Text);
Result<JobRow> decodeJobRow(const std::string &Text);
Result<ChunkRow> decodeChunkRow(const std::string &Text);

} // namespace turmericpass

#endif
