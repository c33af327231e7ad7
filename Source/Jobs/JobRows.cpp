#include "Jobs/JobRows.h"

#include "Core/EnumTable.h"
#include "Core/Hash.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace turmericpass {

namespace {

using Json = nlohmann::json;

constexpr auto JobStateNames = makeEnumTable<JobState>({
    {JobState::Running, "in_progress"},
    {JobState::Cancelling, "cancelling"},
    {JobState::Completed, "completed"},
    {JobState::Cancelled, "cancelled"},
    {JobState::Expired, "expired"},
});

constexpr auto ChunkStateNames = makeEnumTable<ChunkState>({
    {ChunkState::Open, "open"},
    {ChunkState::Claimed, "claimed"},
    {ChunkState::Done, "done"},
});

/// Returns \p Value with leading zeros, so that the order of keys is numeric.
std::string padded(std::uint64_t Value, std::size_t Width) {
  std::string Digits = std::to_string(Value);
  if (Digits.size() < Width)
    Digits.insert(0, Width - Digits.size(), '0');
  return Digits;
}

template <typename Row, typename Fill>
Result<Row> decodeRow(const std::string &Text, const char *What, Fill FillRow) {
  try {
    Row Value;
    FillRow(Json::parse(Text), Value);
    return Value;
  } catch (const Json::exception &Problem) {
    return failure(ErrorCode::Malformed,
                   std::string("The ") + What +
                       " row cannot be read: " + Problem.what());
  }
}

/// Invalid UTF-8 is replaced, because customers choose the names of files and a
/// name may hold any bytes.
std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

std::string_view toName(JobState State) { return JobStateNames.nameOf(State); }

std::string_view toName(ChunkState State) {
  return ChunkStateNames.nameOf(State);
}

std::string fileKey(const std::string &Customer, const std::string &FileId) {
  return "file/" + Customer + "/" + FileId;
}

std::string pieceName(const std::string &Customer, const std::string &FileId,
                      std::uint32_t Piece) {
  return "file/" + Customer + "/" + FileId + "/" + padded(Piece, 6);
}

std::string jobKey(const std::string &JobId) { return "job/" + JobId; }

std::string indexPrefix(std::uint32_t Shard) {
  return "open/" + padded(Shard, 2) + "/";
}

std::string indexKey(const JobRecord &Job) {
  const auto Shard =
      static_cast<std::uint32_t>(hash64(Job.Id) % IndexShardCount);
  return indexPrefix(Shard) +
         padded(
             static_cast<std::uint64_t>(std::max<std::int64_t>(Job.DueMs, 0)),
             15) +
         "/" + Job.Id;
}

std::string stopKey(const std::string &JobId) {
  return std::string(StopPrefix) + JobId;
}

std::string leaseKey(const std::string &Batcher) {
  return std::string(LeasePrefix) + Batcher;
}

std::string chunkPrefix(const std::string &JobId) {
  return "chunk/" + JobId + "/";
}

std::string chunkName(std::uint32_t Piece) { return padded(Piece, 6); }

std::string chunkKey(const std::string &JobId, const std::string &Chunk) {
  return chunkPrefix(JobId) + Chunk;
}

std::string resultName(const std::string &JobId, const std::string &Chunk,
                       std::uint64_t Epoch) {
  return "out/" + JobId + "/" + Chunk + "/" + std::to_string(Epoch);
}

std::string encode(const FileRow &Row) {
  return dump({{"id", Row.Record.Id},
               {"name", Row.Record.Name},
               {"bytes", Row.Record.Bytes},
               {"created", Row.Record.CreatedMs},
               {"items", Row.Items},
               {"pieces", Row.Pieces},
               {"ready", Row.Ready}});
}

Result<FileRow> decodeFileRow(const std::string &Text) {
  return decodeRow<FileRow>(Text, "file", [](const Json &From, FileRow &Row) {
    From.at("id").get_to(Row.Record.Id);
    From.at("name").get_to(Row.Record.Name);
    From.at("bytes").get_to(Row.Record.Bytes);
    From.at("created").get_to(Row.Record.CreatedMs);
    From.at("items").get_to(Row.Items);
    From.at("pieces").get_to(Row.Pieces);
    From.at("ready").get_to(Row.Ready);
  });
}

std::string encode(const JobRow &Row) {
  const JobRecord &Job = Row.Record;
  return dump({{"id", Job.Id},
               {"customer", Job.Customer},
               {"class", Job.Class},
               {"input", Job.InputFile},
               {"endpoint", Job.Endpoint},
               {"state", toName(Job.State)},
               {"total", Job.TotalItems},
               {"completed", Job.CompletedItems},
               {"failed", Job.FailedItems},
               {"created", Job.CreatedMs},
               {"due", Job.DueMs},
               {"pieces", Row.Pieces},
               {"request", Row.RequestHash},
               {"expiring", Row.Expiring}});
}

Result<JobRow> decodeJobRow(const std::string &Text) {
  return decodeRow<JobRow>(Text, "job", [](const Json &From, JobRow &Row) {
    JobRecord &Job = Row.Record;
    From.at("id").get_to(Job.Id);
    From.at("customer").get_to(Job.Customer);
    From.at("class").get_to(Job.Class);
    From.at("input").get_to(Job.InputFile);
    From.at("endpoint").get_to(Job.Endpoint);
    Job.State = JobStateNames.valueOf(From.at("state").get<std::string>())
                    .value_or(JobState::Running);
    From.at("total").get_to(Job.TotalItems);
    From.at("completed").get_to(Job.CompletedItems);
    From.at("failed").get_to(Job.FailedItems);
    From.at("created").get_to(Job.CreatedMs);
    From.at("due").get_to(Job.DueMs);
    From.at("pieces").get_to(Row.Pieces);
    From.at("request").get_to(Row.RequestHash);
    From.at("expiring").get_to(Row.Expiring);
  });
}

std::string encode(const ChunkRow &Row) {
  return dump({{"state", toName(Row.State)},
               {"epoch", Row.Epoch},
               {"holder", Row.Holder},
               {"piece", Row.Piece},
               {"items", Row.Items},
               {"completed", Row.Completed},
               {"failed", Row.Failed}});
}

Result<ChunkRow> decodeChunkRow(const std::string &Text) {
  return decodeRow<ChunkRow>(
      Text, "chunk", [](const Json &From, ChunkRow &Row) {
        Row.State = ChunkStateNames.valueOf(From.at("state").get<std::string>())
                        .value_or(ChunkState::Open);
        From.at("epoch").get_to(Row.Epoch);
        From.at("holder").get_to(Row.Holder);
        From.at("piece").get_to(Row.Piece);
        From.at("items").get_to(Row.Items);
        From.at("completed").get_to(Row.Completed);
        From.at("failed").get_to(Row.Failed);
      });
}

} // namespace turmericpass
