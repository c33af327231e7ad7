#ifndef TURMERICPASS_TESTS_SUPPORT_MEMORYROWSTORE_H
#define TURMERICPASS_TESTS_SUPPORT_MEMORYROWSTORE_H

#include "Loop/EventLoop.h"
#include "Rows/RowStore.h"

#include <deque>
#include <map>
#include <tuple>

namespace turmericpass {

/// What happens to the next transaction.
enum class RowFault {
  None,
  /// It is made, and its answer is lost.
  AnswerLost,
  /// Its answer is lost, and it is made when applyLate() is called, if its
  /// conditions still hold.
  MadeLate,
  /// The store refuses it.
  Refused,
};

/// A RowStore in memory. Answers come from the loop.
class MemoryRowStore : public RowStore {
public:
  explicit MemoryRowStore(EventLoop &Loop) : Loop(Loop) {}

  /// Faults of the next transactions, in order.
  std::deque<RowFault> Faults;
  /// How much newer the version in an answer is than that of the rows, as when
  /// other transactions were made meanwhile.
  std::uint64_t AnsweredAhead = 0;
  /// The time between a transaction and its answer. The answer has the version
  /// that the store has by then.
  Duration AnswerTime{0};
  /// What the store takes; it answers nothing to a transaction beyond them,
  /// and does not make it.
  RowLimits Limits;
  int Oversized = 0;
  /// Reads fail while it is set.
  bool Away = false;
  /// Reads of parts whose names begin with it fail, unless it is empty.
  std::string AwayParts;
  int Transactions = 0;
  /// The store's clock.
  std::int64_t StoreMillis = 0;

  const RowLimits &limits() const override { return this->Limits; }

  void transact(RowTransaction Change, TransactionCallback Done) override {
    ++this->Transactions;
    if (!this->fits(Change)) {
      ++this->Oversized;
      this->Loop.after(Duration(0),
                       [Done = std::move(Done)] { Done(TransactionResult()); });
      return;
    }
    RowFault Fault = RowFault::None;
    if (!this->Faults.empty()) {
      Fault = this->Faults.front();
      this->Faults.pop_front();
    }
    TransactionResult Answer;
    if (Fault == RowFault::Refused)
      Answer.Outcome = TransactionOutcome::NotDone;
    else if (Fault == RowFault::MadeLate)
      this->Late.push_back(Change);
    else
      Answer = this->apply(Change);
    if (Fault == RowFault::AnswerLost || Fault == RowFault::MadeLate)
      Answer = TransactionResult();
    this->Loop.after(this->AnswerTime, [this, Answer = std::move(Answer),
                                        Done = std::move(Done)]() mutable {
      if (Answer.Outcome == TransactionOutcome::Committed)
        Answer.Version = this->Version;
      Done(std::move(Answer));
    });
  }

  /// Makes the transactions that were held back.
  void applyLate() {
    for (const RowTransaction &Change : std::exchange(this->Late, {}))
      this->apply(Change);
  }

  void read(RowRange Range, PageCallback Done) override {
    Result<RowPage> Page = RowPage();
    if (this->Away ||
        (!this->AwayParts.empty() && Range.Part.starts_with(this->AwayParts)))
      Page = failure(ErrorCode::Unavailable, "The store is away.");
    for (const auto &[Name, Row] : this->Rows) {
      const auto &[Table, Part, Key] = Name;
      if (!Page || Table != Range.Table || Part != Range.Part ||
          Key < Range.From || (!Range.To.empty() && Key >= Range.To))
        continue;
      if (Page->Rows.size() >= Range.Limit) {
        Page->Truncated = true;
        break;
      }
      Page->Rows.push_back(Row);
    }
    if (Page) {
      Page->Version = this->Version;
      Page->StoreMillis = this->StoreMillis;
    }
    this->Loop.after(Duration(0), [Page = std::move(Page),
                                   Done = std::move(Done)] { Done(Page); });
  }

  void changes(std::string, std::uint64_t, Duration, PageCallback) override {}

  /// Writes a row without any condition, as the operator does.
  void put(const std::string &Table, const std::string &Part,
           const std::string &Key, const std::string &Value) {
    this->Rows[{Table, Part, Key}] = {Table,           Part, Key, Value,
                                      ++this->Version, false};
  }

  std::size_t count(const std::string &Table, const std::string &KeyPrefix) {
    std::size_t Found = 0;
    for (const auto &[Name, Row] : this->Rows)
      if (Row.Table == Table && Row.Key.starts_with(KeyPrefix))
        ++Found;
    return Found;
  }

private:
  bool fits(const RowTransaction &Change) const {
    std::size_t Bytes = 0;
    for (const RowWrite &Row : Change.Writes) {
      if (Row.Value.size() > this->Limits.ValueBytes)
        return false;
      Bytes += Row.Value.size();
    }
    return Bytes <= this->Limits.TransactionBytes &&
           Change.Conditions.size() + Change.Writes.size() +
                   Change.Removals.size() <=
               this->Limits.Entries;
  }

  TransactionResult apply(const RowTransaction &Change) {
    TransactionResult Answer;
    bool Holds = true;
    for (const RowCondition &Each : Change.Conditions) {
      const auto Found = this->Rows.find({Each.Table, Change.Part, Each.Key});
      const bool Absent = Found == this->Rows.end();
      if ((Absent ? 0 : Found->second.Version) != Each.Version)
        Holds = false;
      if (!Absent)
        Answer.Current.push_back(Found->second);
    }
    if (!Holds) {
      Answer.Outcome = TransactionOutcome::Conflict;
      return Answer;
    }
    Answer.Current.clear();
    Answer.Outcome = TransactionOutcome::Committed;
    ++this->Version;
    for (const RowWrite &Each : Change.Writes)
      this->Rows[{Each.Table, Change.Part, Each.Key}] = {
          Each.Table, Change.Part, Each.Key, Each.Value, this->Version, false};
    this->Version += this->AnsweredAhead;
    Answer.Version = this->Version;
    for (const RowRemoval &Each : Change.Removals)
      this->Rows.erase({Each.Table, Change.Part, Each.Key});
    return Answer;
  }

  EventLoop &Loop;
  std::map<std::tuple<std::string, std::string, std::string>, StoredRow> Rows;
  std::vector<RowTransaction> Late;
  std::uint64_t Version = 0;
};

} // namespace turmericpass

#endif
