#include "Serving/AnswerMemory.h"
#include "Support/OnlineBench.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

const std::string Piece(std::size_t{64} << 10U, 'x');
constexpr int Pieces = 8;

/// Answers send \p Send with a head that announces \p Bytes.
void announce(OnlineBench &Bench, SendId Send,
              std::uint64_t Bytes = Pieces * Piece.size()) {
  RawHead Head;
  Head.Status = 200;
  Head.ContentLength = Bytes;
  const FakeChannels::Sent &Sent = Bench.Channels.All[Send - 1];
  Head.Headers = {{"Content-Length", std::to_string(*Head.ContentLength)},
                  {Sent.Order.EchoHeader, Sent.Order.EchoValue}};
  Sent.Handler->answerHead(Send, Head);
}

} // namespace

// Checks that the share of an answer shrinks steadily to nothing, so that the
// sum of any number of answers stays near the bound.
Test(AnswerMemory, ShareShrinksWithTheMemoryThatIsLeft) {
  AnswerMemory Memory;
  cr_assert_eq(Memory.shareOfAnswer(AnswerMemory::AmpleBytes),
               AnswerMemory::MaxUnsentBytes);
  std::size_t Before = AnswerMemory::MaxUnsentBytes;
  for (std::size_t Sum = AnswerMemory::AmpleBytes;
       Sum <= AnswerMemory::FullBytes; Sum += std::size_t{1} << 20U) {
    cr_assert_leq(Memory.shareOfAnswer(Sum), Before);
    cr_assert_eq(Memory.isFull(Sum), Sum == AnswerMemory::FullBytes);
    Before = Memory.shareOfAnswer(Sum);
  }
  cr_assert_eq(Before, 0);
  cr_assert_eq(Memory.shareOfAnswer(
                   (AnswerMemory::AmpleBytes + AnswerMemory::FullBytes) / 2),
               AnswerMemory::MaxUnsentBytes / 2);
  cr_assert_not(Memory.mustPassOn(AnswerMemory::MaxAnswerBytes, 0));
  cr_assert(Memory.mustPassOn(1, AnswerMemory::FullBytes));
  // The bytes that are held count like those that wait for callers.
  cr_assert(Memory.reserve(0, AnswerMemory::MaxAnswerBytes));
  cr_assert(
      Memory.isFull(AnswerMemory::FullBytes - AnswerMemory::MaxAnswerBytes));
}

// Guards against a memory that many slow callers fill: while much is unsent, an
// answer is passed on as it arrives, with its length, and its server waits.
Test(SlowCallers, AnswerIsPassedOnWhileItArrives) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Idempotent);
  announce(Bench, 1);
  Bench.Channels.body(1, Piece);
  cr_assert_eq(Bench.answer(1).Status, 0);
  Bench.Callers.TotalUnsent = AnswerMemory::FullBytes;
  Bench.Callers.Unsent = Piece.size();
  Bench.Channels.body(1, Piece);
  cr_assert_eq(Bench.answer(1).Status, 200);
  cr_assert_eq(*Bench.answer(1).Length, Pieces * Piece.size());
  cr_assert_eq(Bench.answer(1).Body.size(), 2 * Piece.size());
  cr_assert(Bench.Channels.Paused.contains(1));
  Bench.Callers.TotalUnsent = 0;
  Bench.Callers.Unsent = 0;
  Bench.Online.callerCaughtUp(1);
  cr_assert_not(Bench.Channels.Paused.contains(1));
  for (int Number = 2; Number < Pieces; ++Number)
    Bench.Channels.body(1, Piece);
  cr_assert_not(Bench.Channels.Paused.contains(1));
  cr_assert_not(Bench.answer(1).Complete);
  Bench.Channels.done(1);
  cr_assert(Bench.answer(1).Complete);
  cr_assert_eq(Bench.answer(1).Body.size(), Pieces * Piece.size());
  cr_assert_eq(Bench.Online.openCallCount(), 0);
}

// Guards against joining the answers of two runs, and against an answer that
// looks complete although its server failed.
Test(SlowCallers, AnswerThatIsPassedOnIsNotRepeated) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Idempotent);
  announce(Bench, 1);
  Bench.Callers.TotalUnsent = AnswerMemory::FullBytes;
  Bench.Channels.body(1, Piece);
  Bench.Channels.fail(1, SendFailure::AnswerTruncated);
  cr_assert_eq(Bench.Channels.All.size(), 1);
  cr_assert(Bench.answer(1).Broken);
  cr_assert_not(Bench.answer(1).Complete);
}

// Guards against an answer whose end cannot be told from its server's crash,
// and one beyond its bound, of which the caller would get a part.
Test(SlowCallers, AnswerWithoutAnEndIsKeptUntilItIsComplete) {
  OnlineBench Bench;
  Bench.Callers.TotalUnsent = AnswerMemory::FullBytes;
  Bench.start(1, RequestKind::Idempotent);
  Bench.Channels.head(1, 200);
  Bench.Channels.body(1, Piece);
  cr_assert_eq(Bench.answer(1).Status, 0);
  Bench.Channels.fail(1, SendFailure::AnswerTruncated);
  cr_assert_eq(Bench.Channels.All.size(), 2);
  announce(Bench, 2, AnswerMemory::MaxAnswerBytes + 1);
  cr_assert(Bench.Channels.Cancelled.contains(2));
  cr_assert_eq(Bench.answer(1).Status, 502);
  cr_assert(Bench.answer(1).Complete);
  cr_assert_lt(Bench.answer(1).Body.size(), Piece.size());
}

// Guards against servers that cut off an answer that stays unread for some
// seconds: a piece of a paused answer is read every second, unless the memory
// is full.
Test(SlowCallers, PausedAnswerIsReadALittleAtATime) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::Idempotent);
  announce(Bench, 1);
  Bench.Callers.TotalUnsent = AnswerMemory::FullBytes;
  Bench.Callers.Unsent = Piece.size();
  Bench.Channels.body(1, Piece);
  cr_assert(Bench.Channels.Paused.contains(1));
  runFor(Bench.Loop, 1300ms);
  cr_assert(Bench.Channels.Paused.contains(1));
  Bench.Callers.TotalUnsent = AnswerMemory::FullBytes - 1;
  cr_assert(
      runUntil(Bench.Loop, [&] { return !Bench.Channels.Paused.contains(1); }));
  Bench.Channels.body(1, Piece);
  cr_assert(Bench.Channels.Paused.contains(1));
  cr_assert_eq(Bench.Channels.All.size(), 1);
}

// Guards against a server that waits for ever for a caller that has left a
// request that is left running.
Test(SlowCallers, ServerGoesOnWhenTheCallerLeaves) {
  OnlineBench Bench;
  Bench.start(1, RequestKind::AtMostOnce);
  announce(Bench, 1);
  Bench.Callers.TotalUnsent = AnswerMemory::FullBytes;
  Bench.Callers.Unsent = Piece.size();
  Bench.Channels.body(1, Piece);
  cr_assert(Bench.Channels.Paused.contains(1));
  Bench.Online.callerDisconnected(1);
  cr_assert_not(Bench.Channels.Cancelled.contains(1));
  cr_assert_not(Bench.Channels.Paused.contains(1));
}
