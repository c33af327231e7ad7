#include "Node/NodeRegistry.h"

#include "BatchJobs/JobStore.h"
#include "Telemetry/Logger.h"

#include <utility>

namespace turmericpass {

namespace {

constexpr std::string_view KeyPrefix = "node/";

/// A row that was not refreshed for so long belongs to a VM that is gone; a
/// living one misses three refreshes before.
constexpr std::int64_t RowLifeMs = 20'000;

} // namespace

NodeRegistry::NodeRegistry(RowStore &Store, Logger &Log, std::string Address,
                           std::string Self,
                           std::function<std::int64_t()> StoreMillis)
    : Store(Store), Log(Log), Address(std::move(Address)),
      Self(std::move(Self)), StoreMillis(std::move(StoreMillis)) {}

bool NodeRegistry::isOld(std::int64_t RefreshedAt) const {
  return this->StoreMillis() - RefreshedAt > RowLifeMs;
}

void NodeRegistry::update(const StoredRow &Row) {
  if (!Row.Key.starts_with(KeyPrefix))
    return;
  const std::string Other = Row.Key.substr(KeyPrefix.size());
  if (Row.Removed)
    this->Seen.erase(Other);
  else if (Other != this->Address)
    this->Seen[Other] = this->StoreMillis();
}

std::vector<std::string> NodeRegistry::addresses() const {
  std::vector<std::string> Living;
  for (const auto &[Other, RefreshedAt] : this->Seen)
    if (!this->isOld(RefreshedAt))
      Living.push_back(Other);
  return Living;
}

void NodeRegistry::refresh() {
  RowTransaction Change;
  Change.Part = JobStore::Part;
  Change.Writes = {
      {JobStore::JobTable, std::string(KeyPrefix) + this->Address, this->Self}};
  for (auto Each = this->Seen.begin(); Each != this->Seen.end();) {
    const bool Old = this->isOld(Each->second);
    if (Old)
      Change.Removals.push_back(
          {JobStore::JobTable, std::string(KeyPrefix) + Each->first});
    Each = Old ? this->Seen.erase(Each) : std::next(Each);
  }
  this->Store.transact(std::move(Change), [this](TransactionResult Made) {
    if (Made.Outcome != TransactionOutcome::Committed)
      this->Log.log(
          LogLevel::Warning, "This node's row was not refreshed.",
          {{"outcome", toName(Made.Outcome)}, {"detail", Made.Detail}});
  });
}

} // namespace turmericpass
