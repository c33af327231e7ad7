#ifndef TURMERICPASS_JOBS_JOBROWS_H
#define TURMERICPASS_JOBS_JOBROWS_H

#include "Jobs/JobService.h"

namespace turmericpass {

/// The most items of one job.
constexpr std::uint32_t MaxItemsPerJob = 100000;
/// The most items of one chunk: two table writes serve this many items.
constexpr std::uint32_t MaxItemsPerChunk = 500;
/// Running jobs are spread over this many index prefixes, so that a batcher
/// that looks for work reads a small part of them.
constexpr std::uint32_t IndexShards = 16;

/// An uploaded file. Its lines lie in objects of equal item counts, the
/// pieces; one piece is the input of one chunk.
struct FileRow {
  FileRecord Record;
  std::uint32_t Items = 0;
  std::uint32_t Pieces = 0;
  /// False until every piece is stored.
  bool Ready = false;
};

struct JobRow {
  /// Counts of items are valid only in a final state.
  JobRecord Record;
  std::uint32_t Pieces = 0;
  /// Tells a resend from another request under the same key.
  std::string RequestHash;
  /// The job is past its due time; it becomes Expired when no chunk of it is
  /// claimed any more.
  bool Expiring = false;

  /// True if nothing new of the job may start and it is not yet final.
  bool stopping() const {
    return this->Record.State == JobState::Cancelling || this->Expiring;
  }
  bool final() const {
    return this->Record.State != JobState::Running &&
           this->Record.State != JobState::Cancelling;
  }
};

enum class ChunkState {
  /// Claimed before and given back; an absent row is open as well.
  Open,
  Claimed,
  Done,
};

std::string_view toName(ChunkState State);

struct ChunkRow {
  ChunkState State = ChunkState::Open;
  /// Raised by each claim. Results belong to one epoch.
  std::uint64_t Epoch = 0;
  /// The batcher incarnation that made the claim.
  std::string Holder;
  std::uint32_t Piece = 0;
  /// Indices within the piece; empty stands for all.
  std::vector<std::uint32_t> Items;
  std::uint32_t Completed = 0;
  std::uint32_t Failed = 0;
};

std::string fileKey(const std::string &Customer, const std::string &FileId);
std::string pieceName(const std::string &Customer, const std::string &FileId,
                      std::uint32_t Piece);
std::string jobKey(const std::string &JobId);
/// The index row of a job that is not final, ordered by due time in a shard.
std::string indexKey(const JobRecord &Job);
std::string indexPrefix(std::uint32_t Shard);
/// The job's row in the list of jobs that must stop.
std::string stopKey(const std::string &JobId);
constexpr std::string_view StopPrefix = "stop/";
constexpr std::string_view LeasePrefix = "lease/";
std::string leaseKey(const std::string &Batcher);
std::string chunkPrefix(const std::string &JobId);
/// The name of the chunk that holds all of \p Piece.
std::string chunkName(std::uint32_t Piece);
std::string chunkKey(const std::string &JobId, const std::string &Chunk);
std::string resultName(const std::string &JobId, const std::string &Chunk,
                       std::uint64_t Epoch);

std::string encode(const FileRow &Row);
std::string encode(const JobRow &Row);
std::string encode(const ChunkRow &Row);

/// Errors of these: Malformed.
Result<FileRow> decodeFileRow(const std::string &Text);
Result<JobRow> decodeJobRow(const std::string &Text);
Result<ChunkRow> decodeChunkRow(const std::string &Text);

} // namespace turmericpass

#endif
