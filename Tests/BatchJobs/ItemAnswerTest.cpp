#include "Support/RunnerBench.h"

#include <criterion/criterion.h>

using namespace turmericpass;

namespace {

/// Starts an item whose first server breaks off after one event, and waits
/// until the second server has got it.
void breakItem(RunnerBench &Bench) {
  cr_assert(Bench.startJob("j", 1));
  Bench.Channels.head(1, 200, {{"Content-Type", "text/event-stream"}});
  Bench.Channels.body(1, "id: 0\ndata: a\n\n");
  Bench.Channels.fail(1, SendFailure::AnswerTruncated);
  cr_assert(runUntil(Bench.Loop, [&] {
    Bench.Runner.schedule();
    return Bench.Channels.All.size() >= 2 &&
           Bench.Channels.last().Order.Request.Target == "/x";
  }));
}

/// Waits until the item is sent once more, finishes it, and checks that its
/// output is whole.
void checkItemGoesOn(RunnerBench &Bench) {
  cr_assert(Bench.Runner.owns("j"));
  Bench.Servers.recordSuccess("s1");
  const SendId Before = Bench.Channels.last().Id;
  cr_assert(runUntil(Bench.Loop, [&] {
    Bench.Runner.schedule();
    return Bench.Channels.last().Id > Before &&
           Bench.Channels.last().Order.Request.Target == "/x";
  }));
  const SendId Send = Bench.Channels.last().Id;
  Bench.Channels.head(Send, 200, {{"Content-Type", "text/event-stream"}});
  Bench.Channels.body(Send, "id: 1\ndata: b\n\n");
  Bench.Channels.done(Send);
  cr_assert(runUntil(Bench.Loop, [&] { return !Bench.Runner.owns("j"); }));
  cr_assert(Bench.results("j").at(0).Succeeded);
  cr_assert_eq(Bench.results("j").at(0).Output, "a\nb");
}

} // namespace

// Guards against an item whose output is cut and counts as whole, because the
// server that resumed it answered with a text of its own.
Test(ItemAnswer, SuccessThatIsNoStreamIsNoResult) {
  for (const char *Type : {"text/plain", "application/json"}) {
    RunnerBench Bench;
    breakItem(Bench);
    const SendId Send = Bench.Channels.last().Id;
    Bench.Channels.head(Send, 200,
                        {{"Content-Type", Type}, {"Content-Length", "7"}});
    Bench.Channels.body(Send, "error\n\n");
    Bench.Channels.done(Send);
    checkItemGoesOn(Bench);
  }
}

// Guards against the same if the server that resumed the item crashed before
// its first event, in an answer without a length or a type.
Test(ItemAnswer, EmptyAnswerDoesNotEndAResumedItem) {
  for (const bool HasType : {true, false}) {
    RunnerBench Bench;
    breakItem(Bench);
    const SendId Send = Bench.Channels.last().Id;
    HttpHeaders Headers;
    if (HasType)
      Headers = {{"Content-Type", "text/event-stream"}};
    else
      Headers = {{"Content-Length", "0"}};
    Bench.Channels.head(Send, 200, Headers);
    Bench.Channels.done(Send);
    checkItemGoesOn(Bench);
  }
}

// Guards against an item that ends with the head of another answer, which its
// server wrote into the stream. The events before it are kept.
Test(ItemAnswer, TextInsideAStreamIsNoPartOfTheOutput) {
  RunnerBench Bench;
  cr_assert(Bench.startJob("j", 1));
  Bench.Channels.head(1, 200, {{"Content-Type", "text/event-stream"}});
  Bench.Channels.body(1, "id: 0\ndata: a\n\nHTTP/1.1 500 Error\r\n\r\n");
  Bench.Channels.done(1);
  checkItemGoesOn(Bench);
}

// Checks that an item of which only the end was missing is done.
Test(ItemAnswer, EmptyStreamWithALengthEndsAResumedItem) {
  RunnerBench Bench;
  breakItem(Bench);
  const SendId Send = Bench.Channels.last().Id;
  Bench.Channels.head(
      Send, 200,
      {{"Content-Type", "text/event-stream"}, {"Content-Length", "0"}});
  Bench.Channels.done(Send);
  cr_assert(runUntil(Bench.Loop, [&] { return !Bench.Runner.owns("j"); }));
  cr_assert_eq(Bench.results("j").at(0).Output, "a");
}

// Guards against an item whose server sends comments or empty lines without
// end, which are no progress but are read at full speed.
Test(JobRunner, CommentsWithoutEndAreGivenUp) {
  for (const std::string Line : {": comment\n\n", "\n"}) {
    RunnerBench Bench;
    cr_assert(Bench.startJob("j", 1));
    Bench.Channels.head(1, 200, {{"Content-Type", "text/event-stream"}});
    std::string Lines;
    while (Lines.size() < 10'000)
      Lines += Line;
    std::size_t Fed = 0;
    for (;
         Fed < (std::size_t{8} << 20U) && !Bench.Channels.Cancelled.contains(1);
         Fed += Lines.size())
      Bench.Channels.body(1, Lines);
    cr_assert_lt(Fed, std::size_t{1} << 20U);
    cr_assert_gt(Bench.Servers.find("s1")->Failures, 0);
  }
}
