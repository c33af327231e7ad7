#ifndef TURMERICPASS_TESTS_ADMISSION_LIFECYCLEFIXTURE_H
#define TURMERICPASS_TESTS_ADMISSION_LIFECYCLEFIXTURE_H

#include "Admission/RequestLifeCycle.h"
#include "Core/Clock.h"

#include <criterion/criterion.h>
#include <optional>
#include <string>
#include <vector>

namespace turmericpass {

/// Runs a life cycle with three dispatchers, "a" to "c", and records all of its
/// actions.
class LifeCycleFixture {
public:
  static constexpr Duration Limit = std::chrono::seconds(30);

  explicit LifeCycleFixture(bool Repeatable, bool HasBudget = true)
      : Life(makeWork(Repeatable), Time.now() + Limit, Limits,
             {[this](const std::set<std::string> &Tried) {
                return this->choose(Tried);
              },
              [HasBudget] { return HasBudget; }}) {}

  static Submit makeWork(bool Repeatable) {
    Submit Work;
    Work.RequestId = "r1";
    Work.Repeatable = Repeatable;
    Work.Stream = true;
    return Work;
  }

  void start() {
    this->Life.start(this->Time.now());
    this->collect();
  }

  void advance(Duration By) {
    this->Time.advance(By);
    this->Life.tick(this->Time.now());
    this->collect();
  }

  void acceptLast() {
    this->Life.handleAccepted(this->lastPeer(), {"r1", this->attempt(), {}},
                              this->Time.now());
    this->collect();
  }

  /// Delivers the correct tokens as the attempt \p Attempt of \p Peer sends
  /// them.
  void deliverTokens(const std::string &Peer, std::uint32_t Attempt,
                     std::uint64_t Offset, std::uint64_t Count) {
    this->Life.handleChunk(Peer, makeCorrectChunk(Attempt, Offset, Count),
                           this->Time.now());
    this->collect();
  }

  static Chunk makeCorrectChunk(std::uint32_t Attempt, std::uint64_t Offset,
                                std::uint64_t Count) {
    Chunk Piece{"r1", Attempt, Offset, {}, {}};
    for (std::uint64_t I = Offset; I < Offset + Count; ++I) {
      Piece.TokenIds.push_back(static_cast<std::uint32_t>(1000 + I));
      Piece.Texts.push_back(std::to_string(I) + " ");
    }
    return Piece;
  }

  void finish(const std::string &Peer, std::uint32_t Attempt, FinishCode Code,
              Execution Ran, std::uint64_t Total = 0) {
    Finish Ending;
    Ending.RequestId = "r1";
    Ending.Attempt = Attempt;
    Ending.Code = Code;
    Ending.Ran = Ran;
    Ending.TotalTokens = Total;
    this->Life.handleFinish(Peer, Ending, this->Time.now());
    this->collect();
  }

  void losePeer(const std::string &Peer) {
    this->Life.handlePeerLoss(Peer, this->Time.now());
    this->collect();
  }

  void collect() {
    for (LifeCycleAction &Action : this->Life.takeActions()) {
      // EndRequest must be the last action.
      cr_assert(!this->Ending);
      if (auto *Last = std::get_if<EndRequest>(&Action))
        this->Ending = Last->Ending;
      else if (auto *NewTokens = std::get_if<DeliverTokens>(&Action))
        this->Delivered.insert(this->Delivered.end(), NewTokens->Ids.begin(),
                               NewTokens->Ids.end());
      else if (auto *Outgoing = std::get_if<SendToDispatcher>(&Action))
        this->Sent.push_back(*Outgoing);
    }
  }

  /// Returns whether the delivered tokens are a prefix of the correct answer.
  bool deliveredIsPrefix() const {
    for (std::size_t I = 0; I < this->Delivered.size(); ++I)
      if (this->Delivered[I] != 1000 + I)
        return false;
    return true;
  }

  std::vector<Submit> submissions() const {
    std::vector<Submit> Found;
    for (const SendToDispatcher &Outgoing : this->Sent)
      if (const auto *Body = std::get_if<Submit>(&Outgoing.Body))
        Found.push_back(*Body);
    return Found;
  }

  std::size_t cancels() const {
    return this->Sent.size() - this->submissions().size();
  }

  std::uint32_t attempt() const { return this->submissions().back().Attempt; }

  const std::string &lastPeer() const { return this->Sent.back().Peer; }

  std::optional<std::string> choose(const std::set<std::string> &Tried) {
    for (const std::string &Peer : this->UsablePeers)
      if (!Tried.count(Peer))
        return Peer;
    return std::nullopt;
  }

  ManualClock Time;
  LifeCycleLimits Limits;
  std::vector<std::string> UsablePeers = {"a", "b", "c"};
  RequestLifeCycle Life;
  std::vector<SendToDispatcher> Sent;
  std::vector<std::uint32_t> Delivered;
  std::optional<Finish> Ending;
};

} // namespace turmericpass

#endif
