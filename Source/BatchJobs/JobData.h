#ifndef TURMERICPASS_BATCHJOBS_JOBDATA_H
#define TURMERICPASS_BATCHJOBS_JOBDATA_H

#include "Rows/RowStore.h"

#include <cstdint>
#include <string>
#include <vector>

namespace turmericpass {

/// What the keys of a job's items, results and progress begin with.
std::string itemsPrefix(const std::string &JobId);
std::string resultsPrefix(const std::string &JobId);
std::string progressPrefix(const std::string &JobId);

/// The part of a key that orders results by position and progress by item.
std::string positionKey(std::uint64_t Position);

/// Returns the first key after all keys that begin with \p Prefix.
std::string prefixEnd(std::string Prefix);

/// Cuts \p Value into as many rows of \p Table as it needs, under keys that
/// begin with \p Prefix and in order.
std::vector<RowWrite> splitValue(const std::string &Table,
                                 const std::string &Prefix,
                                 const std::string &Value,
                                 const RowLimits &Limits);

/// Puts values together again that splitValue() cut. The part of a key up to
/// its last slash names a value.
std::vector<std::string> joinValues(const std::vector<StoredRow> &Rows);

/// Adds \p Rows to \p Change if the store takes the whole of it. Returns
/// whether they were added.
bool addIfItFits(RowTransaction &Change, const std::vector<RowWrite> &Rows,
                 const RowLimits &Limits);

} // namespace turmericpass

#endif
