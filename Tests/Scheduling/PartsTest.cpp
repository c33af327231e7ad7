#include "Scheduling/ConcurrencyWindow.h"
#include "Scheduling/PrefixIndex.h"
#include "Support/SchedulerRig.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

// Guards against a new owner that uses all slots of a server while requests of
// the previous owner still run there.
Test(Window, StartsSmallAndGrows) {
  ConcurrencyWindow Window(32);
  cr_assert(Window.requestLimit() == 8);
  for (int I = 0; I < 60; ++I)
    Window.recordFirstToken(20ms);
  cr_assert(Window.requestLimit() == 32);
}

// Guards against a window that stays small because the first sample of a server
// was unusually short.
Test(Window, OneQuickSampleDoesNotHoldItDown) {
  ConcurrencyWindow Window(32);
  Window.recordFirstToken(2ms);
  for (int I = 0; I < 60; ++I)
    Window.recordFirstToken(I % 2 == 0 ? 20ms : 40ms);
  cr_assert(Window.requestLimit() == 32);
}

// Guards against work that waits inside the server, where online work cannot
// overtake it.
Test(Window, ShrinksAsFirstTokensTakeLonger) {
  ConcurrencyWindow Window(32);
  for (int I = 0; I < 100; ++I)
    Window.recordFirstToken(20ms);
  for (int I = 0; I < 20; ++I)
    Window.recordFirstToken(200ms);
  cr_assert(Window.requestLimit() <= 16);
  for (int I = 0; I < 200; ++I)
    Window.recordFirstToken(20ms);
  cr_assert(Window.requestLimit() == 32);
}

// Guards against an overflow of the KV cache, and against repeated cuts of the
// token limit because late reports still show the same overflow.
Test(Window, TokensFollowTheKvCache) {
  ConcurrencyWindow Window(8);
  const Instant Start(100s);
  Window.handleLoadReport(0.99, 5s, 10000, Start);
  cr_assert(Window.tokenLimit() == 8500);
  Window.handleLoadReport(0.99, 5s, 8000, Start + 1s);
  cr_assert(Window.tokenLimit() == 8500);
  Window.handleLoadReport(0.99, 5s, 8000, Start + 6s);
  cr_assert(Window.tokenLimit() == 6800);
  Window.handleLoadReport(0.5, 5s, 5000, Start + 7s);
  cr_assert(Window.tokenLimit() > 6800);
}

// Guards against starting requests with many tokens beyond the token limit.
Test(Window, BoundsTokensInFlight) {
  SchedulerRig Rig(1, 8);
  Rig.warmUp();
  Rig.Sut.handleLoadReport("e00", {0, 0, 0.99, 0});
  for (int I = 0; I < 8; ++I)
    Rig.Fleet.submit(Rig.Fleet.request(std::to_string(I), "check", 20, 300));
  // The token limit is at least 1024 tokens, and each request takes 300 tokens
  // and its answer.
  cr_assert(Rig.Fleet.Engines["e00"].Streams.size() == 3);
}

// Guards against a server that is mistaken for a slow one because it received
// long prompts.
Test(SlowServers, LongPromptsAreNoSlowness) {
  SchedulerRig Rig(4, 8);
  for (int I = 0; I < 120; ++I) {
    // Every fourth request has a prompt that takes 200 ms, always on the same
    // server.
    Submit Work = Rig.Fleet.request(std::to_string(I), "check", 1,
                                    I % 4 == 0 ? 20000 : 32);
    Rig.Fleet.submit(Work);
    Rig.Fleet.advance(I % 4 == 3 ? 300 : 1);
  }
  for (const char *Name : {"e00", "e01", "e02", "e03"})
    cr_assert(Rig.Fleet.Engines[Name].Starts == 30);
  cr_assert(Rig.Fleet.count("marked_slow") == 0);
}

// Guards against prompts that are processed again on a server without their
// prefix, and against overload of the one server that has it.
Test(Prefix, HolderIsPreferredWithBoundedLoad) {
  SchedulerRig Rig(4, 8);
  Rig.warmUp();
  Rig.Sut.handleCacheEvents("e02", {{1, 100, true}, {2, 101, true}});
  const auto Send = [&](const std::string &Id) {
    Submit Work = Rig.Fleet.request(Id, "check", 60);
    Work.PrefixHashes = {100, 101, 102};
    Rig.Fleet.submit(Work);
    return Rig.Fleet.Starts.back().Server;
  };
  cr_assert(Send("first") == "e02");
  int AtHolder = 1;
  for (int I = 0; I < 11; ++I)
    AtHolder += Send(std::to_string(I)) == "e02" ? 1 : 0;
  cr_assert(AtHolder >= 2 && AtHolder <= 5);
}

// Guards against stale entries after lost events, and against late events that
// overwrite newer ones.
Test(Prefix, LateAndMissingEvents) {
  PrefixIndex Index;
  Index.applyEvents("e", {{1, 7, true}, {2, 7, false}, {1, 7, true}});
  cr_assert(Index.cachedPrefixLength("e", {7}) == 0);
  Index.applyEvents("e", {{3, 7, true}, {10, 8, true}});
  cr_assert(Index.cachedPrefixLength("e", {7}) == 1);
  Index.applyEvents("e", {{20, 9, true}});
  cr_assert(Index.cachedPrefixLength("e", {7}) == 0);
  cr_assert(Index.cachedPrefixLength("e", {9, 8, 7}) == 2);
}

// Guards against a restarted dispatcher that uses only part of its servers for
// seconds, because batch answers are long and give few samples.
Test(ConcurrencyWindow, ReachesAllSlotsWithinThreeRounds) {
  ConcurrencyWindow Window(8);
  for (int Round = 0; Round < 3; ++Round) {
    const std::uint32_t RequestCount = Window.requestLimit();
    for (std::uint32_t I = 0; I < RequestCount; ++I)
      Window.recordFirstToken(std::chrono::milliseconds(30));
  }
  cr_assert(Window.requestLimit() == 8);
}
