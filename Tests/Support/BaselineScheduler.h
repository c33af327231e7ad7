#ifndef TURMERICPASS_TESTS_SUPPORT_BASELINESCHEDULER_H
#define TURMERICPASS_TESTS_SUPPORT_BASELINESCHEDULER_H

#include "Scheduling/Scheduler.h"
#include "Settings/FleetSettings.h"

#include <deque>
#include <map>
#include <string>
#include <utility>

namespace turmericpass {

/// The policy that measures are compared with: first come, first served, at
/// the server with the least outstanding requests, up to its slots.
class BaselineScheduler : public Scheduler {
public:
  void configure(const FleetSettings &Settings,
                 const std::set<std::string> &Owned) override {
    for (const std::string &Name : Owned)
      this->Free[Name] = Settings.Servers.at(Name).Slots;
  }
  void setLeavingServers(const std::set<std::string> &) override {}
  void addQuarantinedFingerprints(const std::set<std::string> &) override {}
  void submit(const std::string &Peer, Submit Work) override {
    this->Waiting.emplace_back(Peer, std::move(Work));
    this->dispatch();
  }
  void cancel(const std::string &, const Cancel &) override {}
  void handlePeerLoss(const std::string &) override {}
  void handleAttemptTokens(SchedulerAttemptId Id, TokenBatch Tokens) override {
    Run &Each = this->Runs.at(Id);
    Chunk Piece{Each.RequestId, 0, Each.Tokens, Tokens.Ids, Tokens.Texts};
    Each.Tokens += Tokens.Ids.size();
    this->Actions.emplace_back(SendToPeer{Each.Peer, std::move(Piece)});
  }
  void handleAttemptReply(SchedulerAttemptId Id, BackendReply) override {
    const Run Each = this->Runs.at(Id);
    this->Runs.erase(Id);
    ++this->Free[Each.Server];
    Finish Outcome;
    Outcome.RequestId = Each.RequestId;
    this->Actions.emplace_back(SendToPeer{Each.Peer, std::move(Outcome)});
    this->dispatch();
  }
  void handleAttemptFailure(SchedulerAttemptId, const Error &,
                            AttemptProgress) override {}
  void handleLoadReport(const std::string &, const LoadReport &) override {}
  void handleCacheEvents(const std::string &,
                         const std::vector<CacheEvent> &) override {}
  void tick() override {}
  void drain() override {}
  bool isIdle() const override { return this->Runs.empty(); }
  std::vector<SchedulerAction> takeActions() override {
    return std::exchange(this->Actions, {});
  }

private:
  struct Run {
    std::string Peer;
    std::string RequestId;
    std::string Server;
    std::uint64_t Tokens = 0;
  };

  void dispatch() {
    while (!this->Waiting.empty()) {
      const std::string *Best = nullptr;
      for (const auto &[Name, Slots] : this->Free)
        if (Slots > 0 && (Best == nullptr || Slots > this->Free.at(*Best)))
          Best = &Name;
      if (Best == nullptr)
        return;
      auto &[Peer, Work] = this->Waiting.front();
      --this->Free[*Best];
      this->Runs[++this->Last] = {Peer, Work.RequestId, *Best, 0};
      this->Actions.emplace_back(StartAttempt{this->Last, *Best, Work});
      this->Waiting.pop_front();
    }
  }

  std::map<std::string, std::uint32_t> Free;
  std::deque<std::pair<std::string, Submit>> Waiting;
  std::map<SchedulerAttemptId, Run> Runs;
  std::vector<SchedulerAction> Actions;
  SchedulerAttemptId Last = 0;
};

} // namespace turmericpass

#endif
