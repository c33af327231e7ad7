#ifndef TURMERICPASS_BATCHJOBS_JOBDATA_H
#define TURMERICPASS_BATCHJOBS_JOBDATA_H

#include "Rows/RowStore.h"

#include <cstdint>
#include <string>
#include <vector>

namespace turmericpass {

/// Return the key prefixes of a job's item, result and progress rows.
std::string itemsPrefix(const std::string &JobId);
std::string resultsPrefix(const std::string &JobId);
std::string progressPrefix(const std::string &JobId);

/// Returns the key component that sorts results by position and progress by
/// item index.
std::string positionKey(std::uint64_t Position);

/// Returns an exclusive upper bound of the keys that begin with \p Prefix.
std::string prefixEnd(std::string Prefix);

/// Splits \p Value into rows of \p Table that respect the size limit of a row.
/// Their keys begin with \p Prefix and sort in the order of the pieces.
std::vector<RowWrite> splitValue(const std::string &Table,
                                 const std::string &Prefix,
                                 const std::string &Value,
                                 const RowLimits &Limits);

/// Reassembles the values that splitValue() split. Rows whose keys are equal up
/// to the last slash belong to the same value.
std::vector<std::string> joinValues(const std::vector<StoredRow> &Rows);

/// Adds \p Rows to \p Change if the transaction stays within \p Limits. Returns
/// whether the rows were added.
bool addRowsIfWithinLimits(RowTransaction &Change,
                           const std::vector<RowWrite> &Rows,
                           const RowLimits &Limits);

} // namespace turmericpass

#endif
