#ifndef TURMERICPASS_JOBS_TABLEJOBSERVICE_H
#define TURMERICPASS_JOBS_TABLEJOBSERVICE_H

#include "Core/Clock.h"
#include "Core/IdSource.h"
#include "Jobs/JobService.h"
#include "Jobs/TableWriter.h"

#include <memory>

namespace turmericpass {

class ObjectStore;
struct FileRow;
struct JobRow;

/// Keeps batch jobs in the platform's table and object store.
///
/// An uploaded file is split into pieces, each of which becomes the input of a
/// chunk. The file id is derived from the customer, the name and the content,
/// so that a repeated upload results in the same file. A job consists of one
/// row and one index row, which are written together. The row of a chunk is
/// created when a batcher claims it.
class TableJobService : public JobService {
public:
  TableJobService(Table &Rows, ObjectStore &Objects, const Clock &Time,
                  IdSource &Ids, Protections Rules = {});

  void putFile(const std::string &Customer, const std::string &Name,
               std::string Bytes, FileDone Done) override;
  void findFile(const std::string &Customer, const std::string &FileId,
                FileDone Done) override;
  void readFile(const std::string &Customer, const std::string &FileId,
                TextDone Done) override;
  void submit(const JobRequest &Request, JobDone Done) override;
  void find(const std::string &Customer, const std::string &JobId,
            JobDone Done) override;
  void cancel(const std::string &Customer, const std::string &JobId,
              JobDone Done) override;

private:
  struct Upload;
  struct Submission;

  void resumeUpload(const std::shared_ptr<Upload> &Call);
  void storePieces(const std::shared_ptr<Upload> &Call);
  void onPiece(const std::shared_ptr<Upload> &Call, std::uint32_t Piece,
               int Tries, const Result<void> &Reply);
  void storePiece(const std::shared_ptr<Upload> &Call, std::uint32_t Piece,
                  int Tries);
  void markReady(const std::shared_ptr<Upload> &Call);
  void readInput(const std::string &Customer, const std::string &FileId,
                 TextDone Done);
  void readInputRow(const std::string &Customer, const std::string &FileId,
                    std::function<void(Result<FileRow>)> Done);
  void
  readResults(const std::string &Customer, const std::string &JobId,
              std::function<void(const JobRow &, Result<std::string>)> Done);
  void readJob(const std::string &Customer, const std::string &JobId,
               std::function<void(Result<JobRow>, std::uint64_t Version)> Done);
  void readInputOf(const std::shared_ptr<Submission> &Call);
  void insert(const std::shared_ptr<Submission> &Call);
  void replyWithExistingJob(const std::shared_ptr<Submission> &Call,
                            bool Insert);
  void addProgress(JobRow Row, JobDone Done);
  void tryCancel(const std::string &Customer, const std::string &JobId,
                 int Tries, JobDone Done);

  Table &Rows;
  ObjectStore &Objects;
  const Clock &Time;
  IdSource &Ids;
  TableWriter Writer;
};

} // namespace turmericpass

#endif
