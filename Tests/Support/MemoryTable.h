#ifndef TURMERICPASS_TESTS_SUPPORT_MEMORYTABLE_H
#define TURMERICPASS_TESTS_SUPPORT_MEMORYTABLE_H

#include "Platform/Table.h"
#include "Support/StoreFault.h"

#include <map>
#include <memory>

namespace turmericpass {

/// One process's connection to a table in memory. Connections that are built
/// from each other share the rows and have faults of their own. Calls are
/// answered before they return unless a fault says otherwise.
class MemoryTable : public Table {
public:
  using Content = std::map<std::string, TableRow>;

  MemoryTable() : Rows(std::make_shared<Content>()) {}
  explicit MemoryTable(std::shared_ptr<Content> Rows) : Rows(std::move(Rows)) {}

  StoreFaults Faults;

  const std::shared_ptr<Content> &rows() const { return this->Rows; }

  void transact(TableTransaction Transaction, TransactCallback Done) override {
    ++this->Faults.Writes;
    std::string Name;
    if (!Transaction.Puts.empty())
      Name = Transaction.Puts[0].Key + ' ' + Transaction.Puts[0].Value;
    else if (!Transaction.Deletes.empty())
      Name = Transaction.Deletes[0];
    auto Outcome = std::make_shared<Result<void>>();
    this->Faults.apply(
        "transact " + Name,
        [Rows = this->Rows, Transaction = std::move(Transaction), Outcome] {
          *Outcome = MemoryTable::change(*Rows, Transaction);
        },
        [Outcome, Done = std::move(Done)](std::optional<Error> Fault) {
          Done(Fault ? tl::make_unexpected(*Fault) : *Outcome);
        });
  }

  void get(std::string Key, GetCallback Done) override {
    ++this->Faults.Reads;
    this->Faults.apply(
        "get " + Key, [] {},
        [Rows = this->Rows, Key, Done](std::optional<Error> Fault) {
          if (Fault)
            return Done(tl::make_unexpected(*Fault));
          const auto Found = Rows->find(Key);
          if (Found == Rows->end())
            return Done(failure(ErrorCode::NotFound, "No row " + Key + "."));
          Done(TableRow(Found->second));
        });
  }

  void scan(std::string Prefix, std::string After, std::size_t Limit,
            ScanCallback Done) override {
    ++this->Faults.Reads;
    this->Faults.apply(
        "scan " + Prefix, [] {},
        [Rows = this->Rows, Prefix, After, Limit,
         Done](std::optional<Error> Fault) {
          if (Fault)
            return Done(tl::make_unexpected(*Fault));
          std::vector<TableRow> Found;
          for (auto It = Rows->lower_bound(std::max(Prefix, After));
               It != Rows->end() && It->first.starts_with(Prefix) &&
               Found.size() < Limit;
               ++It)
            if (It->first > After)
              Found.push_back(It->second);
          Done(std::move(Found));
        });
  }

private:
  static Result<void> change(Content &Rows,
                             const TableTransaction &Transaction) {
    for (const TableCheck &Check : Transaction.Checks) {
      const auto Found = Rows.find(Check.Key);
      if ((Found == Rows.end() ? 0 : Found->second.Version) != Check.Version)
        return failure(ErrorCode::Conflict, Check.Key + " has changed.");
    }
    for (const TablePut &Put : Transaction.Puts) {
      TableRow &Row = Rows[Put.Key];
      Row = {Put.Key, Put.Value, Row.Version + 1, Transaction.WriteId};
    }
    for (const std::string &Key : Transaction.Deletes)
      Rows.erase(Key);
    return {};
  }

  std::shared_ptr<Content> Rows;
};

} // namespace turmericpass

#endif
