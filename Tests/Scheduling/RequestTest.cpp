#include "Support/SchedulerRig.h"

#include <criterion/criterion.h>

using namespace turmericpass;

// Guards against an answer that is incomplete, repeated or wrongly numbered.
Test(Requests, WholeAnswerWithOffsets) {
  SchedulerRig Rig(2, 4);
  Rig.Fleet.submit(Rig.Fleet.request("r", "check", 5));
  Rig.Fleet.advance(200);
  const FakeAnswer &Answer = Rig.Fleet.Answers["r"];
  cr_assert(Answer.Accepts == 1);
  cr_assert(Answer.Tokens == std::vector<std::uint32_t>({0, 1, 2, 3, 4}));
  cr_assert(!Answer.HasBadOffset);
  cr_assert(Answer.Finishes.size() == 1);
  cr_assert(Answer.Finishes[0].Code == FinishCode::Ok);
  cr_assert(Answer.Finishes[0].TotalTokens == 5);
  cr_assert(Rig.Sut.isIdle());
}
