#ifndef TURMERICPASS_TESTS_SUPPORT_FAKEINTENTLEDGER_H
#define TURMERICPASS_TESTS_SUPPORT_FAKEINTENTLEDGER_H

#include "Jobs/IntentLedger.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace turmericpass {

/// Intent rows in memory, shared by the gateways of a test.
class FakeIntentLedger : public IntentLedger {
public:
  struct Row {
    std::string AttemptId;
    std::string RequestHash;
    std::optional<IntentOutcome> Outcome;
  };

  void begin(const IntentKey &Key, const std::string &AttemptId,
             const std::string &RequestHash, BeginDone Done) override {
    ++this->Begun;
    if (this->Held) {
      this->Waiting.push_back(
          [=, this] { this->beginNow(Key, AttemptId, RequestHash, Done); });
      return;
    }
    this->beginNow(Key, AttemptId, RequestHash, Done);
  }

  void finish(const IntentKey &Key, const std::string &AttemptId,
              IntentOutcome Outcome, FinishDone Done) override {
    const auto Found = this->Rows.find({Key.Customer, Key.IdempotencyKey});
    if (Found != this->Rows.end() && Found->second.AttemptId == AttemptId) {
      if (Outcome.Ran == Execution::NotRun)
        this->Rows.erase(Found);
      else
        Found->second.Outcome = std::move(Outcome);
    }
    if (!this->SilentFinish)
      Done({});
  }

  /// Lets the calls of begin() that were held go on.
  void release() {
    this->Held = false;
    for (const auto &Action : std::exchange(this->Waiting, {}))
      Action();
  }

  std::map<std::pair<std::string, std::string>, Row> Rows;
  bool Down = false;
  bool Held = false;
  /// Whether finish() never reports back.
  bool SilentFinish = false;
  int Begun = 0;

private:
  void beginNow(const IntentKey &Key, const std::string &AttemptId,
                const std::string &RequestHash, const BeginDone &Done) {
    if (this->Down) {
      Done(failure(ErrorCode::Unavailable, "The table is down."));
      return;
    }
    const auto [Found, Won] = this->Rows.try_emplace(
        {Key.Customer, Key.IdempotencyKey}, Row{AttemptId, RequestHash, {}});
    IntentDecision Decision;
    if (Won)
      Decision.Verdict = IntentVerdict::Proceed;
    else if (Found->second.RequestHash != RequestHash)
      Decision.Verdict = IntentVerdict::Mismatch;
    else if (Found->second.Outcome)
      Decision.Verdict = IntentVerdict::Replay;
    if (Found->second.Outcome)
      Decision.Outcome = *Found->second.Outcome;
    Decision.SinceMs = this->SinceMs;
    Done(Decision);
  }

  std::vector<std::function<void()>> Waiting;

public:
  std::int64_t SinceMs = 1'000'000;
};

} // namespace turmericpass

#endif
