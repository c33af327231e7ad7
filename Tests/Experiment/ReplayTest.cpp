#include "Replay.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <string_view>

using namespace turmericpass;

namespace {

ReplayResult play(LoadPattern Pattern, std::string_view Policy) {
  FleetSize Size;
  Size.Nodes = 6;
  Size.Servers = 6;
  const auto &All = allPolicies();
  const auto Flags =
      std::find_if(All.begin(), All.end(), [&](const PolicyFlags &Each) {
        return Each.Name == Policy;
      });
  return Replay(makeWorkload(Pattern, Size, 1), Size, *Flags, 1).run();
}

} // namespace

// Guards against a run that cannot be repeated, whose figures would say
// nothing about a change.
Test(Replay, TheSameSeedGivesTheSameFigures) {
  const ReplayResult One = play(LoadPattern::Waves, "turmericpass");
  const ReplayResult Two = play(LoadPattern::Waves, "turmericpass");
  cr_assert_eq(One.OnTime, Two.OnTime);
  cr_assert_eq(One.ItemsOnTime, Two.ItemsOnTime);
  cr_assert_eq(One.Yields, Two.Yields);
}

// Guards against callers that wait behind items although slots come free.
Test(Replay, CallersOfASteadyLoadAreOnTimeBesideItems) {
  const ReplayResult Got = play(LoadPattern::Steady, "turmericpass");
  cr_assert_geq(Got.callerWorth(), 0.99, "%f", Got.callerWorth());
  cr_assert_geq(Got.itemWorth(), 0.9, "%f", Got.itemWorth());
}

// Guards against waves of callers that keep waiting for slots that items hold.
Test(Replay, ItemsThatGiveWayKeepWavesOnTime) {
  const ReplayResult Product = play(LoadPattern::Waves, "turmericpass");
  const ReplayResult Keeping = play(LoadPattern::Waves, "items-keep-slots");
  cr_assert_gt(Product.callerWorth(), Keeping.callerWorth());
}

// Guards against a backlog in which every item is begun and late: the order of
// items must list more of them on time than their order of age does.
Test(Replay, ABacklogIsWorkedOffInTheOrderOfWhatIsLeft) {
  const ReplayResult Product = play(LoadPattern::Backlog, "turmericpass");
  const ReplayResult ByAge = play(LoadPattern::Backlog, "items-by-age");
  cr_assert_gt(Product.itemWorth(), ByAge.itemWorth(), "%f against %f",
               Product.itemWorth(), ByAge.itemWorth());
}

// Guards against a burst that leaves every caller late: those that are told to
// come back must be served better than those that wait.
Test(Replay, BurstsAreServedBetterWithRefusals) {
  const ReplayResult Product = play(LoadPattern::Bursts, "turmericpass");
  const ReplayResult Waiting = play(LoadPattern::Bursts, "no-refusals");
  cr_assert_gt(Product.callerWorth(), Waiting.callerWorth(), "%f against %f",
               Product.callerWorth(), Waiting.callerWorth());
}
