#ifndef TURMERICPASS_TESTS_SUPPORT_STOREFAULT_H
#define TURMERICPASS_TESTS_SUPPORT_STOREFAULT_H

#include "Core/Error.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace turmericpass {

/// What goes wrong with one call to a store.
enum class StoreFault {
  None,
  /// Refused; nothing is written.
  Unavailable,
  /// Done, but answered with Timeout.
  ReplyLost,
  /// Done and answered only when the test releases it.
  Slow,
  /// Done at once and answered only when the test releases it.
  SlowReply,
  /// Answered with Timeout at once; done when the test releases it.
  LateEffect,
  /// The calling process dies before the store gets the call.
  CrashBefore,
  /// The store does the call, and the caller dies before the reply.
  CrashAfter,
};

/// Decides the fault of each call of one process to one store. The process
/// is dead after a crash: no call of it has an effect or gets an answer.
class StoreFaults {
public:
  /// Names a call, such as "get job/j1" or "transact job/j1 VALUE" with the
  /// first row that is put.
  using Picker = std::function<StoreFault(const std::string &Call)>;

  /// The fault of every call until it is changed.
  StoreFault Always = StoreFault::None;
  /// Asked first; None leaves the call to Next and Always.
  Picker Pick;
  /// The faults of the next calls, in order.
  std::deque<StoreFault> Next;
  bool Dead = false;
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;

  /// Runs \p Effect under the fault of this call; \p Answer gets the error or
  /// std::nullopt for the effect's own outcome.
  void apply(const std::string &Call, std::function<void()> Effect,
             std::function<void(std::optional<Error>)> Answer) {
    if (this->Dead)
      return;
    const Error Lost{ErrorCode::Timeout, "No reply to " + Call + "."};
    switch (this->choose(Call)) {
    case StoreFault::None:
      Effect();
      return Answer(std::nullopt);
    case StoreFault::Unavailable:
      return Answer(Error{ErrorCode::Unavailable, Call + " was refused."});
    case StoreFault::ReplyLost:
      Effect();
      return Answer(Lost);
    case StoreFault::Slow:
      this->Held.push_back(
          [this, Effect = std::move(Effect), Answer = std::move(Answer)] {
            Effect();
            if (!this->Dead)
              Answer(std::nullopt);
          });
      return;
    case StoreFault::SlowReply:
      Effect();
      this->Held.push_back([this, Answer = std::move(Answer)] {
        if (!this->Dead)
          Answer(std::nullopt);
      });
      return;
    case StoreFault::LateEffect:
      this->Held.push_back(std::move(Effect));
      return Answer(Lost);
    case StoreFault::CrashAfter:
      Effect();
      [[fallthrough]];
    case StoreFault::CrashBefore:
      this->Dead = true;
      return;
    }
  }

  std::size_t held() const { return this->Held.size(); }

  /// Does and answers what is held, in order.
  void release() {
    std::deque<std::function<void()>> Calls;
    Calls.swap(this->Held);
    for (const auto &Call : Calls)
      Call();
  }

private:
  StoreFault choose(const std::string &Call) {
    if (this->Pick) {
      const StoreFault Picked = this->Pick(Call);
      if (Picked != StoreFault::None)
        return Picked;
    }
    if (this->Next.empty())
      return this->Always;
    const StoreFault Fault = this->Next.front();
    this->Next.pop_front();
    return Fault;
  }

  std::deque<std::function<void()>> Held;
};

} // namespace turmericpass

#endif
