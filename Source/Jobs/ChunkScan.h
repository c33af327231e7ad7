#ifndef TURMERICPASS_JOBS_CHUNKSCAN_H
#define TURMERICPASS_JOBS_CHUNKSCAN_H

#include "Jobs/JobRows.h"

#include <functional>
#include <string>
#include <vector>

namespace turmericpass {

class Table;

/// A chunk row as read from the table.
struct ChunkEntry {
  /// The chunk's name within its job.
  std::string Name;
  std::uint64_t Version = 0;
  ChunkRow Row;
};

using ChunksDone = std::function<void(Result<std::vector<ChunkEntry>>)>;

/// Reads all chunk rows of a job, ordered by name; one read returns up to 1,000
/// rows. Chunks that were never claimed have no row. Errors: those of Table,
/// and Malformed.
void scanChunks(Table &Rows, const std::string &JobId, ChunksDone Done);

} // namespace turmericpass

#endif
