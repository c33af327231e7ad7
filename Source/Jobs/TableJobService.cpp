#include "Jobs/TableJobService.h"

#include "Core/Hash.h"
#include "Jobs/ChunkScan.h"
#include "Jobs/InputLines.h"
#include "Jobs/JobRows.h"
#include "Jobs/ObjectReader.h"
#include "Jobs/ResultAssembly.h"
#include "Platform/ObjectStore.h"

namespace turmericpass {

struct TableJobService::Upload {
  std::string Customer;
  std::string Bytes;
  FileRow Row;
  std::vector<std::string_view> Pieces;
  std::uint32_t StoredPieces = 0;
  std::uint32_t NextPiece = 0;
  FileDone Done;
};

struct TableJobService::Submission {
  JobRequest Request;
  JobRow Row;
  JobDone Done;
};

namespace {

constexpr std::string_view OutputSuffix = "-output";
/// Limits the share of the object store's write rate that one upload uses.
constexpr std::uint32_t MaxConcurrentPuts = 8;
constexpr int MaxTries = 3;

Error asUnavailable(const Error &Cause, const std::string &What) {
  return {ErrorCode::Unavailable,
          What + " is not known to be accepted: " + Cause.Message +
              " Resend it with the same Idempotency-Key."};
}

/// Maps an error to the error codes that the interface documents.
Error asReadError(const Error &Cause) {
  return {Cause.Code == ErrorCode::NotFound ? ErrorCode::NotFound
                                            : ErrorCode::Unavailable,
          Cause.Message};
}

std::string requestHash(const JobRequest &Request) {
  return sha256Hex(Request.Class + '\n' + Request.InputFile + '\n' +
                   Request.Endpoint + '\n' + std::to_string(Request.WindowMs));
}

std::string jobIdOf(const std::string &OutputId) {
  return OutputId.substr(0, OutputId.size() - OutputSuffix.size());
}

/// Derives the id from the content, so that a client that repeats the upload
/// and the submission of a job names the same input. The hashes have a fixed
/// length, so that different parts cannot give the same concatenation.
std::string fileIdOf(const std::string &Customer, const std::string &Name,
                     const std::string &Bytes) {
  return "file_" +
         sha256Hex(sha256Hex(Customer) + sha256Hex(Name) + sha256Hex(Bytes))
             .substr(0, 32);
}

} // namespace

TableJobService::TableJobService(Table &Rows, ObjectStore &Objects,
                                 const Clock &Time, IdSource &Ids,
                                 Protections Rules)
    : Rows(Rows), Objects(Objects), Time(Time), Ids(Ids), Writer(Rows, Rules) {}

void TableJobService::putFile(const std::string &Customer,
                              const std::string &Name, std::string Bytes,
                              FileDone Done) {
  auto Call = std::make_shared<Upload>();
  Call->Customer = Customer;
  Call->Bytes = std::move(Bytes);
  Call->Done = std::move(Done);
  Call->Row.Record = {fileIdOf(Customer, Name, Call->Bytes), Name,
                      Call->Bytes.size(), this->Time.wallMillis()};
  const std::size_t Items = splitItemLines(Call->Bytes).size();
  if (Items > MaxItemsPerJob)
    return Call->Done(failure(ErrorCode::TooLarge,
                              "The file has " + std::to_string(Items) +
                                  " items; split it into files of at most " +
                                  std::to_string(MaxItemsPerJob) + "."));
  Call->Pieces = splitIntoPieces(Call->Bytes, itemsPerChunk(Items));
  Call->Row.Items = static_cast<std::uint32_t>(Items);
  Call->Row.Pieces = static_cast<std::uint32_t>(Call->Pieces.size());
  // The row is written first, so that the pieces of an interrupted upload are
  // known and can be removed.
  const std::string Key = fileKey(Customer, Call->Row.Record.Id);
  this->Writer.commit(
      {this->Ids.longId(), {{Key, 0}}, {{Key, encode(Call->Row)}}, {}}, Key,
      [this, Call](const Result<void> &Reply) {
        if (Reply)
          return this->storePieces(Call);
        if (Reply.error().Code == ErrorCode::Conflict)
          return this->resumeUpload(Call);
        Call->Done(
            tl::make_unexpected(asUnavailable(Reply.error(), "The file")));
      });
}

// An earlier upload of the same bytes has written the row. That upload may
// still be running or may have been interrupted, so its pieces are stored
// again.
void TableJobService::resumeUpload(const std::shared_ptr<Upload> &Call) {
  this->Rows.get(fileKey(Call->Customer, Call->Row.Record.Id),
                 [this, Call](const Result<TableRow> &Row) {
                   const Result<FileRow> Earlier =
                       Row ? decodeFileRow(Row->Value)
                           : Result<FileRow>(tl::make_unexpected(Row.error()));
                   if (!Earlier)
                     return Call->Done(tl::make_unexpected(
                         asUnavailable(Earlier.error(), "The file")));
                   Call->Row.Record.CreatedMs = Earlier->Record.CreatedMs;
                   if (Earlier->Ready)
                     return Call->Done(Call->Row.Record);
                   this->storePieces(Call);
                 });
}

void TableJobService::storePieces(const std::shared_ptr<Upload> &Call) {
  while (Call->NextPiece < Call->Row.Pieces &&
         Call->NextPiece - Call->StoredPieces < MaxConcurrentPuts) {
    const std::uint32_t Piece = Call->NextPiece++;
    this->storePiece(Call, Piece, 1);
    if (!Call->Done)
      return;
  }
}

void TableJobService::storePiece(const std::shared_ptr<Upload> &Call,
                                 std::uint32_t Piece, int Tries) {
  this->Objects.put(pieceName(Call->Customer, Call->Row.Record.Id, Piece),
                    std::string(Call->Pieces[Piece]),
                    [this, Call, Piece, Tries](const Result<void> &Reply) {
                      this->onPiece(Call, Piece, Tries, Reply);
                    });
}

void TableJobService::onPiece(const std::shared_ptr<Upload> &Call,
                              std::uint32_t Piece, int Tries,
                              const Result<void> &Reply) {
  if (!Call->Done)
    return;
  if (!Reply && Tries < MaxTries)
    return this->storePiece(Call, Piece, Tries + 1);
  if (!Reply) {
    const FileDone Done = std::exchange(Call->Done, nullptr);
    return Done(tl::make_unexpected(asUnavailable(Reply.error(), "The file")));
  }
  if (++Call->StoredPieces == Call->Row.Pieces)
    return this->markReady(Call);
  this->storePieces(Call);
}

void TableJobService::markReady(const std::shared_ptr<Upload> &Call) {
  Call->Row.Ready = true;
  const std::string Key = fileKey(Call->Customer, Call->Row.Record.Id);
  // No version check is needed, because every upload of these bytes writes the
  // same row.
  this->Writer.commit({this->Ids.longId(), {}, {{Key, encode(Call->Row)}}, {}},
                      Key, [Call](const Result<void> &Reply) {
                        if (Reply)
                          return Call->Done(Call->Row.Record);
                        Call->Done(tl::make_unexpected(
                            asUnavailable(Reply.error(), "The file")));
                      });
}

void TableJobService::findFile(const std::string &Customer,
                               const std::string &FileId, FileDone Done) {
  if (!FileId.ends_with(OutputSuffix))
    return this->readInputRow(
        Customer, FileId,
        [Done = std::move(Done)](const Result<FileRow> &File) {
          Done(File.map([](const FileRow &Row) { return Row.Record; }));
        });
  this->readResults(Customer, jobIdOf(FileId),
                    [FileId, Done = std::move(Done)](
                        const JobRow &Job, const Result<std::string> &Text) {
                      Done(Text.map([&](const std::string &Lines) {
                        return FileRecord{FileId, FileId + ".jsonl",
                                          Lines.size(), Job.Record.CreatedMs};
                      }));
                    });
}

void TableJobService::readFile(const std::string &Customer,
                               const std::string &FileId, TextDone Done) {
  if (!FileId.ends_with(OutputSuffix))
    return this->readInput(Customer, FileId, std::move(Done));
  this->readResults(
      Customer, jobIdOf(FileId),
      [Done = std::move(Done)](const JobRow &, Result<std::string> Text) {
        Done(std::move(Text));
      });
}

void TableJobService::readInputRow(const std::string &Customer,
                                   const std::string &FileId,
                                   std::function<void(Result<FileRow>)> Done) {
  this->Rows.get(fileKey(Customer, FileId), [FileId, Done = std::move(Done)](
                                                const Result<TableRow> &Row) {
    if (!Row)
      return Done(tl::make_unexpected(asReadError(Row.error())));
    Result<FileRow> File = decodeFileRow(Row->Value);
    if (!File || !File->Ready)
      return Done(failure(ErrorCode::NotFound,
                          "The upload of " + FileId + " never finished."));
    Done(std::move(File));
  });
}

void TableJobService::readInput(const std::string &Customer,
                                const std::string &FileId, TextDone Done) {
  this->readInputRow(
      Customer, FileId,
      [this, Customer, FileId,
       Done = std::move(Done)](const Result<FileRow> &File) {
        if (!File)
          return Done(tl::make_unexpected(File.error()));
        std::vector<std::string> Names;
        for (std::uint32_t I = 0; I < File->Pieces; ++I)
          Names.push_back(pieceName(Customer, FileId, I));
        readObjects(this->Objects, std::move(Names),
                    [Done](const Result<std::vector<std::string>> &Pieces) {
                      if (!Pieces)
                        return Done(
                            tl::make_unexpected(asReadError(Pieces.error())));
                      std::string Text;
                      for (const std::string &Piece : *Pieces)
                        Text += Piece;
                      Done(std::move(Text));
                    });
      });
}

void TableJobService::readResults(
    const std::string &Customer, const std::string &JobId,
    std::function<void(const JobRow &, Result<std::string>)> Done) {
  this->readJob(
      Customer, JobId,
      [this, Done = std::move(Done)](const Result<JobRow> &Row, std::uint64_t) {
        if (!Row)
          return Done({}, tl::make_unexpected(Row.error()));
        assembleResults(this->Rows, this->Objects, *Row,
                        [Done, Job = *Row](Result<std::string> Text) {
                          Done(Job, std::move(Text));
                        });
      });
}

void TableJobService::readJob(
    const std::string &Customer, const std::string &JobId,
    std::function<void(Result<JobRow>, std::uint64_t Version)> Done) {
  this->Rows.get(jobKey(JobId), [Customer, JobId, Done = std::move(Done)](
                                    const Result<TableRow> &Row) {
    if (!Row)
      return Done(tl::make_unexpected(asReadError(Row.error())), 0);
    Result<JobRow> Job = decodeJobRow(Row->Value);
    // The error does not reveal that the job of another customer exists.
    if (Job && Job->Record.Customer != Customer)
      Job = failure(ErrorCode::NotFound, "There is no batch " + JobId + ".");
    Done(std::move(Job), Row->Version);
  });
}

void TableJobService::submit(const JobRequest &Request, JobDone Done) {
  auto Call = std::make_shared<Submission>();
  Call->Request = Request;
  Call->Done = std::move(Done);
  JobRecord &Job = Call->Row.Record;
  Job.Customer = Request.Customer;
  Job.Class = Request.Class;
  Job.InputFile = Request.InputFile;
  Job.Endpoint = Request.Endpoint;
  Job.CreatedMs = this->Time.wallMillis();
  Job.DueMs = Job.CreatedMs + static_cast<std::int64_t>(Request.WindowMs);
  Call->Row.RequestHash = requestHash(Request);
  if (Request.IdempotencyKey.empty()) {
    Job.Id = "batch_" + this->Ids.longId();
    return this->readInputOf(Call);
  }
  // The id is derived from the key, so that a resend uses the same row.
  Job.Id =
      "batch_" +
      sha256Hex(Request.Customer + '\n' + Request.IdempotencyKey).substr(0, 32);
  this->replyWithExistingJob(Call, true);
}

void TableJobService::replyWithExistingJob(
    const std::shared_ptr<Submission> &Call, bool Insert) {
  this->readJob(Call->Request.Customer, Call->Row.Record.Id,
                [this, Call, Insert](Result<JobRow> Row, std::uint64_t) {
                  if (!Row && Row.error().Code == ErrorCode::NotFound && Insert)
                    return this->readInputOf(Call);
                  if (!Row)
                    return Call->Done(tl::make_unexpected(
                        asUnavailable(Row.error(), "The batch")));
                  if (Row->RequestHash != Call->Row.RequestHash)
                    return Call->Done(failure(
                        ErrorCode::Conflict,
                        "The Idempotency-Key was used for another batch; use "
                        "a new key."));
                  this->addProgress(std::move(*Row), Call->Done);
                });
}

void TableJobService::readInputOf(const std::shared_ptr<Submission> &Call) {
  const JobRequest &Request = Call->Request;
  this->Rows.get(
      fileKey(Request.Customer, Request.InputFile),
      [this, Call](const Result<TableRow> &Row) {
        if (!Row)
          return Call->Done(tl::make_unexpected(asReadError(Row.error())));
        const Result<FileRow> File = decodeFileRow(Row->Value);
        if (!File || !File->Ready)
          return Call->Done(failure(ErrorCode::NotFound,
                                    "The upload of the input file never "
                                    "finished; upload it again."));
        if (File->Items == 0)
          return Call->Done(failure(ErrorCode::Malformed,
                                    "The input file has no line; give one "
                                    "JSON object on each line."));
        Call->Row.Record.TotalItems = File->Items;
        Call->Row.Pieces = File->Pieces;
        this->insert(Call);
      });
}

void TableJobService::insert(const std::shared_ptr<Submission> &Call) {
  const std::string Key = jobKey(Call->Row.Record.Id);
  this->Writer.commit(
      {this->Ids.longId(),
       {{Key, 0}},
       {{Key, encode(Call->Row)}, {indexKey(Call->Row.Record), "{}"}},
       {}},
      Key, [this, Call](const Result<void> &Reply) {
        if (Reply)
          return Call->Done(Call->Row.Record);
        if (Reply.error().Code == ErrorCode::Conflict)
          return this->replyWithExistingJob(Call, false);
        Call->Done(
            tl::make_unexpected(asUnavailable(Reply.error(), "The batch")));
      });
}

void TableJobService::find(const std::string &Customer,
                           const std::string &JobId, JobDone Done) {
  this->readJob(
      Customer, JobId,
      [this, Done = std::move(Done)](Result<JobRow> Row, std::uint64_t) {
        if (!Row)
          return Done(tl::make_unexpected(Row.error()));
        this->addProgress(std::move(*Row), Done);
      });
}

void TableJobService::addProgress(JobRow Row, JobDone Done) {
  if (Row.isFinal())
    return Done(Row.Record);
  const std::string Id = Row.Record.Id;
  scanChunks(this->Rows, Id,
             [Row = std::move(Row), Done = std::move(Done)](
                 const Result<std::vector<ChunkEntry>> &Chunks) mutable {
               if (!Chunks)
                 return Done(tl::make_unexpected(asReadError(Chunks.error())));
               JobRecord &Job = Row.Record;
               for (const ChunkEntry &Chunk : *Chunks) {
                 Job.CompletedItems += Chunk.Row.Completed;
                 Job.FailedItems += Chunk.Row.Failed;
               }
               // The state is taken only from the row: a job whose items are
               // all done can still be cancelled until a batcher writes its
               // final state.
               Done(Job);
             });
}

void TableJobService::cancel(const std::string &Customer,
                             const std::string &JobId, JobDone Done) {
  this->tryCancel(Customer, JobId, 1, std::move(Done));
}

void TableJobService::tryCancel(const std::string &Customer,
                                const std::string &JobId, int Tries,
                                JobDone Done) {
  this->readJob(
      Customer, JobId,
      [this, Customer, JobId, Tries,
       Done = std::move(Done)](Result<JobRow> Row, std::uint64_t Version) {
        if (!Row)
          return Done(tl::make_unexpected(Row.error()));
        const JobState State = Row->Record.State;
        if (State == JobState::Cancelling || State == JobState::Cancelled)
          return this->addProgress(std::move(*Row), Done);
        if (Row->isFinal())
          return Done(failure(ErrorCode::Conflict,
                              "The batch is already " +
                                  std::string(toName(State)) + "."));
        Row->Record.State = JobState::Cancelling;
        const std::string Key = jobKey(JobId);
        this->Writer.commit(
            {this->Ids.longId(),
             {{Key, Version}},
             {{Key, encode(*Row)}, {stopKey(JobId), "{}"}},
             {}},
            Key, [=, this, Row = *Row](const Result<void> &Reply) {
              if (Reply)
                return this->addProgress(Row, Done);
              if (Reply.error().Code == ErrorCode::Conflict && Tries < MaxTries)
                return this->tryCancel(Customer, JobId, Tries + 1, Done);
              Done(tl::make_unexpected(
                  asUnavailable(Reply.error(), "The cancellation")));
            });
      });
}

} // namespace turmericpass
