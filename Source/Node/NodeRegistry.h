#ifndef TURMERICPASS_NODE_NODEREGISTRY_H
#define TURMERICPASS_NODE_NODEREGISTRY_H

#include "Core/Clock.h"
#include "Node/PeerDirectory.h"
#include "Rows/RowStore.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace turmericpass {

class EventLoop;
class IdSource;
class Logger;

/// The list of VMs in the store. Each VM writes a row with its address and
/// reads the list from time to time, so that VMs find each other. Which VMs are
/// alive is known from their digests.
class NodeRegistry {
public:
  static constexpr const char *Table = "turmericpass-nodes";
  /// The one part of the table.
  static constexpr const char *Part = "nodes";

  using ListCallback = std::function<void(std::vector<ListedNode>)>;

  NodeRegistry(EventLoop &Loop, RowStore &Store, IdSource &Ids, Logger &Log,
               ListedNode Self, ListCallback Callback);

  /// Starts to write and to read rows.
  void start();
  /// Stops writing the row of this VM.
  void stop() { this->Stopped = true; }

  /// Returns whether the list was read at least once.
  bool isListed() const { return this->Listed; }

private:
  struct Entry {
    std::uint64_t Version = 0;
    /// The time at which this VM first saw the version.
    Instant SeenAt;
  };

  void writeOwnRow();
  void readPage(const std::string &From, std::vector<StoredRow> Rows);
  void handleRows(const std::vector<StoredRow> &Rows);
  void removeRow(const StoredRow &Row);
  void schedule(Duration Delay);

  EventLoop &Loop;
  RowStore &Store;
  IdSource &Ids;
  Logger &Log;
  ListedNode Self;
  ListCallback Callback;
  std::map<std::string, Entry> Entries;
  bool Listed = false;
  bool Stopped = false;
};

} // namespace turmericpass

#endif
