#ifndef TURMERICPASS_TESTS_SUPPORT_FAKEWORKLOAD_H
#define TURMERICPASS_TESTS_SUPPORT_FAKEWORKLOAD_H

#include "Support/FakeFleet.h"

#include <random>
#include <string>

namespace turmericpass {

/// Feeds a FakeFleet with online requests at random times, and with batch
/// work that never runs out.
class FakeWorkload {
public:
  explicit FakeWorkload(FakeFleet &Fed) : Fleet(Fed) {}

  double OnlinePerMilli = 0;
  /// The lengths of short online work.
  std::uint32_t Shortest = 20;
  std::uint32_t Longest = 60;
  /// The share of online requests that have LongLength tokens.
  double LongShare = 0;
  std::uint32_t LongLength = 600;
  /// What every online request asks for; 0 for its own length.
  std::uint32_t MaxTokens = 0;
  /// Batch items that are kept queued or running.
  int BatchBacklog = 0;

  void run(int Millis) {
    for (int I = 0; I < Millis; ++I) {
      this->refillBatch();
      int Arrivals =
          std::poisson_distribution<int>(this->OnlinePerMilli)(this->Random);
      while (Arrivals-- > 0)
        this->submitOnline();
      this->Fleet.advance(1);
    }
  }

private:
  void refillBatch() {
    int Open = 0;
    for (auto Id = this->OpenBatch.begin(); Id != this->OpenBatch.end();) {
      if (this->Fleet.Answers[*Id].isDone()) {
        Id = this->OpenBatch.erase(Id);
        continue;
      }
      ++Open;
      ++Id;
    }
    for (; Open < this->BatchBacklog; ++Open) {
      const std::string Id = "batch" + std::to_string(++this->Last);
      this->OpenBatch.insert(Id);
      this->Fleet.submit(
          this->Fleet.request(Id, "batch", this->between(100, 400)));
    }
  }

  void submitOnline() {
    const bool IsLong =
        std::bernoulli_distribution(this->LongShare)(this->Random);
    const std::string Id =
        (IsLong ? "long" : "short") + std::to_string(++this->Last);
    const std::uint32_t Length = this->between(this->Shortest, this->Longest);
    Submit Work =
        this->Fleet.request(Id, "check", IsLong ? this->LongLength : Length);
    if (this->MaxTokens != 0)
      Work.MaxTokens = this->MaxTokens;
    this->Fleet.submit(Work);
  }

  std::uint32_t between(std::uint32_t Low, std::uint32_t High) {
    return std::uniform_int_distribution<std::uint32_t>(Low,
                                                        High)(this->Random);
  }

  FakeFleet &Fleet;
  std::mt19937 Random{11};
  std::set<std::string> OpenBatch;
  int Last = 0;
};

} // namespace turmericpass

#endif
