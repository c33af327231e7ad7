#include "Node/NodeRegistry.h"

#include "BatchJobs/JobStore.h"
#include "Telemetry/Logger.h"

#include <utility>

namespace turmericpass {

namespace {

constexpr std::string_view KeyPrefix = "node/";

/// A row that has not been refreshed for this time belongs to a VM that is
/// gone. A live VM would have to miss three refreshes to reach it.
constexpr std::int64_t RowLifetimeMs = 20'000;

} // namespace

NodeRegistry::NodeRegistry(RowStore &Store, Logger &Log, std::string Address,
                           std::string Incarnation,
                           std::function<std::int64_t()> StoreMillis)
    : Store(Store), Log(Log), Address(std::move(Address)),
      Incarnation(std::move(Incarnation)), StoreMillis(std::move(StoreMillis)) {
}

bool NodeRegistry::isExpired(std::int64_t RefreshedAt) const {
  return this->StoreMillis() - RefreshedAt > RowLifetimeMs;
}

void NodeRegistry::update(const StoredRow &Row) {
  if (!Row.Key.starts_with(KeyPrefix))
    return;
  const std::string Other = Row.Key.substr(KeyPrefix.size());
  if (Row.Removed)
    this->LastRefreshes.erase(Other);
  else if (Other != this->Address)
    this->LastRefreshes[Other] = this->StoreMillis();
}

std::vector<std::string> NodeRegistry::addresses() const {
  std::vector<std::string> Addresses;
  for (const auto &[Other, RefreshedAt] : this->LastRefreshes)
    if (!this->isExpired(RefreshedAt))
      Addresses.push_back(Other);
  return Addresses;
}

void NodeRegistry::refresh() {
  RowTransaction Change;
  Change.Part = JobStore::Part;
  Change.Writes = {{JobStore::JobTable, std::string(KeyPrefix) + this->Address,
                    this->Incarnation}};
  for (auto Entry = this->LastRefreshes.begin();
       Entry != this->LastRefreshes.end();) {
    const bool Expired = this->isExpired(Entry->second);
    if (Expired)
      Change.Removals.push_back(
          {JobStore::JobTable, std::string(KeyPrefix) + Entry->first});
    Entry = Expired ? this->LastRefreshes.erase(Entry) : std::next(Entry);
  }
  this->Store.transact(
      std::move(Change), [this](TransactionResult Transaction) {
        if (Transaction.Outcome != TransactionOutcome::Committed)
          this->Log.log(LogLevel::Warning,
                        "Failed to refresh the registry row of this node.",
                        {{"outcome", toName(Transaction.Outcome)},
                         {"detail", Transaction.Detail}});
      });
}

} // namespace turmericpass
