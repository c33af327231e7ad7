#include "Support/SchedulerRig.h"

#include <criterion/criterion.h>

using namespace turmericpass;

namespace {

std::string classOfStart(SchedulerRig &Rig, std::size_t Index) {
  return Rig.Fleet.Starts.at(Index).Work.Class;
}

void submitMany(SchedulerRig &Rig, const std::string &Prefix,
                const std::string &Class, int Count, std::uint32_t Length,
                const std::string &Customer = "c") {
  for (int I = 0; I < Count; ++I) {
    Submit Work = Rig.Fleet.request(Prefix + std::to_string(I), Class, Length);
    Work.Customer = Customer;
    Rig.Fleet.submit(Work);
  }
}

} // namespace

// Guards against work that waits for a class that is configured to wait for it.
Test(Priority, ClassesAreServedByRank) {
  // The ranks differ from the order of the names.
  FleetSettings Settings = fakeSettings(1, 1);
  Settings.Classes["quote"].Rank = 0;
  Settings.Classes["check"].Rank = 1;
  SchedulerRig Rig(Settings);
  submitMany(Rig, "first", "check", 1, 20);
  submitMany(Rig, "b", "batch", 1, 20);
  submitMany(Rig, "c", "check", 1, 20);
  submitMany(Rig, "q", "quote", 1, 20);
  Rig.Fleet.advance(2000);
  cr_assert(classOfStart(Rig, 1) == "quote");
  cr_assert(classOfStart(Rig, 2) == "check");
  cr_assert(classOfStart(Rig, 3) == "batch");
}

// Guards against online work that waits while batch work holds all slots, and
// against preempted batch work that loses its tokens.
Test(Priority, BurstPreemptsBatchAtOnce) {
  SchedulerRig Rig(4, 4);
  Rig.warmUp();
  submitMany(Rig, "b", "batch", 40, 300);
  Rig.Fleet.advance(1500);
  submitMany(Rig, "burst", "check", 16, 20);
  for (int I = 0; I < 16; ++I)
    cr_assert(Rig.Fleet.Answers["burst" + std::to_string(I)].Starts == 1);
  Rig.Fleet.advance(40000);
  for (int I = 0; I < 40; ++I) {
    const FakeAnswer &Answer = Rig.Fleet.Answers["b" + std::to_string(I)];
    cr_assert(Answer.Finishes.size() == 1);
    cr_assert(Answer.Tokens.size() == 300 && !Answer.HasBadOffset);
    cr_assert(Answer.Tokens.back() == 299);
  }
  // No token was generated twice.
  cr_assert(Rig.Fleet.TokensMade == 12 * 16 * 20 + 40 * 300 + 16 * 20);
}

// Guards against preemption of the stream that costs most to resume.
Test(Priority, PreemptsTheStreamWithLeastWorkLost) {
  SchedulerRig Rig(1, 2);
  Rig.warmUp();
  Rig.Fleet.submit(Rig.Fleet.request("much", "batch", 300, 3000));
  Rig.Fleet.submit(Rig.Fleet.request("little", "batch", 300, 10));
  Rig.Fleet.advance(500);
  Rig.Fleet.submit(Rig.Fleet.request("now", "check", 20));
  const auto Preempted =
      std::find_if(Rig.Fleet.Decisions.begin(), Rig.Fleet.Decisions.end(),
                   [](const auto &Each) { return Each.Kind == "preempted"; });
  cr_assert(Preempted != Rig.Fleet.Decisions.end());
  cr_assert(Preempted->RequestId == "little");
}

// Guards against bursts that find no free slot right after other bursts, and
// against a reserve of more than a tenth of the idle slots.
Test(Priority, RecentBurstsSizeTheReserve) {
  SchedulerRig Rig(10, 8);
  Rig.warmUp();
  submitMany(Rig, "burst", "check", 30, 20);
  Rig.Fleet.advance(400);
  submitMany(Rig, "b", "batch", 100, 6000);
  std::size_t BatchStreams = 0;
  for (auto &[Name, Engine] : Rig.Fleet.Engines)
    BatchStreams += Engine.Streams.size();
  cr_assert(BatchStreams < 80 && BatchStreams >= 72);
  const auto PreemptionsBefore = Rig.Fleet.count("preempted");
  submitMany(Rig, "next", "check", static_cast<int>(80 - BatchStreams), 20);
  cr_assert(Rig.Fleet.count("preempted") == PreemptionsBefore);
  // Without bursts, batch work uses the whole fleet.
  Rig.Fleet.advance(40000);
  BatchStreams = 0;
  for (auto &[Name, Engine] : Rig.Fleet.Engines)
    BatchStreams += Engine.Streams.size();
  cr_assert(BatchStreams >= 79);
}

