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

/// The rows by which VMs find each other in the store. Each VM refreshes its
/// own one and removes those of others that are out of date.
class NodeRegistry {
public:
  /// \p Address is where this VM receives digests, \p Self its incarnation,
  /// and \p StoreMillis gives the store's clock.
  NodeRegistry(RowStore &Store, Logger &Log, std::string Address,
               std::string Self, std::function<std::int64_t()> StoreMillis);

  /// Looks at a row of the table of heads; rows of other kinds are ignored.
  void update(const StoredRow &Row);

  /// Writes this VM's row and removes old ones.
  void refresh();

  /// The addresses of VMs that refreshed their rows lately.
  std::vector<std::string> addresses() const;

private:
  bool isOld(std::int64_t RefreshedAt) const;

  RowStore &Store;
  Logger &Log;
  std::string Address;
  std::string Self;
  std::function<std::int64_t()> StoreMillis;
  /// By address, the store's time at which the last refresh was seen.
  std::map<std::string, std::int64_t> Seen;
};

} // namespace turmericpass

#endif
