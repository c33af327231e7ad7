#ifndef TURMERICPASS_JOBS_CHUNKSCAN_H
#define TURMERICPASS_JOBS_CHUNKSCAN_H

#include "Jobs/JobRows.h"

#include <functional>
#include <string>
#include <vector>

namespace turmericpass {

class Table;

/// A chunk row as it stands in the table.
struct ChunkEntry {
  /// The chunk's name within its job.
  std::string Name;
  std::uint64_t Version = 0;
  ChunkRow Row;
};

using ChunksDone = std::function<void(Result<std::vector<ChunkEntry>>)>;

/// Reads the rows of all claimed or done chunks of a job, in order of name.
/// One read serves 1,000 rows. Errors as for Table, and Malformed.
void scanChunks(Table &Rows, const std::string &JobId, ChunksDone Done);

} // namespace turmericpass

#endif
