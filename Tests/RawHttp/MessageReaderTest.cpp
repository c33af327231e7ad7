#include "RawHttp/MessageReader.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace turmericpass;

namespace {

struct RecordingSink : public MessageSink {
  RawHead Head;
  std::string Body;
  int Messages = 0;
  void onHead(RawHead Read) override { this->Head = std::move(Read); }
  void onBody(std::string_view Bytes) override { this->Body += Bytes; }
  void onMessageComplete() override { ++this->Messages; }
};

constexpr std::size_t HeadBytes = 1024;

} // namespace

// Guards against a parsed head or body that depends on how the bytes were split
// into reads.
Test(MessageReader, PiecesOfAnySizeGiveTheSameRequest) {
  cr_assert(rc::check([] {
    const std::string Bytes = "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nX-Y: 1\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n"
                              "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    RecordingSink Sink;
    MessageReader Reader(MessageReader::Kind::Requests, HeadBytes, Sink);
    for (std::size_t At = 0; At < Bytes.size();) {
      const auto Size = *rc::gen::inRange<std::size_t>(1, 20);
      const std::string_view Piece = std::string_view(Bytes).substr(At, Size);
      const MessageReader::Step Step = Reader.feed(Piece);
      RC_ASSERT(Step.Outcome != ReadOutcome::Invalid);
      RC_ASSERT(Step.Consumed == Piece.size());
      At += Piece.size();
    }
    RC_ASSERT(Sink.Messages == 1);
    RC_ASSERT(Sink.Body == "abcde");
    RC_ASSERT(Sink.Head.Target == "/a/b?c=1");
    RC_ASSERT(Sink.Head.header("x-y") == "1");
  }));
}

// Guards against bytes after an answer being treated as a part of it.
Test(MessageReader, BytesAfterAMessageAreNotLookedAt) {
  RecordingSink Sink;
  MessageReader Reader(MessageReader::Kind::Answers, HeadBytes, Sink);
  const std::string Answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
  const MessageReader::Step Step = Reader.feed(Answer + "HTTP/1.1 500");
  cr_assert_eq(Step.Outcome, ReadOutcome::Complete);
  cr_assert_eq(Step.Consumed, Answer.size());
  cr_assert_str_eq(Sink.Body.c_str(), "ab");
}

// Guards against an answer without a declared length being treated as complete
// while its connection is still open.
Test(MessageReader, AnswerWithoutLengthEndsWithTheStream) {
  RecordingSink Sink;
  MessageReader Reader(MessageReader::Kind::Answers, HeadBytes, Sink);
  cr_assert_eq(Reader.feed("HTTP/1.1 200 OK\r\n\r\nab").Outcome,
               ReadOutcome::Partial);
  cr_assert_eq(Sink.Messages, 0);
  cr_assert_eq(Reader.endOfStream(), ReadOutcome::Complete);
  cr_assert_eq(Sink.Messages, 1);
}

// Guards against a truncated answer being treated as complete.
Test(MessageReader, AnswerShorterThanItsLengthIsNotComplete) {
  RecordingSink Sink;
  MessageReader Reader(MessageReader::Kind::Answers, HeadBytes, Sink);
  Reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
  cr_assert_neq(Reader.endOfStream(), ReadOutcome::Complete);
  cr_assert_eq(Sink.Messages, 0);
}

// Guards against request smuggling: requests whose end two HTTP
// implementations would determine differently.
Test(MessageReader, AmbiguousAndOversizedHeadsAreInvalid) {
  const std::string Bad[] = {
      "POST / HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: "
      "chunked\r\n\r\n0\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
      "GET / HTTP/1.1\r\nX: " + std::string(2 * HeadBytes, 'a') + "\r\n\r\n",
      "nonsense\r\n\r\n"};
  for (const std::string &Bytes : Bad) {
    RecordingSink Sink;
    MessageReader Reader(MessageReader::Kind::Requests, HeadBytes, Sink);
    cr_assert_eq(Reader.feed(Bytes).Outcome, ReadOutcome::Invalid, "%s",
                 Bytes.c_str());
  }
}

// Guards against an interim answer (1xx) being delivered as the final answer.
Test(MessageReader, InterimAnswersAreSkipped) {
  RecordingSink Sink;
  MessageReader Reader(MessageReader::Kind::Answers, HeadBytes, Sink);
  const MessageReader::Step Step =
      Reader.feed("HTTP/1.1 100 Continue\r\nA: 1\r\n\r\n"
                  "HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n");
  cr_assert_eq(Step.Outcome, ReadOutcome::Complete);
  cr_assert_eq(Sink.Head.Status, 201);
  cr_assert(Sink.Head.header("A").empty());
}

