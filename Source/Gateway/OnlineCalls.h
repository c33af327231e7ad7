#ifndef TURMERICPASS_GATEWAY_ONLINECALLS_H
#define TURMERICPASS_GATEWAY_ONLINECALLS_H

#include "Admission/CustomerQuotas.h"
#include "Admission/DispatcherChooser.h"
#include "Admission/RequestLifeCycle.h"
#include "Admission/ResubmissionBudget.h"
#include "Gateway/DecisionRecorder.h"
#include "Gateway/GatewayDependencies.h"
#include "Gateway/OnlineRequest.h"
#include "Gateway/Problem.h"
#include "Http/HttpServer.h"
#include "Jobs/IntentLedger.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace turmericpass {

/// Processes callers' online requests: admits them, records the intents of
/// those that run at most once, exchanges messages with dispatchers and writes
/// the answers.
class OnlineCalls {
public:
  OnlineCalls(GatewayDependencies Dependencies, LifeCycleLimits Limits);
  ~OnlineCalls();
  OnlineCalls(const OnlineCalls &) = delete;
  OnlineCalls &operator=(const OnlineCalls &) = delete;

  /// Applies the current settings and the current set of live nodes.
  void configure();

  /// Admits and starts \p Request. The answer on \p Exchange may be sent before
  /// or after this returns.
  void open(ExchangeId Exchange, OnlineRequest Request);

  /// Handles a message from a dispatcher. Ignores messages of other types.
  void received(const std::string &From, const Message &Body);
  void handlePeerLoss(const std::string &Peer);
  void callerDeparted(ExchangeId Exchange);

  /// Handles timeouts and deadlines that have passed. Called every few
  /// milliseconds.
  void tick();

  std::size_t count() const { return this->Calls.size(); }

  /// Takes one request and \p Tokens from the customer's quota. Answers with a
  /// problem document and returns false if the quota is used up.
  bool takeFromQuota(ExchangeId Exchange, const std::string &Customer,
                     std::uint32_t Tokens, const std::string &RequestId = {});

  /// Answers with \p Value and counts the refusal. Records it in the decision
  /// log if the request has an id.
  void refuse(ExchangeId Exchange, const Problem &Value,
              const std::string &RequestId = {});

private:
  struct OpenCall;

  bool admit(ExchangeId Exchange, const OnlineRequest &Request);
  void beginIntent(OpenCall &Call, const OnlineRequest &Request);
  void handleIntentDecision(const std::string &RequestId,
                            const Result<IntentDecision> &Decision);
  void answerResend(OpenCall &Call, const IntentDecision &Decision);
  void refuseCall(OpenCall &Call, const Problem &Value);
  void startWork(OpenCall &Call);
  LifeCycleCallbacks lifeCycleCallbacks(const Submit &Work);
  OpenCall *find(const std::string &RequestId);

  void perform(OpenCall &Call);
  void performAction(OpenCall &Call, LifeCycleAction Action);
  void send(OpenCall &Call, const SendToDispatcher &Action);
  void deliver(OpenCall &Call, const DeliverTokens &Tokens);
  void settle(OpenCall &Call, const Finish &Ending);
  void answer(const std::string &RequestId);
  void drop(const std::string &RequestId);

  GatewayDependencies Dependencies;
  LifeCycleLimits Limits;
  DecisionRecorder Recorder;
  DispatcherChooser Chooser;
  CustomerQuotas Quotas;
  ResubmissionBudget Resubmissions;
  std::unordered_map<std::string, std::unique_ptr<OpenCall>> Calls;
  std::unordered_map<ExchangeId, std::string> ByExchange;
};

} // namespace turmericpass

#endif
