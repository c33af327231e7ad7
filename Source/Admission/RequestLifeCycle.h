#ifndef TURMERICPASS_ADMISSION_REQUESTLIFECYCLE_H
#define TURMERICPASS_ADMISSION_REQUESTLIFECYCLE_H

#include "Core/Clock.h"
#include "Wire/Messages.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace turmericpass {

struct LifeCycleLimits {
  /// How long a dispatcher may take to answer a Submit with Accepted.
  Duration AcceptLimit = std::chrono::seconds(1);
  /// How long a request that was given up waits for the dispatchers' verdicts.
  Duration VerdictLimit = std::chrono::seconds(1);
  /// How long a missing piece of an answer is waited for.
  Duration GapLimit = std::chrono::milliseconds(500);
  /// The pause before all dispatchers are asked again.
  Duration RetryPause = std::chrono::milliseconds(200);
  /// How long a request waits while no dispatcher serves its service. It is
  /// longer than the 5 s after which another zone adopts a lost one.
  Duration NoServerTimeout = std::chrono::seconds(8);
  /// How long a dispatcher whose node is not among the live ones may be silent.
  /// A lost VM closes no connection.
  Duration DoubtLimit = std::chrono::seconds(2);
  /// Submissions after a loss, a silence or a cut answer.
  std::uint32_t MaxRepeats = 4;
};

/// Asks the daemon to send a message to a dispatcher.
struct SendToDispatcher {
  std::string Peer;
  Message Body;
};

/// Hands the next tokens of the answer to the caller.
struct DeliverTokens {
  std::vector<std::uint32_t> Ids;
  std::vector<std::string> Texts;
};

/// Ends the request for the caller; the last action of a life cycle.
struct EndRequest {
  Finish Ending;
};

using LifeCycleAction =
    std::variant<SendToDispatcher, DeliverTokens, EndRequest>;

/// What the life cycle asks of its surroundings.
struct LifeCycleCallbacks {
  /// Returns the next dispatcher that is not among those given.
  std::function<std::optional<std::string>(const std::set<std::string> &)>
      Choose;
  /// Takes one resubmission from the budget; false if it is used up.
  std::function<bool()> TakeRepeat;
};

/// One caller's request from its first submission to its one ending. It
/// performs no I/O: events come in, and takeActions() gives what to do.
///
/// Repeatable work goes to the next dispatcher after a refusal, a loss, a
/// silence or a cut answer, and continues after the tokens already received.
/// Other work is submitted once. `not_run` is reported only if each dispatcher
/// that was sent the request said so.
class RequestLifeCycle {
public:
  RequestLifeCycle(Submit Work, Instant Deadline, LifeCycleLimits Limits,
                   LifeCycleCallbacks Ports);

  void start(Instant Now);
  /// \p Now may be left out by users that never call replaceSilentDispatcher().
  void accepted(const std::string &From, const Accepted &Answer,
                Instant Now = {});
  void chunk(const std::string &From, Chunk Piece, Instant Now);
  void finish(const std::string &From, Finish Answer, Instant Now);
  void handlePeerLoss(const std::string &Peer, Instant Now);

  /// Repeatable work leaves its dispatcher if that is among \p Peers, which
  /// are not known to be live, and is silent. Other work goes on, because
  /// unknown is not dead.
  void replaceSilentDispatcher(const std::set<std::string> &Peers, Instant Now);

  /// A Submit could not be queued, so that it never leaves this process.
  void sendFailed(std::uint32_t Attempt, Instant Now);

  /// Withdraws the request; it ends at once, without an answer.
  void callerDeparted();

  /// Acts on the passage of time.
  void tick(Instant Now);

  std::vector<LifeCycleAction> takeActions();

  bool isOver() const { return this->Over; }
  const Submit &work() const { return this->Work; }
  /// The number of submissions that were not refused locally.
  std::uint32_t submissions() const { return this->Submitted; }
  /// Why the last submission did not succeed, as part of a sentence; empty if
  /// nothing went wrong so far.
  const std::string &lastFailure() const { return this->Setback; }
  std::uint64_t tokenCount() const { return this->Tokens.size(); }

private:
  struct Attempt {
    std::string Peer;
    std::uint32_t Number = 0;
    bool Accepted = false;
    bool Cancelled = false;
    Instant Since;
    Instant Heard;
    std::optional<Execution> Verdict;
  };

  Attempt *current();
  Attempt *currentOf(const std::string &From, std::uint32_t Number);
  void submitNext(Instant Now);
  void submitTo(const std::string &Peer, Instant Now);
  void noDispatcher(Instant Now);
  void repeat(Instant Now, const std::string &Why);
  void refused(const Finish &Answer, Instant Now);
  void take(const Chunk &Piece);
  void takeWaiting();
  void checkWhole(Instant Now);
  void markAccepted(Attempt &Entry, Instant Now);
  void giveUp(Finish Reason, Instant Now);
  void cancelOpenAttempts();
  void checkVerdicts(Instant Now);
  Execution execution() const;
  void end(Finish Ending);

  Submit Work;
  Instant Deadline;
  LifeCycleLimits Limits;
  LifeCycleCallbacks Ports;
  std::vector<LifeCycleAction> Actions;
  std::vector<Attempt> Attempts;
  /// Whether the last attempt still counts.
  bool Running = false;
  bool Over = false;
  std::uint32_t Submitted = 0;
  std::uint32_t Repeats = 0;
  std::string Setback;
  std::set<std::string> Tried;
  /// Since when no dispatcher has accepted the request.
  std::optional<Instant> SearchingSince;
  std::optional<Instant> AskAgainAt;
  std::optional<Finish> LastRefusal;
  std::vector<std::uint32_t> Tokens;
  /// Pieces that came before an earlier one.
  std::map<std::uint64_t, Chunk> Waiting;
  /// The good ending of an answer with pieces still missing.
  std::optional<Finish> WholeEnding;
  std::optional<Instant> GapSince;
  /// The ending of a request that was given up, while verdicts are awaited.
  std::optional<Finish> Reason;
  Instant VerdictUntil;
};

} // namespace turmericpass

#endif
