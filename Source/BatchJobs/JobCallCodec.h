#ifndef TURMERICPASS_BATCHJOBS_JOBCALLCODEC_H
#define TURMERICPASS_BATCHJOBS_JOBCALLCODEC_H

#include "BatchJobs/JobRecords.h"
#include "Core/Clock.h"
#include "RawHttp/RawMessage.h"

#include <optional>
#include <string>
#include <vector>

namespace turmericpass {

enum class JobCallKind { Submit, ReadResults, ReadItem, End };

/// What a caller asks of a job.
struct JobCall {
  JobCallKind Kind = JobCallKind::Submit;
  std::string JobId;
  /// ReadItem: the item's id.
  std::string ItemId;
  /// ReadResults: the first position that is wanted.
  std::uint64_t After = 0;
  /// ReadResults: how long the caller waits for a result.
  Duration Wait{0};
};

/// How a deployment's callers write calls on jobs, and how they read answers.
class JobCallCodec {
public:
  virtual ~JobCallCodec() = default;

  /// Reads a call on an existing job; nothing if \p Request is none.
  virtual std::optional<JobCall> parseCall(const RawRequest &Request) const = 0;

  /// Reads a submission. Errors: InvalidArgument.
  virtual Result<std::vector<JobItem>>
  parseSubmission(const RawRequest &Request) const = 0;

  /// Writes the results from position \p First on.
  virtual std::string
  formatResults(std::uint64_t Total, std::uint64_t First,
                const std::vector<ItemResult> &Results) const = 0;

  /// The content type of formatResults().
  virtual std::string contentType() const = 0;
};

} // namespace turmericpass

#endif
