#include "RawHttp/TcpBackendChannels.h"
#include "Support/BrokenAnswers.h"
#include "Support/RunnerBench.h"
#include "Support/ScriptedServer.h"

#include <criterion/criterion.h>

using namespace turmericpass;

namespace {

/// Names the item.
const std::string Echo = "Id: item0\r\n";

const std::string Output = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";

/// A JobRunner whose server has a real socket.
struct SocketBench {
  RunnerBench Runner;
  TcpBackendChannels Sockets{Runner.Loop};
  ScriptedServer Server;

  explicit SocketBench(const std::string &Answer) {
    this->Runner.Channels.Sockets = &this->Sockets;
    this->Server.Answer = Answer;
    this->Runner.Servers.update(
        {"s1", "model", this->Server.Address, "a", 8, false, 1});
  }
  ~SocketBench() { this->Runner.Channels.Sockets = nullptr; }
  SocketBench(const SocketBench &) = delete;
  SocketBench &operator=(const SocketBench &) = delete;

  bool waitFor(const std::function<bool()> &Holds) {
    return runUntil(this->Runner.Loop, [&] {
      this->Server.serve();
      return Holds();
    });
  }
  /// Runs a job of one item, whose second answer is proper. Returns its
  /// results.
  std::vector<ItemResult> runItem() {
    cr_assert(this->Runner.startJob("j", 1));
    cr_assert(this->waitFor([&] { return this->hasEndedFirstRun(); }));
    cr_expect(this->Runner.Runner.owns("j"), "the item has ended");
    this->Server.Next = ScriptedServer::Ending::Close;
    this->Server.Answer = "HTTP/1.1 200 OK\r\n" + Echo +
                          "Content-Type: text/event-stream\r\n"
                          "Content-Length: " +
                          std::to_string(Output.size()) + "\r\n\r\n" + Output;
    cr_assert(this->waitFor([&] {
      this->Runner.Runner.schedule();
      return !this->Runner.Runner.owns("j");
    }));
    return this->Runner.results("j");
  }

private:
  bool hasEndedFirstRun() const {
    if (this->Server.Requests.empty())
      return false;
    const OwnedJob *Job = this->Runner.Runner.find("j");
    return !Job || Job->Items[0].State == ItemState::Pending;
  }
};

} // namespace

// Guards against an item that ends with a broken answer as its result, or as
// failed, and against an output that holds a part of one.
Test(BrokenItemAnswer, ItemRunsAgain) {
  std::vector<BrokenAnswer> Answers = makeAnswersWithBrokenHeads(Echo);
  for (const std::string Start :
       {"HTTP/1.1 600 OK", "HTTP/1.1 200 OK\r\nX Note: a",
        "HTTP/1.1 200 OK\r\nContent-Length : 99"})
    Answers.push_back(
        {Start + " before events", Start + "\r\n" + Echo +
                                       "Content-Type: text/event-stream\r\n"
                                       "\r\nid: 0\ndata: a\n\n"});
  for (const std::string Body :
       {"Transfer-Encoding: chunked\r\n\r\n13\r\n{\"status\":\"queued\"}\r\n"
        "0\r\n\r\n",
        "Content-Length: 11\r\n\r\nevent: odd\n"})
    Answers.push_back({"interim answer with " + Body,
                       "HTTP/1.1 102 Processing\r\n" + Body +
                           "HTTP/1.1 200 OK\r\n" + Echo +
                           "Content-Type: text/event-stream\r\n\r\n" + Output});
  for (const BrokenAnswer &Broken : Answers) {
    SocketBench Bench(Broken.Bytes);
    const std::vector<ItemResult> Results = Bench.runItem();
    cr_assert_eq(Results.size(), 1);
    cr_expect(Results[0].Succeeded, "%s", Broken.Name.c_str());
    cr_expect_str_eq(Results[0].Output.c_str(), "a\nb", "%s",
                     Broken.Name.c_str());
  }
}

// Guards against an output that lacks an event, because its id was not read.
Test(BrokenItemAnswer, EventsWithoutIdsAreNotSkipped) {
  for (const std::string Events :
       {"{\"status\":\"queued\"}id: 0\ndata: a\n\nid: 1\ndata: b\n\n",
        "data: a\n\nid: 1\ndata: b\n\n", "id: 0\ndata: a\n\ndata: b\n\n"}) {
    SocketBench Bench("HTTP/1.1 200 OK\r\n" + Echo +
                      "Content-Type: text/event-stream\r\n\r\n" + Events);
    const std::vector<ItemResult> Results = Bench.runItem();
    cr_assert_eq(Results.size(), 1);
    cr_expect_str_eq(Results[0].Output.c_str(), "a\nb", "%s", Events.c_str());
  }
}

// Guards against an item that fails for good, or has other events as its
// output, because of an answer that is not its own.
Test(BrokenItemAnswer, AnswerThatDoesNotNameTheItemIsNotItsAnswer) {
  const std::string Events = "Content-Type: text/event-stream\r\n\r\n"
                             "id: 0\ndata: x\n\nid: 1\ndata: y\n\n";
  for (const std::string &Answer : std::vector<std::string>{
           "HTTP/1.1 200 OK\r\n" + Events,
           "HTTP/1.1 200 OK\r\n" + Echo + "Id: item1\r\n" + Events,
           "HTTP/1.1 200 OK\r\n" + Echo + "Not-Run: 1\r\n" + Events,
           "HTTP/1.1 422 Unprocessable\r\n\r\n",
           "HTTP/1.1 500 Failed\r\n\r\n"}) {
    SocketBench Bench(Answer);
    Bench.Runner.Settings.Routes[0].MaxAttempts = 1;
    const std::vector<ItemResult> Results = Bench.runItem();
    cr_assert_eq(Results.size(), 1);
    cr_expect(Results[0].Succeeded, "%s", Answer.c_str());
    cr_expect_str_eq(Results[0].Output.c_str(), "a\nb", "%s", Answer.c_str());
  }
}

// Guards against the events before a reset, taken for the whole output of an
// item whose request was still being written.
Test(BrokenItemAnswer, ResetDuringTheUploadIsNotTheEndOfTheOutput) {
  SocketBench Bench("HTTP/1.1 200 OK\r\n" + Echo +
                    "Content-Type: text/event-stream\r\n\r\n"
                    "id: 0\ndata: a\n\n");
  Bench.Server.Next = ScriptedServer::Ending::Reset;
  Bench.Server.RoundsToEnd = 20;
  Bench.Runner.ItemBody.assign(std::size_t{8} << 20U, 'x');
  const std::vector<ItemResult> Results = Bench.runItem();
  cr_assert_eq(Results.size(), 1);
  cr_assert(Results[0].Succeeded);
  cr_assert_str_eq(Results[0].Output.c_str(), "a\nb");
}
