#ifndef TURMERICPASS_NODE_NODEREGISTRY_H
#define TURMERICPASS_NODE_NODEREGISTRY_H

#include "Rows/RowStore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace turmericpass {

class Logger;

/// The rows in the store through which VMs discover each other. Each VM
/// refreshes its own row and removes the expired rows of other VMs.
class NodeRegistry {
public:
  /// \p Address is the address where this VM receives digests, \p Incarnation
  /// is its incarnation, and \p StoreMillis returns the time of the store's
  /// clock.
  NodeRegistry(RowStore &Store, Logger &Log, std::string Address,
               std::string Incarnation,
               std::function<std::int64_t()> StoreMillis);

  /// Processes a changed row of the job table, which also holds the rows of the
  /// VMs. Other rows are ignored.
  void update(const StoredRow &Row);

  /// Writes the row of this VM and removes expired rows of other VMs.
  void refresh();

  /// Returns the addresses of the other VMs whose rows have not expired.
  std::vector<std::string> addresses() const;

private:
  bool isExpired(std::int64_t RefreshedAt) const;

  RowStore &Store;
  Logger &Log;
  std::string Address;
  std::string Incarnation;
  std::function<std::int64_t()> StoreMillis;
  /// The store time at which the last refresh of each address was observed.
  std::map<std::string, std::int64_t> LastRefreshes;
};

} // namespace turmericpass

#endif
