#include "Loop/EventLoop.h"
#include "RawHttp/MessageReader.h"
#include "RawHttp/TcpBackendChannels.h"
#include "Support/RawPeer.h"
#include "Support/RunUntil.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace turmericpass;

namespace {

/// Reads one request.
struct RequestSink : public MessageSink {
  RawHead Head;
  std::string Body;
  void onHead(RawHead Received) override { this->Head = std::move(Received); }
  void onBody(std::string_view Bytes) override { this->Body += Bytes; }
  void onMessageComplete() override {}
};

struct FailureRecorder : public SendHandler {
  std::optional<SendFailure> Failure;
  void answerHead(SendId, const RawHead &) override {}
  void answerBody(SendId, std::string_view) override {}
  void answerDone(SendId) override {}
  void sendFailed(SendId, SendFailure Why, std::string_view) override {
    this->Failure = Why;
  }
};

RawRequest makeRequest() {
  RawRequest Request;
  Request.Method = "POST";
  Request.Target = "/x";
  Request.Headers = {{"Model", "m"}};
  Request.Body = "body";
  return Request;
}

/// Returns requests of which each has one part that ends the line, or states
/// another length.
std::vector<RawRequest> makeInvalidRequests() {
  std::vector<RawRequest> Invalid;
  for (const std::string &Break :
       std::vector<std::string>{"\r\n", "\n", "\r", std::string(1, '\0')}) {
    Invalid.insert(Invalid.end(), 4, makeRequest());
    const std::string Hidden =
        Break + Break + "POST /hidden HTTP/1.1" + Break + "Id: 1";
    Invalid.end()[-4].Target += Hidden;
    Invalid.end()[-3].Headers[0].first += Hidden;
    Invalid.end()[-2].Headers[0].second += Hidden;
    Invalid.end()[-1].Method += Hidden;
  }
  Invalid.insert(Invalid.end(), 4, makeRequest());
  Invalid.end()[-4].Target = "/x HTTP/1.1";
  Invalid.end()[-3].Headers.emplace_back("Transfer-Encoding", "chunked");
  Invalid.end()[-2].Headers.emplace_back("content-length", "0");
  Invalid.end()[-1].Headers.emplace_back("Transfer-Encoding :", "chunked");
  return Invalid;
}

} // namespace

// Guards against a request that is hidden in a part of the head of another one,
// and that a server runs although nobody has checked it.
Test(RequestHead, NothingOfAnInvalidHeadIsSent) {
  BootClock Time;
  EventLoop Loop(Time);
  RawPeer Listener;
  const std::uint16_t Port = Listener.listen();
  TcpBackendChannels Channels(Loop);
  for (const RawRequest &Each : makeInvalidRequests()) {
    FailureRecorder Recorder;
    BackendRequest Order;
    Order.Address = "127.0.0.1:" + std::to_string(Port);
    Order.Request = Each;
    Channels.send(std::move(Order), Recorder);
    cr_assert_not(Recorder.Failure, "the handler was called within send()");
    cr_assert(runUntil(Loop, [&] { return Recorder.Failure.has_value(); }));
    cr_assert_eq(*Recorder.Failure, SendFailure::NotSent);
  }
  cr_assert_eq(Channels.openedConnections(), 0);
  cr_assert_lt(Listener.accept(), 0);
}

// Guards against callers whose requests cannot be sent on, so that each server
// seems to fail: the parser accepts some characters that may not be sent.
Test(RequestHead, EachRequestThatIsReadCanBeSentOn) {
  const auto Read = [](const std::string &Target, const std::string &Header) {
    RequestSink Sink;
    MessageReader Reader(MessageReader::Kind::Requests, 1 << 16, Sink);
    const ReadOutcome Outcome =
        Reader.feed("GET " + Target + " HTTP/1.1\r\n" + Header + "\r\n\r\n")
            .Outcome;
    const bool IsComplete = Outcome == ReadOutcome::Complete;
    RawRequest Request{Sink.Head.Method, Sink.Head.Target, Sink.Head.Headers,
                       ""};
    cr_assert(!IsComplete || hasValidHead(Request), "%s %s", Target.c_str(),
              Header.c_str());
    return IsComplete;
  };
  cr_assert(Read("/x", "A: b c\td\xc3\xa9"));
  cr_assert(Read("/\xc3\xa9", "A: b"));
  cr_assert_not(Read("/x\ty", "A: b"));
  cr_assert_not(Read("/x", "A b: c"));
  for (int Byte = 0; Byte < 256; ++Byte) {
    const std::string Text =
        "a" + std::string(1, static_cast<char>(Byte)) + "b";
    (void)Read("/" + Text, "A: b");
    (void)Read("/", Text + ": b");
    (void)Read("/", "A: " + Text);
  }
}

// Guards against any bytes in a head that passes the check and is read as
// something else than this one request.
Test(RequestHead, ValidHeadIsReadAsOneRequest) {
  cr_assert(rc::check([] {
    const auto Text =
        rc::gen::container<std::string>(rc::gen::weightedOneOf<char>(
            {{20, rc::gen::inRange('!', '~')},
             {2, rc::gen::element('\r', '\n', '\t', ' ', ':', '\0', '\x7f')},
             {1, rc::gen::arbitrary<char>()}}));
    RawRequest Request = makeRequest();
    for (int Part = 0; Part < 6; ++Part) {
      RawRequest Extended = Request;
      if (Part % 3 == 0)
        Extended.Target += *Text;
      else if (Part % 3 == 1)
        Extended.Headers[0].second += *Text;
      else
        Extended.Headers.emplace_back("X" + *Text, *Text);
      if (hasValidHead(Extended))
        Request = std::move(Extended);
    }
    RequestSink Sink;
    MessageReader Reader(MessageReader::Kind::Requests, 1 << 16, Sink);
    const std::string Bytes = formatRequest(Request);
    const MessageReader::Step Step = Reader.feed(Bytes);
    // A reader may be stricter, but must not find another message.
    if (Step.Outcome == ReadOutcome::Invalid)
      return;
    RC_ASSERT(Step.Outcome == ReadOutcome::Complete);
    RC_ASSERT(Step.Consumed == Bytes.size());
    RC_ASSERT(Sink.Head.Target == Request.Target);
    RC_ASSERT(Sink.Head.Headers.size() == Request.Headers.size() + 1);
    RC_ASSERT(Sink.Body == Request.Body);
  }));
}