// Guards against a customer whose many requests starve those of other
// customers.
Test(Priority, CustomersOfAClassTakeTurns) {
  SchedulerRig Rig(1, 1);
  submitMany(Rig, "many", "check", 30, 20, "large");
  submitMany(Rig, "few", "check", 5, 20, "small");
  Rig.Fleet.advance(14 * 250);
  int Small = 0;
  for (int I = 0; I < 5; ++I)
    Small += Rig.Fleet.Answers["few" + std::to_string(I)].isDone() ? 1 : 0;
  cr_assert(Small >= 1);
  Rig.Fleet.advance(14 * 250);
  for (int I = 0; I < 5; ++I)
    cr_assert(Rig.Fleet.Answers["few" + std::to_string(I)].isDone());
}

// Guards against long work that takes all slots of its class.
Test(Priority, LongWorkHoldsItsShareOnly) {
  SchedulerRig Rig(2, 8);
  Rig.warmUp();
  submitMany(Rig, "long", "check", 30, 2000);
  std::size_t LongStreams = 0;
  for (auto &[Name, Engine] : Rig.Fleet.Engines) {
    cr_assert(Engine.Streams.size() == 4);
    LongStreams += Engine.Streams.size();
  }
  submitMany(Rig, "short", "check", 8, 20);
  for (int I = 0; I < 8; ++I)
    cr_assert(Rig.Fleet.Answers["short" + std::to_string(I)].Starts == 1);
}

// As above, for servers with one slot, of which no share can be kept free.
Test(Priority, LongWorkHoldsItsShareOfSmallServers) {
  SchedulerRig Rig(4, 1);
  Rig.warmUp();
  submitMany(Rig, "long", "check", 6, 2000);
  submitMany(Rig, "short", "check", 2, 20);
  for (int I = 0; I < 2; ++I)
    cr_assert(Rig.Fleet.Answers["short" + std::to_string(I)].Starts == 1);
}

// Guards against small work that waits behind larger work of its class.
Test(Priority, SmallerWorkPassesLargerWork) {
  SchedulerRig Rig(1, 1);
  submitMany(Rig, "first", "check", 1, 20);
  submitMany(Rig, "large", "check", 1, 400);
  Rig.Fleet.advance(50);
  submitMany(Rig, "small", "check", 1, 20);
  Rig.Fleet.advance(250);
  cr_assert(Rig.Fleet.Answers["small0"].Starts == 1);
  cr_assert(Rig.Fleet.Answers["large0"].Starts == 0);
}

// Guards against starvation of long work by short work.
Test(Priority, LongWorkAges) {
  SchedulerRig Rig(1, 1);
  Rig.warmUp();
  submitMany(Rig, "first", "check", 2, 20);
  Rig.Fleet.submit(Rig.Fleet.request("aged", "check", 500));
  // Slightly more short work arrives than the server can process.
  for (int I = 0; I < 20; ++I) {
    submitMany(Rig, "s" + std::to_string(I), "check", 1, 20);
    Rig.Fleet.advance(200);
  }
  cr_assert(Rig.Fleet.Answers["s3"].Starts == 0);
  cr_assert(Rig.Fleet.Answers["s30"].Starts == 1);
  cr_assert(Rig.Fleet.Answers["aged"].Starts >= 1);
}

// Guards against answers of unknown length that keep short work waiting.
Test(Priority, StragglersAreDemotedAndYield) {
  SchedulerRig Rig(1, 8);
  Rig.warmUp();
  for (int I = 0; I < 8; ++I) {
    Submit Work = Rig.Fleet.request("s" + std::to_string(I), "check", 1000);
    Work.MaxTokens = 0;
    Rig.Fleet.submit(Work);
  }
  Rig.Fleet.advance(1500);
  cr_assert(Rig.Fleet.count("demoted") == 8);
  submitMany(Rig, "short", "check", 4, 20);
  for (int I = 0; I < 4; ++I)
    cr_assert(Rig.Fleet.Answers["short" + std::to_string(I)].Starts == 1);
  Rig.Fleet.advance(30000);
  for (int I = 0; I < 8; ++I) {
    const FakeAnswer &Answer = Rig.Fleet.Answers["s" + std::to_string(I)];
    cr_assert(Answer.Tokens.size() == 1000 && !Answer.HasBadOffset);
  }
}
