#ifndef TURMERICPASS_JOBS_RESULTASSEMBLY_H
#define TURMERICPASS_JOBS_RESULTASSEMBLY_H

#include "Core/Error.h"

#include <functional>
#include <string>

namespace turmericpass {

class ObjectStore;
class Table;
struct JobRow;

/// Reads the committed results of \p Job as JSON lines in the order of the
/// input. If the job is cancelled or expired, each item without a result gets a
/// line with the error "batch_cancelled" or "batch_expired". Errors:
/// Unavailable, and Internal for a damaged result object.
void assembleResults(Table &Rows, ObjectStore &Objects, const JobRow &Job,
                     std::function<void(Result<std::string>)> Done);

} // namespace turmericpass

#endif
