#ifndef TURMERICPASS_GATEWAY_ONLINECALLS_H
#define TURMERICPASS_GATEWAY_ONLINECALLS_H

#include "Admission/CustomerQuotas.h"
#include "Admission/DispatcherChooser.h"
#include "Admission/RequestLifeCycle.h"
#include "Admission/ResubmissionBudget.h"
#include "Gateway/CallRecords.h"
#include "Gateway/GatewayPorts.h"
#include "Gateway/OnlineRequest.h"
#include "Gateway/Problem.h"
#include "Http/HttpServer.h"
#include "Jobs/IntentLedger.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace turmericpass {

/// Runs the callers' requests: admits them, wins their intents, exchanges
/// messages with dispatchers and writes the answers.
class OnlineCalls {
public:
  OnlineCalls(GatewayPorts Ports, LifeCycleLimits Limits);
  ~OnlineCalls();
  OnlineCalls(const OnlineCalls &) = delete;
  OnlineCalls &operator=(const OnlineCalls &) = delete;

  /// Takes the fleet as it is now.
  void configure();

  /// Runs \p Request and answers \p Exchange, now or later.
  void open(ExchangeId Exchange, OnlineRequest Request);

  /// Handles a message of a dispatcher. Others are ignored.
  void received(const std::string &From, const Message &Body);
  void handlePeerLoss(const std::string &Peer);
  void callerDeparted(ExchangeId Exchange);

  /// Acts on the passage of time; called every few milliseconds.
  void tick();

  std::size_t count() const { return this->Calls.size(); }

  /// Takes one request and \p Tokens from the customer's quota. Answers with
  /// a problem and returns false if it is used up.
  bool takeRequest(ExchangeId Exchange, const std::string &Customer,
                   std::uint32_t Tokens, const std::string &RequestId = {});

  /// Answers with \p Value and counts it; keeps a record of it if the request
  /// has an id.
  void refuse(ExchangeId Exchange, const Problem &Value,
              const std::string &RequestId = {});

private:
  struct Call;

  bool admit(ExchangeId Exchange, const OnlineRequest &Request);
  void beginIntent(Call &Opened, const OnlineRequest &Request);
  void intentDecided(const std::string &RequestId,
                     const Result<IntentDecision> &Decision);
  void replay(Call &Opened, const IntentDecision &Decision);
  void refuseOpened(Call &Opened, const Problem &Value);
  void startWork(Call &Opened);
  LifeCycleCallbacks lifeCycleCallbacks(const Submit &Work);
  Call *find(const std::string &RequestId);

  void perform(Call &Open);
  void performOne(Call &Open, LifeCycleAction Action);
  void send(Call &Open, const SendToDispatcher &Action);
  void deliver(Call &Open, const DeliverTokens &Fresh);
  void settle(Call &Open, const Finish &Ending);
  void answer(const std::string &RequestId);
  void drop(const std::string &RequestId);

  GatewayPorts Ports;
  LifeCycleLimits Limits;
  CallRecords Records;
  DispatcherChooser Chooser;
  CustomerQuotas Quotas;
  ResubmissionBudget Repeats;
  std::unordered_map<std::string, std::unique_ptr<Call>> Calls;
  std::unordered_map<ExchangeId, std::string> ByExchange;
};

} // namespace turmericpass

#endif
