#include "Serving/CrashCounter.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

/// A request with these parts in its prompt, and one of its own.
CrashSuspects request(int Number, const std::string &Parts) {
  const std::string Name = std::to_string(Number);
  return makeCrashSuspects("/p/" + Name, "body", Parts + ",own" + Name + ":9");
}

struct CounterBench {
  ManualClock Time;
  CrashCounter Crashes{Time};
  std::uint32_t Servers = 0;

  CounterBench() { this->Time.advance(1h); }

  /// Servers crash under different requests with \p Parts.
  void crashUnder(const std::string &Parts, int Count) {
    for (int I = 0; I < Count; ++I) {
      ++this->Servers;
      this->Crashes.addCrash({request(static_cast<int>(this->Servers), Parts)},
                             this->Servers);
    }
  }

  bool isBlocked(const std::string &Parts) const {
    return this->Crashes.isBlocked(request(1000, Parts));
  }

  /// Returns whether a request with \p Parts is tried at this moment.
  bool isTried(const std::string &Parts, bool IsChosen = true) {
    return this->Crashes.startTrial(request(2000, Parts),
                                    [&](std::uint64_t) { return IsChosen; });
  }
};

} // namespace

// Guards against parts that are lost, and against taking a part that belongs to
// one request for a shared one.
Test(CrashSuspects, LastPartIsNotShared) {
  cr_assert_eq(sharedPromptParts("").size(), 0);
  cr_assert_eq(sharedPromptParts("a:5").size(), 0);
  cr_assert_eq(sharedPromptParts("a:5, b:6 ,c:7").size(), 2);
  cr_assert(sharedPromptParts("a:5,b:6,c:7") ==
            sharedPromptParts("a:9, b:1,d:7"));
  cr_assert_eq(sharedPromptParts(",:,a,").size(), 1);
  cr_assert_leq(sharedPromptParts(std::string(100000, ',')).size(), 16);
}

// Guards against servers that crash one after the other under requests that are
// all different, but share a part of their prompts.
Test(CrashCounter, PartOfCrashingRequestsIsBlocked) {
  CounterBench Bench;
  Bench.crashUnder("first:200,bad:50", 3);
  cr_assert(Bench.isBlocked("other:10,bad:50"));
}

// Guards against refusing sound requests that share other parts with those that
// crash servers.
Test(CrashCounter, OtherPartsOfCrashingRequestsAreNotBlocked) {
  CounterBench Bench;
  for (int I = 0; I < 5; ++I) {
    Bench.crashUnder("first:200,bad:50", 1);
    Bench.Crashes.recordSuccess(request(500 + I, "first:200,good:50"));
    Bench.Time.advance(5s);
  }
  cr_assert(Bench.isBlocked("first:200,bad:50"));
  cr_assert_not(Bench.isBlocked("first:200,good:50"));
  cr_assert_not(Bench.isBlocked("first:200"));
}

// Guards against blocking all requests with a part because one of them, which
// is sent again and again, crashes servers.
Test(CrashCounter, EqualRequestsDoNotBlockTheirParts) {
  CounterBench Bench;
  for (std::uint32_t Server = 1; Server <= 5; ++Server)
    Bench.Crashes.addCrash({request(7, "first:200,rare:50")}, Server);
  cr_assert(Bench.Crashes.isBlocked(request(7, "first:200,rare:50")));
  cr_assert_not(Bench.isBlocked("first:200,rare:50"));
}

// Guards against counting one crash once for each request at the server.
Test(CrashCounter, CrashOfOneServerDoesNotBlockAPart) {
  CounterBench Bench;
  std::vector<CrashSuspects> Running;
  Running.reserve(5);
  for (int I = 0; I < 5; ++I)
    Running.push_back(request(I, "first:200,good:50"));
  Bench.Crashes.addCrash(Running, 1);
  cr_assert_not(Bench.isBlocked("first:200,good:50"));
}

// Guards against a VM without connections to the servers that makes all other
// VMs refuse the requests that they serve.
Test(CrashCounter, PartThatRunsHereIsNotBlockedByOtherVms) {
  CounterBench Bench;
  CounterBench CutOff;
  CutOff.crashUnder("first:200", 3);
  Bench.Crashes.recordSuccess(request(1, "first:200"));
  Bench.Time.advance(1s);
  for (const CrashRecord &Record :
       CutOff.Crashes.recordsToShare(CrashCounter::MaxSharedRecords))
    Bench.Crashes.mergeRecord(Record);
  cr_assert_not(Bench.isBlocked("first:200"));
  for (const CrashRecord &Record :
       Bench.Crashes.recordsToShare(CrashCounter::MaxSharedRecords))
    CutOff.Crashes.mergeRecord(Record);
  cr_assert_not(CutOff.isBlocked("first:200"));
}

// Guards against a part that stays blocked after all servers crashed for
// another reason, and against many trials of one that does crash servers.
Test(CrashCounter, BlockedPartIsTriedLessAndLessOften) {
  CounterBench Bench;
  Bench.crashUnder("bad:50", 3);
  int Tried = 0;
  for (int Second = 0; Second < 120; ++Second) {
    cr_assert_not(Bench.isTried("bad:50", false));
    if (Bench.isTried("bad:50")) {
      ++Tried;
      Bench.crashUnder("bad:50", 1);
    }
    Bench.Time.advance(1s);
  }
  cr_assert_eq(Tried, 2);
  cr_assert(Bench.isBlocked("bad:50"));
  Bench.Crashes.recordSuccess(request(3000, "bad:50"));
  cr_assert_not(Bench.isBlocked("bad:50"));
}

// Guards against a trial on each VM: the others learn of it.
Test(CrashCounter, TrialOfAnotherVmIsWaitedFor) {
  CounterBench Bench;
  CounterBench Other;
  Bench.crashUnder("bad:50", 3);
  Bench.Time.advance(10s);
  cr_assert(Bench.isTried("bad:50"));
  for (const CrashRecord &Record :
       Bench.Crashes.recordsToShare(CrashCounter::MaxSharedRecords))
    Other.Crashes.mergeRecord(Record);
  cr_assert(Other.isBlocked("bad:50"));
  cr_assert_not(Other.isTried("bad:50"));
}

// Guards against a block without end.
Test(CrashCounter, OldCrashesBlockNothing) {
  CounterBench Bench;
  Bench.crashUnder("bad:50", 3);
  Bench.Time.advance(CrashCounter::CountLifetime);
  cr_assert_not(Bench.isBlocked("bad:50"));
}
