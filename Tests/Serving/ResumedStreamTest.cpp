#include "Support/OnlineBench.h"

#include <criterion/criterion.h>

using namespace turmericpass;

namespace {

constexpr std::string_view FirstEvent = "id: 0\ndata: a\n\n";

/// Starts a resumable stream whose server breaks off after the first event.
void breakStream(OnlineBench &Bench) {
  Bench.Route.MaxAttempts = 3;
  Bench.start(1, RequestKind::Stream, true);
  Bench.stream(1, FirstEvent);
  Bench.Channels.fail(1, SendFailure::AnswerTruncated);
  cr_assert_eq(Bench.Channels.All.size(), 2);
}

/// Resumes the stream at the third server and checks that the caller got
/// nothing of the second one.
void checkThirdServerResumes(OnlineBench &Bench) {
  cr_assert_eq(Bench.Channels.All.size(), 3);
  cr_assert_not(Bench.answer(1).Broken);
  cr_assert_not(Bench.answer(1).Complete);
  cr_assert_eq(Bench.sentHeader(3, "After"), "0");
  Bench.stream(3, "id: 1\ndata: b\n\n");
  Bench.Channels.done(3);
  cr_assert(Bench.answer(1).Complete);
  cr_assert_eq(Bench.answer(1).Body,
               std::string(FirstEvent) + "id: 1\ndata: b\n\n");
}

} // namespace

// Guards against the text of an error in the middle of a caller's stream, and
// against a stream that ends as complete after it, when the server that is to
// resume the stream answers with an error.
Test(ResumedStream, ErrorOfTheNextServerDoesNotReachTheCaller) {
  for (const int Status : {500, 502, 504}) {
    OnlineBench Bench;
    breakStream(Bench);
    Bench.Channels.head(2, Status, {{"Content-Type", "text/event-stream"}});
    checkThirdServerResumes(Bench);
  }
  for (const int Status : {301, 400, 404, 422}) {
    OnlineBench Bench;
    breakStream(Bench);
    Bench.Channels.head(2, Status, {{"Content-Type", "text/event-stream"}});
    cr_assert(Bench.answer(1).Broken);
    cr_assert_not(Bench.answer(1).Complete);
    cr_assert_eq(Bench.answer(1).Body, FirstEvent);
  }
}

// Guards against the same when the error has a status of success, but is no
// event stream.
Test(ResumedStream, SuccessThatIsNoStreamDoesNotReachTheCaller) {
  for (const char *Type : {"text/plain", "application/json", ""}) {
    OnlineBench Bench;
    breakStream(Bench);
    Bench.Channels.head(2, 200,
                        {{"Content-Type", Type}, {"Content-Length", "7"}});
    Bench.Channels.body(2, "error\n\n");
    checkThirdServerResumes(Bench);
  }
}

// Guards against a stream that ends as complete because the server that is to
// resume it crashes before its first event: an answer without a length ends
// with its connection.
Test(ResumedStream, EmptyAnswerWithoutALengthDoesNotEndTheStream) {
  OnlineBench Bench;
  breakStream(Bench);
  Bench.stream(2, "");
  Bench.Channels.done(2);
  checkThirdServerResumes(Bench);
}

// Checks that a stream of which only the end was missing is complete.
Test(ResumedStream, EmptyAnswerWithALengthEndsTheStream) {
  OnlineBench Bench;
  breakStream(Bench);
  Bench.Channels.head(
      2, 200, {{"Content-Type", "text/event-stream"}, {"Content-Length", "0"}});
  Bench.Channels.done(2);
  cr_assert(Bench.answer(1).Complete);
  cr_assert_eq(Bench.answer(1).Body, FirstEvent);
}

// Guards against text other than events in the middle of a caller's stream: the
// message of an error, or the whole head of another answer, which a server
// writes into a stream without a length. Events before it are not lost.
Test(ResumedStream, TextInsideAStreamDoesNotReachTheCaller) {
  for (const char *Text :
       {"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno\n\n",
        "upstream failed\n\n", "error: out of memory\n\n"}) {
    OnlineBench Bench;
    breakStream(Bench);
    Bench.stream(2, std::string("id: 1\ndata: b\n\n") + Text);
    cr_assert_eq(Bench.Channels.All.size(), 3);
    cr_assert_eq(Bench.sentHeader(3, "After"), "1");
    cr_assert_eq(Bench.answer(1).Body,
                 std::string(FirstEvent) + "id: 1\ndata: b\n\n");
  }
  // A stream that may not be resumed is broken off, also in its first run.
  OnlineBench Bench;
  Bench.start(1, RequestKind::Stream);
  Bench.stream(1, std::string(FirstEvent) + "HTTP/1.1 500 Error\r\n\r\n");
  cr_assert(Bench.answer(1).Broken);
  cr_assert_eq(Bench.answer(1).Body, FirstEvent);
}

// Guards against streams that are broken off for comments, which keep a
// connection alive, and for fields of their events that are not known here.
Test(ResumedStream, CommentsAndOtherFieldsBelongToAStream) {
  OnlineBench Bench;
  breakStream(Bench);
  const std::string Rest =
      ": ping\n\nversion: 7\nid: 1\nevent: token\ndata\n\n";
  Bench.stream(2, Rest);
  Bench.Channels.done(2);
  cr_assert(Bench.answer(1).Complete);
  cr_assert_eq(Bench.answer(1).Body, std::string(FirstEvent) + Rest);
}
