#include "Node/NodeRegistry.h"

#include "Core/IdSource.h"
#include "Loop/EventLoop.h"
#include "Telemetry/Logger.h"

#include <sstream>
#include <utility>

namespace turmericpass {

namespace {

/// The interval between two refreshes of the row of this VM.
constexpr Duration RefreshPeriod = std::chrono::seconds(20);
/// A row that has not been refreshed for this time belongs to a VM that is
/// gone. A live VM would have to miss three refreshes to reach it.
constexpr Duration RowLifetime = std::chrono::seconds(70);

/// All VMs start at the same time and one part of the store takes 200
/// transactions a second, so the first writes and the retries are spread.
constexpr Duration RetryDelay = std::chrono::milliseconds(500);
constexpr std::uint64_t SpreadMillis = 1000;

/// VMs that start together write their rows at different times, so the list is
/// read again soon.
constexpr Duration SecondReadDelay = std::chrono::seconds(2);

std::string encodeNode(const ListedNode &Node) {
  return std::to_string(Node.Weight) + " " + Node.Zone;
}

bool decodeNode(const StoredRow &Row, ListedNode &Node) {
  std::istringstream In(Row.Value);
  Node.Address = Row.Key;
  return static_cast<bool>(In >> Node.Weight >> Node.Zone);
}

} // namespace

NodeRegistry::NodeRegistry(EventLoop &Loop, RowStore &Store, IdSource &Ids,
                           Logger &Log, ListedNode Self, ListCallback Callback)
    : Loop(Loop), Store(Store), Ids(Ids), Log(Log), Self(std::move(Self)),
      Callback(std::move(Callback)) {}

void NodeRegistry::schedule(Duration Delay) {
  const Duration Spread =
      std::chrono::milliseconds(this->Ids.number() % SpreadMillis);
  this->Loop.after(Delay + Spread, [this] { this->writeOwnRow(); });
}

void NodeRegistry::start() { this->writeOwnRow(); }

void NodeRegistry::writeOwnRow() {
  if (this->Stopped)
    return;
  RowTransaction Change;
  Change.Part = Part;
  Change.Writes = {{Table, this->Self.Address, encodeNode(this->Self)}};
  this->Store.transact(
      std::move(Change), [this](const TransactionResult &Transaction) {
        if (Transaction.Outcome != TransactionOutcome::Committed) {
          this->Log.log(LogLevel::Warning,
                        "Failed to refresh the registry row of this node.",
                        {{"outcome", toName(Transaction.Outcome)},
                         {"detail", Transaction.Detail}});
          this->schedule(RetryDelay);
          return;
        }
        this->readPage("", {});
      });
}

void NodeRegistry::readPage(const std::string &From,
                            std::vector<StoredRow> Rows) {
  RowRange Range;
  Range.Table = Table;
  Range.Part = Part;
  Range.From = From;
  this->Store.read(std::move(Range), [this, Rows = std::move(Rows)](
                                         Result<RowPage> Page) mutable {
    if (!Page) {
      this->Log.log(LogLevel::Warning, "Failed to read the list of nodes.",
                    {{"reason", Page.error().Message}});
      this->schedule(RetryDelay);
      return;
    }
    std::move(Page->Rows.begin(), Page->Rows.end(), std::back_inserter(Rows));
    if (Page->Truncated && !Rows.empty()) {
      const std::string Next = Rows.back().Key + '\x01';
      this->readPage(Next, std::move(Rows));
      return;
    }
    const bool IsFirst = !this->Listed;
    this->handleRows(Rows);
    this->schedule(IsFirst ? SecondReadDelay : RefreshPeriod);
  });
}

void NodeRegistry::handleRows(const std::vector<StoredRow> &Rows) {
  const Instant Now = this->Loop.clock().now();
  std::map<std::string, Entry> Current;
  std::vector<ListedNode> Nodes;
  for (const StoredRow &Row : Rows) {
    ListedNode Node;
    if (!decodeNode(Row, Node)) {
      this->Log.log(LogLevel::Warning, "Ignored an invalid registry row.",
                    {{"key", Row.Key}, {"row_version", Row.Version}});
      continue;
    }
    const auto Known = this->Entries.find(Row.Key);
    const Entry Seen =
        Known != this->Entries.end() && Known->second.Version == Row.Version
            ? Known->second
            : Entry{Row.Version, Now};
    if (Now - Seen.SeenAt > RowLifetime) {
      this->removeRow(Row);
      continue;
    }
    Current.emplace(Row.Key, Seen);
    Nodes.push_back(std::move(Node));
  }
  this->Entries = std::move(Current);
  this->Listed = true;
  this->Callback(std::move(Nodes));
}

void NodeRegistry::removeRow(const StoredRow &Row) {
  RowTransaction Change;
  Change.Part = Part;
  // A row that was refreshed in the meantime stays.
  Change.Conditions = {{Table, Row.Key, Row.Version}};
  Change.Removals = {{Table, Row.Key}};
  this->Store.transact(std::move(Change), [](const TransactionResult &) {
    // The next read of the list tries again.
  });
}

} // namespace turmericpass
