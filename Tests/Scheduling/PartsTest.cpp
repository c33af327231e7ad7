#include "Scheduling/ConcurrencyWindow.h"
#include "Scheduling/PrefixIndex.h"
#include "Support/SchedulerRig.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

// Guards against a new owner that gives a server its full slots while the old
// owner's work still runs there.
Test(Window, StartsSmallAndGrows) {
  ConcurrencyWindow Window(32);
  cr_assert(Window.requests() == 8);
  for (int I = 0; I < 60; ++I)
    Window.firstTokenAfter(20ms);
  cr_assert(Window.requests() == 32);
}

// Guards against a window that stays small because the first sample of a
// server happened to be a quick one.
Test(Window, OneQuickSampleDoesNotHoldItDown) {
  ConcurrencyWindow Window(32);
  Window.firstTokenAfter(2ms);
  for (int I = 0; I < 60; ++I)
    Window.firstTokenAfter(I % 2 == 0 ? 20ms : 40ms);
  cr_assert(Window.requests() == 32);
}

// Guards against work that waits inside the server, where online work cannot
// pass it.
Test(Window, ShrinksAsFirstTokensTakeLonger) {
  ConcurrencyWindow Window(32);
  for (int I = 0; I < 100; ++I)
    Window.firstTokenAfter(20ms);
  for (int I = 0; I < 20; ++I)
    Window.firstTokenAfter(200ms);
  cr_assert(Window.requests() <= 16);
  for (int I = 0; I < 200; ++I)
    Window.firstTokenAfter(20ms);
  cr_assert(Window.requests() == 32);
}

// Guards against a KV cache that overflows, and against repeated cuts for one
// overflow that late reports go on telling of.
Test(Window, TokensFollowTheKvCache) {
  ConcurrencyWindow Window(8);
  const Instant Start(100s);
  Window.handleLoadReport(0.99, 5s, 10000, Start);
  cr_assert(Window.tokens() == 8500);
  Window.handleLoadReport(0.99, 5s, 8000, Start + 1s);
  cr_assert(Window.tokens() == 8500);
  Window.handleLoadReport(0.99, 5s, 8000, Start + 6s);
  cr_assert(Window.tokens() == 6800);
  Window.handleLoadReport(0.5, 5s, 5000, Start + 7s);
  cr_assert(Window.tokens() > 6800);
}

// Guards against token-heavy work that is started beyond the token window.
Test(Window, BoundsTokensInFlight) {
  SchedulerRig Rig(1, 8);
  Rig.warmUp();
  Rig.Sut.handleLoadReport("e00", {0, 0, 0.99, 0});
  for (int I = 0; I < 8; ++I)
    Rig.Fleet.submit(Rig.Fleet.request(std::to_string(I), "check", 20, 300));
  // The least window is 1024 tokens, and each request is 300 and its answer.
  cr_assert(Rig.Fleet.Engines["e00"].Streams.size() == 3);
}

// Guards against a server that is taken for slow because it got long prompts.
Test(SlowServers, LongPromptsAreNoSlowness) {
  SchedulerRig Rig(4, 8);
  for (int I = 0; I < 120; ++I) {
    // Every fourth request has a prompt of 200 ms, at always the same server.
    Submit Work = Rig.Fleet.request(std::to_string(I), "check", 1,
                                    I % 4 == 0 ? 20000 : 32);
    Rig.Fleet.submit(Work);
    Rig.Fleet.advance(I % 4 == 3 ? 300 : 1);
  }
  for (const char *Name : {"e00", "e01", "e02", "e03"})
    cr_assert(Rig.Fleet.Engines[Name].Starts == 30);
  cr_assert(Rig.Fleet.count("marked_slow") == 0);
}

// Guards against prompts that are taken in anew at a server without their
// prefix, and against a crowd at the one server that has it.
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

// Guards against stale beliefs after lost events, and against late events
// that undo newer ones.
Test(Prefix, LateAndMissingEvents) {
  PrefixIndex Index;
  Index.apply("e", {{1, 7, true}, {2, 7, false}, {1, 7, true}});
  cr_assert(Index.depth("e", {7}) == 0);
  Index.apply("e", {{3, 7, true}, {10, 8, true}});
  cr_assert(Index.depth("e", {7}) == 1);
  Index.apply("e", {{20, 9, true}});
  cr_assert(Index.depth("e", {7}) == 0);
  cr_assert(Index.depth("e", {9, 8, 7}) == 2);
}

// Guards against a restarted dispatcher that uses a part of its servers for
// seconds, because batch answers are long and give few samples.
Test(ConcurrencyWindow, ReachesAllSlotsWithinThreeRounds) {
  ConcurrencyWindow Window(8);
  for (int Round = 0; Round < 3; ++Round) {
    const std::uint32_t Started = Window.requests();
    for (std::uint32_t I = 0; I < Started; ++I)
      Window.firstTokenAfter(std::chrono::milliseconds(30));
  }
  cr_assert(Window.requests() == 8);
}
