#ifndef TURMERICPASS_TESTS_SUPPORT_SCRIPTEDROWSTORE_H
#define TURMERICPASS_TESTS_SUPPORT_SCRIPTEDROWSTORE_H

#include "Rows/RowStore.h"

#include <deque>
#include <string>

namespace turmericpass {

/// A RowStore whose reads and lists of changes are answered by the test, one
/// after the other.
class ScriptedRowStore : public RowStore {
public:
  struct Call {
    /// Whether the call is a read of rows, or else of changes.
    bool IsRead = false;
    /// The first key of a read.
    std::string From;
    /// The version after which changes are read.
    std::uint64_t After = 0;
    PageCallback Done;
  };
  std::deque<Call> Calls;

  const RowLimits &limits() const override { return this->Limits; }
  void transact(RowTransaction, TransactionCallback) override {}
  void read(RowRange Range, PageCallback Done) override {
    this->Calls.push_back({true, std::move(Range.From), 0, std::move(Done)});
  }
  void changes(std::string, std::uint64_t After, Duration,
               PageCallback Done) override {
    this->Calls.push_back({false, "", After, std::move(Done)});
  }

  /// Answers the oldest open call and returns it.
  Call answer(Result<RowPage> Page) {
    Call Oldest = std::move(this->Calls.front());
    this->Calls.pop_front();
    Oldest.Done(std::move(Page));
    return Oldest;
  }

private:
  RowLimits Limits;
};

} // namespace turmericpass

#endif
