#ifndef TURMERICPASS_JOBS_JOBSERVICE_H
#define TURMERICPASS_JOBS_JOBSERVICE_H

#include "Core/Error.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

enum class JobState { Running, Cancelling, Completed, Cancelled, Expired };

/// Returns the name that the files-and-batches API uses: "in_progress",
/// "cancelling", "completed", "cancelled" or "expired".
std::string_view toName(JobState State);

struct JobRecord {
  std::string Id;
  std::string Customer;
  std::string Class;
  std::string InputFile;
  std::string Endpoint;
  JobState State = JobState::Running;
  std::uint32_t TotalItems = 0;
  std::uint32_t CompletedItems = 0;
  /// Items that ended with an error as their result.
  std::uint32_t FailedItems = 0;
  /// Milliseconds since 1970.
  std::int64_t CreatedMs = 0;
  std::int64_t DueMs = 0;
};

struct FileRecord {
  std::string Id;
  std::string Name;
  std::uint64_t Bytes = 0;
  std::int64_t CreatedMs = 0;
};

/// A request to create a job.
struct JobRequest {
  std::string Customer;
  std::string Class;
  std::string InputFile;
  /// The path of the API, such as /v1/chat/completions.
  std::string Endpoint;
  /// A resend with the same key returns the same job. Empty for no key.
  std::string IdempotencyKey;
  /// The time after acceptance at which items that have not started expire, in
  /// milliseconds.
  std::uint64_t WindowMs = 0;
};

/// The interface for customers' batch jobs. A success means that the change is
/// durable in the platform's stores. Errors: Unavailable (the change was not
/// accepted or is not known to be accepted; resend it with the same key),
/// NotFound, Malformed or TooLarge for an input that is not a valid list of
/// items, and Conflict.
class JobService {
public:
  using FileDone = std::function<void(Result<FileRecord>)>;
  using TextDone = std::function<void(Result<std::string>)>;
  using JobDone = std::function<void(Result<JobRecord>)>;

  virtual ~JobService() = default;

  /// Stores an input file. Uploads with the same name and bytes result in the
  /// same file, even if an earlier upload was interrupted.
  virtual void putFile(const std::string &Customer, const std::string &Name,
                       std::string Bytes, FileDone Done) = 0;

  /// Returns the record of an input file or of a job's results. The size of the
  /// results is their current size.
  virtual void findFile(const std::string &Customer, const std::string &FileId,
                        FileDone Done) = 0;

  /// Reads an input file, or a job's results if the id has the form
  /// "<job>-output".
  virtual void readFile(const std::string &Customer, const std::string &FileId,
                        TextDone Done) = 0;

  virtual void submit(const JobRequest &Request, JobDone Done) = 0;
  virtual void find(const std::string &Customer, const std::string &JobId,
                    JobDone Done) = 0;
  virtual void cancel(const std::string &Customer, const std::string &JobId,
                      JobDone Done) = 0;
};

} // namespace turmericpass

#endif
