#ifndef TURMERICPASS_TESTS_FAULTMATRIX_STEPS_H
#define TURMERICPASS_TESTS_FAULTMATRIX_STEPS_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmericpass {

/// The steps of the protocols for durable work. Each write to a store belongs
/// to one of them; the matrix fails on a write that belongs to none.
enum class Step {
  Upload,
  Accept,
  RenewLease,
  Claim,
  Run,
  StoreResults,
  Commit,
  Cancel,
  Expire,
  Reopen,
  Finalize,
  CollectGarbage,
  IntentBegin,
  IntentFinish,
};

enum class Fault {
  CrashBefore,
  CrashAfter,
  /// The process stands still past its lease before the step takes effect.
  PauseBefore,
  /// It stands still after the step took effect and before it learns of it.
  PauseAfter,
  StoreDown,
  StoreSlow,
  ReplyLost,
  /// The reply is lost, and the write takes effect seconds later.
  LateEffect,
  /// The client sends the request again while the first one is under way.
  ClientResends,
  /// Another process acts on the same rows while the write is under way.
  OperatorsRace,
  LateAnswer,
  /// The answer comes under another request's id first.
  CrossedAnswer,
  DuplicateAnswer,
  CutAnswer,
};

std::string_view toName(Step Value);
std::string_view toName(Fault Value);

std::vector<Step> allSteps();
std::vector<Fault> allFaults();

/// Returns the faults that can happen at \p Value; empty for a step that
/// nobody declared faults for, which a test reports.
std::vector<Fault> faultsOf(Step Value);

/// Returns the step that a call to a store belongs to. Reads have none.
std::optional<Step> stepOf(std::string_view Call);

/// True if \p Call is a write.
bool isWrite(std::string_view Call);

} // namespace turmericpass

#endif
