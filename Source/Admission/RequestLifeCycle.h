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
  Duration AcceptTimeout = std::chrono::seconds(1);
  /// How long an abandoned request waits for the dispatchers to report whether
  /// it ran.
  Duration ExecutionReportTimeout = std::chrono::seconds(1);
  /// How long the life cycle waits for a missing piece of an answer.
  Duration GapTimeout = std::chrono::milliseconds(500);
  /// The delay before all dispatchers are tried again.
  Duration RetryDelay = std::chrono::milliseconds(200);
  /// How long a request waits while no dispatcher serves its service. This is
  /// longer than the 5 s after which another zone adopts a lost zone.
  Duration NoServerTimeout = std::chrono::seconds(8);
  /// How long a dispatcher may be silent if its node is not known to be live.
  /// The connection alone does not show the loss of a VM, because a lost VM
  /// does not close its connections.
  Duration UnconfirmedPeerTimeout = std::chrono::seconds(2);
  /// The maximum number of resubmissions after a lost dispatcher, a timeout or
  /// an incomplete answer.
  std::uint32_t MaxResubmissions = 4;
};

/// Sends a message to a dispatcher.
struct SendToDispatcher {
  std::string Peer;
  Message Body;
};

/// Delivers the next tokens of the answer to the caller.
struct DeliverTokens {
  std::vector<std::uint32_t> Ids;
  std::vector<std::string> Texts;
};

/// Ends the request for the caller. This is the last action of a life cycle.
struct EndRequest {
  Finish Ending;
};

using LifeCycleAction =
    std::variant<SendToDispatcher, DeliverTokens, EndRequest>;

/// The functions of the daemon that the life cycle calls.
struct LifeCycleCallbacks {
  /// Returns the next dispatcher that is not in the given set.
  std::function<std::optional<std::string>(const std::set<std::string> &)>
      ChooseDispatcher;
  /// Takes one resubmission from the budget. Returns false if the budget is
  /// exhausted.
  std::function<bool()> TakeResubmission;
};

/// The state machine of one caller's request from the first submission until
/// the request ends. It performs no I/O: the daemon reports events and performs
/// the actions that takeActions() returns.
///
/// A repeatable request is submitted to the next dispatcher after a refusal, a
/// lost dispatcher, a timeout or an incomplete answer, and it continues after
/// the tokens that were already received. Any other request is submitted only
/// once. `not_run` is reported only if every dispatcher that was sent the
/// request reported that it did not run.
class RequestLifeCycle {
public:
  RequestLifeCycle(Submit Work, Instant Deadline, LifeCycleLimits Limits,
                   LifeCycleCallbacks Callbacks);

  void start(Instant Now);
  /// \p Now may be omitted by callers that never call
  /// replaceSilentDispatcher().
  void handleAccepted(const std::string &From, const Accepted &Answer,
                      Instant Now = {});
  void handleChunk(const std::string &From, Chunk Piece, Instant Now);
  void handleFinish(const std::string &From, Finish Answer, Instant Now);
  void handlePeerLoss(const std::string &Peer, Instant Now);

  /// Submits a repeatable request to another dispatcher if its dispatcher is
  /// among \p Peers, which are not known to be live, and has been silent for
  /// too long. Any other request stays with its dispatcher, because a node that
  /// is not known to be live may still be running.
  void replaceSilentDispatcher(const std::set<std::string> &Peers, Instant Now);

  /// Reports that a Submit could not be queued, so that it never left this
  /// process.
  void handleSendFailure(std::uint32_t Attempt, Instant Now);

  /// Cancels the request after the caller disconnected. The request ends
  /// immediately, without an answer.
  void handleCallerDisconnect();

  /// Handles timeouts.
  void tick(Instant Now);

  std::vector<LifeCycleAction> takeActions();

  bool isOver() const { return this->Over; }
  const Submit &work() const { return this->Work; }
  /// Returns the number of submissions that left this process.
  std::uint32_t submissions() const { return this->SubmissionCount; }
  /// Returns why the last submission failed, as part of a sentence; empty if
  /// nothing has failed yet.
  const std::string &lastFailure() const { return this->LastFailure; }
  std::uint64_t tokenCount() const { return this->Tokens.size(); }

private:
  struct Attempt {
    std::string Peer;
    std::uint32_t Number = 0;
    bool Accepted = false;
    bool Cancelled = false;
    Instant SubmittedAt;
    Instant LastHeardAt;
    std::optional<Execution> ReportedExecution;
  };

  Attempt *currentAttempt();
  Attempt *findCurrentAttempt(const std::string &From, std::uint32_t Number);
  void submitNext(Instant Now);
  void submitTo(const std::string &Peer, Instant Now);
  void handleNoDispatcher(Instant Now);
  void resubmit(Instant Now, const std::string &Why);
  void handleRefusal(const Finish &Answer, Instant Now);
  void appendTokens(const Chunk &Piece);
  void appendWaitingPieces();
  void endIfComplete(Instant Now);
  void markAccepted(Attempt &Entry, Instant Now);
  void abandon(Finish Ending, Instant Now);
  void cancelOpenAttempts();
  void endIfExecutionKnown(Instant Now);
  Execution combinedExecution() const;
  void endRequest(Finish Ending);

  Submit Work;
  Instant Deadline;
  LifeCycleLimits Limits;
  LifeCycleCallbacks Callbacks;
  std::vector<LifeCycleAction> Actions;
  std::vector<Attempt> Attempts;
  /// True while the last attempt is in progress.
  bool AttemptIsActive = false;
  bool Over = false;
  std::uint32_t SubmissionCount = 0;
  std::uint32_t ResubmissionCount = 0;
  std::string LastFailure;
  std::set<std::string> TriedPeers;
  /// The time since which no dispatcher has accepted the request.
  std::optional<Instant> UnacceptedSince;
  std::optional<Instant> RetryAt;
  std::optional<Finish> LastRefusal;
  std::vector<std::uint32_t> Tokens;
  /// Pieces that arrived before the pieces that precede them, by offset.
  std::map<std::uint64_t, Chunk> WaitingPieces;
  /// The successful ending of an answer that still lacks pieces.
  std::optional<Finish> SuccessfulEnding;
  std::optional<Instant> GapSince;
  /// The ending of an abandoned request that waits for the dispatchers to
  /// report whether it ran.
  std::optional<Finish> AbandonedEnding;
  Instant ExecutionReportDeadline;
};

} // namespace turmericpass

#endif