// Guards against interim answers without headers that never end, and that a VM
// reads at full speed until the deadline of the request.
Test(MessageReader, InterimAnswersWithoutHeadersAreLimited) {
  RecordingSink Sink;
  MessageReader Reader(MessageReader::Kind::Answers, HeadBytes, Sink);
  std::size_t Read = 0;
  MessageReader::Step Step;
  while (Step.Outcome == ReadOutcome::Partial && Read <= 2 * HeadBytes) {
    Step = Reader.feed("HTTP/1.1 100 Continue\r\n\r\n");
    Read += Step.Consumed;
  }
  cr_assert_eq(Step.Outcome, ReadOutcome::Invalid);
  cr_assert_leq(Read, 2 * HeadBytes);
}

// Guards against a crash on input that is not HTTP.
Test(MessageReader, AnyBytesAreReadWithoutACrash) {
  cr_assert(rc::check([](const std::string &Bytes) {
    RecordingSink Sink;
    MessageReader Reader(MessageReader::Kind::Requests, HeadBytes, Sink);
    Reader.feed(Bytes);
    MessageReader Answers(MessageReader::Kind::Answers, HeadBytes, Sink);
    Answers.feed("HTTP/1.1 200 OK\r\n" + Bytes);
  }));
}

// Guards against valid answers that are rejected as broken.
Test(MessageReader, UnusualValidHeadsOfAnswersAreRead) {
  for (const std::string Head :
       {"HTTP/1.1 200 OK\r\nContent-Length: 2 \r\n\r\n",
        "HTTP/1.1 200\r\nContent-Length:2\r\n\r\n",
        "HTTP/1.0 200 \r\ncontent-length: \t2\r\n\r\n",
        "HTTP/1.1 299 \xc3\xa9\r\nContent-LENGTH: 02\r\n\r\n",
        "HTTP/1.1 599 No\nContent-Length: 2\n\n",
        "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: \xff\t\"\r\nEmpty:\r\n"
        "Content-Length: 2\r\n\r\n",
        "HTTP/1.1 100 \r\n\r\nHTTP/1.1 103 Early\r\nLink: a\r\n\r\n"
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
        "HTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\n"
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"}) {
    RecordingSink Sink;
    MessageReader Reader(MessageReader::Kind::Answers, HeadBytes, Sink);
    const MessageReader::Step Step = Reader.feed(Head + "okHTTP");
    cr_expect(Step.Outcome == ReadOutcome::Complete, "%s", Head.c_str());
    cr_expect_eq(Step.Consumed, Head.size() + 2);
    cr_expect_str_eq(Sink.Body.c_str(), "ok");
  }
  RecordingSink Sink;
  MessageReader Reader(MessageReader::Kind::Answers, HeadBytes, Sink);
  const MessageReader::Step Step =
      Reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked \r\n\r\n"
                  "2\r\nok\r\n0\r\n\r\n");
  cr_expect(Step.Outcome == ReadOutcome::Complete);
  cr_expect_str_eq(Sink.Body.c_str(), "ok");
}

// Guards against waiting for the body of an answer that ends with its head, and
// against taking the next answer for that body.
Test(MessageReader, AnswersWithoutBodyEndWithTheirHead) {
  for (const std::string Head :
       {"HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 8\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n"}) {
    RecordingSink Sink;
    MessageReader Reader(MessageReader::Kind::Answers, HeadBytes, Sink);
    const MessageReader::Step Step = Reader.feed(Head + "HTTP/1.1 200 OK");
    cr_expect(Step.Outcome == ReadOutcome::Complete, "%s", Head.c_str());
    cr_expect_eq(Step.Consumed, Head.size(), "%s", Head.c_str());
    cr_expect(Sink.Body.empty(), "%s", Head.c_str());
  }
}

// Guards against a head with an arbitrary broken byte that is passed on with
// headers that cannot be sent. Plays random bytes at random positions.
Test(MessageReader, HeadersOfAnswersCanBeSent) {
  cr_assert(rc::check([] {
    std::string Bytes = "HTTP/1.1 200 OK\r\nServer-Stamp: a b\r\n"
                        "Content-Length: 2\r\nX-Own: kept\r\n\r\nok";
    const auto Changes = *rc::gen::inRange(1, 4);
    for (int I = 0; I < Changes; ++I)
      Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())] =
          *rc::gen::arbitrary<char>();
    RecordingSink Sink;
    MessageReader Reader(MessageReader::Kind::Answers, HeadBytes, Sink);
    Reader.feed(Bytes);
    RC_ASSERT(Sink.Head.Status == 0 ||
              (Sink.Head.Status >= 200 && Sink.Head.Status < 600));
    for (const auto &[Name, Value] : Sink.Head.Headers)
      RC_ASSERT(isHeaderLine(Name, Value));
  }));
}
