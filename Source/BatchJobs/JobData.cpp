#include "BatchJobs/JobData.h"

#include <algorithm>
#include <cstdio>
#include <string_view>

namespace turmericpass {

namespace {

std::string formatNumber(const char *Format, unsigned long long Number) {
  char Text[24];
  std::snprintf(Text, sizeof(Text), Format, Number);
  return Text;
}

std::size_t totalValueBytes(const std::vector<RowWrite> &Rows) {
  std::size_t Bytes = 0;
  for (const RowWrite &Row : Rows)
    Bytes += Row.Value.size();
  return Bytes;
}

} // namespace

std::string itemsPrefix(const std::string &JobId) {
  return "in/" + JobId + "/";
}

std::string resultsPrefix(const std::string &JobId) {
  return "out/" + JobId + "/";
}

std::string progressPrefix(const std::string &JobId) {
  return "run/" + JobId + "/";
}

std::string positionKey(std::uint64_t Position) {
  return formatNumber("%06llu/", Position);
}

std::string prefixEnd(std::string Prefix) {
  ++Prefix.back();
  return Prefix;
}

std::vector<RowWrite> splitValue(const std::string &Table,
                                 const std::string &Prefix,
                                 const std::string &Value,
                                 const RowLimits &Limits) {
  std::vector<RowWrite> Rows;
  for (std::size_t Offset = 0; Offset < Value.size() || Rows.empty();
       Offset += Limits.ValueBytes)
    Rows.push_back({Table, Prefix + formatNumber("%03llu", Rows.size()),
                    Value.substr(Offset, Limits.ValueBytes)});
  return Rows;
}

std::vector<std::string> joinValues(const std::vector<StoredRow> &Rows) {
  std::vector<std::string> Values;
  std::string_view PreviousName;
  for (const StoredRow &Row : Rows) {
    const std::string_view ValueName =
        std::string_view(Row.Key).substr(0, Row.Key.rfind('/'));
    if (ValueName != PreviousName || Values.empty())
      Values.emplace_back();
    Values.back() += Row.Value;
    PreviousName = ValueName;
  }
  return Values;
}

bool addRowsIfWithinLimits(RowTransaction &Change,
                           const std::vector<RowWrite> &Rows,
                           const RowLimits &Limits) {
  const std::size_t Entries = Change.Conditions.size() + Change.Writes.size() +
                              Change.Removals.size() + Rows.size();
  if (Entries > Limits.Entries ||
      totalValueBytes(Change.Writes) + totalValueBytes(Rows) >
          Limits.TransactionBytes)
    return false;
  Change.Writes.insert(Change.Writes.end(), Rows.begin(), Rows.end());
  return true;
}

} // namespace turmericpass
