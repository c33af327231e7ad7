#ifndef TURMERICPASS_BATCHJOBS_JOBCALLCODEC_H
#define TURMERICPASS_BATCHJOBS_JOBCALLCODEC_H

#include "BatchJobs/JobRecords.h"
#include "Core/Clock.h"
#include "RawHttp/RawMessage.h"

#include <optional>
#include <string>
#include <vector>

namespace turmericpass {

enum class JobCallKind { Submit, ReadResults, ReadItem, Cancel };

/// A parsed request of a caller concerning a job.
struct JobCall {
  JobCallKind Kind = JobCallKind::Submit;
  std::string JobId;
  /// The id of the requested item, for ReadItem.
  std::string ItemId;
  /// The first requested position, for ReadResults.
  std::uint64_t FirstPosition = 0;
  /// How long to wait for the next result if there is none yet, for
  /// ReadResults.
  Duration MaxWait{0};
};

/// Converts between the job requests and responses of a deployment's HTTP API
/// and the types of this folder.
class JobCallCodec {
public:
  virtual ~JobCallCodec() = default;

  /// Parses a request concerning an existing job. Returns nothing if \p Request
  /// is of another kind.
  virtual std::optional<JobCall> parseCall(const RawRequest &Request) const = 0;

  /// Parses a submission. Fails with InvalidArgument if it is malformed.
  virtual Result<std::vector<JobItem>>
  parseSubmission(const RawRequest &Request) const = 0;

  /// Formats the response that returns \p Results, the first of which has
  /// position \p First, of a job with \p Total items.
  virtual std::string
  formatResults(std::uint64_t Total, std::uint64_t First,
                const std::vector<ItemResult> &Results) const = 0;

  /// Returns the content type of the responses that formatResults() formats.
  virtual std::string contentType() const = 0;
};

} // namespace turmericpass

#endif
