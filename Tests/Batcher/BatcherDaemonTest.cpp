#include "Batcher/BatcherDaemon.h"
#include "Control/DecisionLog.h"
#include "Jobs/TableIntentLedger.h"
#include "Jobs/TableJobService.h"
#include "Loop/EventLoop.h"
#include "Support/BatchNode.h"
#include "Support/FakePeerPort.h"
#include "Support/StaticFleet.h"
#include "Telemetry/Logger.h"
#include "Telemetry/Metrics.h"

#include <criterion/criterion.h>

using namespace turmericpass;

namespace {

constexpr const char *PeerA = "127.0.0.1:7101";
constexpr const char *PeerB = "127.0.0.1:7102";

FleetSettings twoDispatchers() {
  FleetSettings Settings;
  Settings.Version = 1;
  for (const char *Zone : {"a", "b"})
    Settings.Zones[Zone] = {Zone, "r"};
  Settings.Nodes["a1"] = {"a1", "a", "127.0.0.1", 0, 0, 7101, 0, 0, 0};
  Settings.Nodes["b1"] = {"b1", "b", "127.0.0.1", 0, 0, 7102, 0, 0, 0};
  Settings.Services["nosing"] = {"nosing", ServiceKind::Model, "m", true, true,
                                 1000};
  Settings.Services["orders"] = {"orders", ServiceKind::Plain, "", false, false,
                                 0};
  for (const char *Zone : {"a", "b"})
    for (const char *Service : {"nosing", "orders"}) {
      const std::string Name = std::string(Service) + Zone;
      Settings.Servers[Name] = {Name, Service, Zone, "127.0.0.1:1", 8};
    }
  return Settings;
}

std::string modelLine(const std::string &Id) {
  return R"({"custom_id":")" + Id +
         R"(","method":"POST","url":"/v1/chat/completions","body":)"
         R"({"model":"m","messages":[{"role":"user","content":"hi"}]}})"
         "\n";
}

std::string orderLine(const std::string &Id) {
  return R"({"custom_id":")" + Id +
         R"(","method":"POST","url":"/services/orders/new","body":{"n":1}})"
         "\n";
}

/// A batcher over stores in memory, with dispatchers that the test plays.
struct Bench {
  Bench()
      : Loop(Shared.Time), Spans(Shared.Time, Ids, "test", "a1", false),
        Records(Shared.Time, 100, 100000), Fleet(twoDispatchers()),
        Intents(Shared.Rows, Shared.Time, Ids),
        Jobs(Shared.Rows, Shared.Objects, Shared.Time, Ids),
        Worker(Shared.Rows, Shared.Objects, Shared.Time, Ids),
        Batcher({Loop, Peers, Shared.Time, Ids, Log, Stats, Spans, Fleet,
                 Records, Worker, Intents, "a"}) {}

  void submit(const std::string &Input) {
    std::string File;
    this->Jobs.putFile("c", "in", Input,
                       [&](const Result<FileRecord> &R) { File = R->Id; });
    this->Jobs.submit(
        {"c", "night", File, "/v1/chat/completions", "k", 3600000},
        [&](const Result<JobRecord> &R) { this->Job = R->Id; });
  }

  /// Lets time pass; every submission is accepted unless \p Silent.
  void run(int Steps, bool Silent = false) {
    for (int I = 0; I < Steps; ++I) {
      for (; !Silent && this->Seen < this->Peers.Out.size(); ++this->Seen) {
        const FakePeerPort::Sent Sent = this->Peers.Out[this->Seen];
        if (const auto *Work = std::get_if<Submit>(&Sent.Body))
          this->Batcher.received(Sent.Peer,
                                 Accepted{Work->RequestId, Work->Attempt, {}});
      }
      this->Shared.Time.advance(std::chrono::milliseconds(100));
      this->Intents.tick();
      this->Batcher.storeTick();
      this->Batcher.tick();
    }
  }

  /// Answers the \p Index-th submission with \p Ending.
  void answer(std::size_t Index, Finish Ending) {
    std::size_t At = 0;
    for (const FakePeerPort::Sent &Sent : this->Peers.Out) {
      const auto *Work = std::get_if<Submit>(&Sent.Body);
      if (!Work || At++ != Index)
        continue;
      Ending.RequestId = Work->RequestId;
      Ending.Attempt = Work->Attempt;
      const std::string Peer = Sent.Peer;
      this->Batcher.received(Peer, Ending);
      return;
    }
    cr_assert(false, "there is no submission %zu", Index);
  }

  std::string results() {
    std::string Text;
    this->Jobs.readFile("c", this->Job + "-output",
                        [&](const Result<std::string> &R) { Text = *R; });
    return Text;
  }

  std::size_t submissions() const { return this->Peers.all<Submit>().size(); }

  BatchPlatform Shared;
  IdSource Ids{5};
  EventLoop Loop;
  FakePeerPort Peers;
  NullLogger Log;
  Metrics Stats;
  Tracer Spans;
  DecisionLog Records;
  StaticFleet Fleet;
  TableIntentLedger Intents;
  TableJobService Jobs;
  BatchWorker Worker;
  BatcherDaemon Batcher;
  std::string Job;
  std::size_t Seen = 0;
};

Finish ended(FinishCode Code, Execution Ran, std::uint32_t Status = 0) {
  Finish Ending;
  Ending.Code = Code;
  Ending.Ran = Ran;
  Ending.Status = Status;
  Ending.Body = "{\"ok\":true}";
  return Ending;
}

} // namespace

// Guards against an answer that is cut, doubled by late pieces or built in
// another format than a direct call gets.
Test(BatcherDaemon, StreamedTokensBecomeTheItemsResult) {
  Bench Desk;
  Desk.submit(modelLine("one"));
  Desk.run(10);
  cr_assert(Desk.submissions() == 1);
  const Submit Work = Desk.Peers.all<Submit>().front();
  cr_assert(Work.Class == "night" && Work.Repeatable && Work.Stream);
  const std::string Peer = Desk.Peers.lastPeer();
  Desk.Batcher.received(Peer, Accepted{Work.RequestId, Work.Attempt, {}});
  const Chunk Piece{Work.RequestId, Work.Attempt, 0, {1, 2}, {"bob", "bin"}};
  Desk.Batcher.received(Peer, Piece);
  Desk.Batcher.received(Peer, Piece);
  Finish Ending = ended(FinishCode::Ok, Execution::Ran, 200);
  Ending.TotalTokens = 2;
  Ending.Reason = "stop";
  Desk.answer(0, Ending);
  Desk.run(20);
  const std::string Text = Desk.results();
  cr_assert(Text.find("\"content\":\"bobbin\"") != std::string::npos);
  cr_assert(Text.find("\"custom_id\":\"one\"") != std::string::npos);
  cr_assert(Desk.Batcher.isIdle());
}

// Guards against a flood of resubmissions to an overloaded dispatcher, and
// against an item that is given up because the fleet is busy.
Test(BatcherDaemon, OverloadIsWaitedOutAndCountsAsNoTry) {
  Bench Desk;
  Desk.submit(modelLine("one"));
  Desk.run(10);
  for (std::size_t I = 0; I < 8; ++I) {
    Finish Busy = ended(FinishCode::Overloaded, Execution::NotRun);
    Busy.RetryAfterMs = 3000;
    const std::size_t Before = Desk.submissions();
    Desk.answer(Before - 1, Busy);
    Desk.run(1);
    if (I % 2 == 1)
      cr_assert(Desk.submissions() <= Before + 1);
    Desk.run(120);
    cr_assert(Desk.submissions() > Before);
  }
}

// Guards against items that hang when a dispatcher dies, and against a lost
// dispatcher that costs repeatable work its result.
Test(BatcherDaemon, RepeatableItemMovesOnWhenItsDispatcherIsLost) {
  Bench Desk;
  Desk.submit(modelLine("one"));
  Desk.run(10);
  const std::string First = Desk.Peers.lastPeer();
  Desk.Batcher.handlePeerLoss(First);
  Desk.run(10);
  cr_assert(Desk.submissions() == 2);
  cr_assert(Desk.Peers.lastPeer() != First);
  cr_assert(First == PeerA || First == PeerB);
}

// Guards against items that wait until their due time for a dispatcher whose VM
// vanished: its connection stays open and it is silent after it accepted.
Test(BatcherDaemon, RepeatableItemLeavesADispatcherOnAVanishedVm) {
  for (const bool Repeatable : {true, false}) {
    Bench Desk;
    Desk.submit(Repeatable ? modelLine("one") : orderLine("one"));
    Desk.run(15);
    cr_assert(Desk.submissions() == 1);
    const std::string First = Desk.Peers.lastPeer();
    Desk.Fleet.Live.erase(First == PeerA ? "a1" : "b1");
    Desk.run(40);
    cr_assert(Desk.submissions() == (Repeatable ? 2 : 1));
    cr_assert(!Repeatable || Desk.Peers.lastPeer() != First);
  }
}

// Guards against items that wait for room which they take up themselves: all
// dispatchers are silent, and later answer again.
Test(BatcherDaemon, SilentDispatcherGetsItsItemsAgain) {
  Bench Desk;
  std::string Input;
  for (int I = 0; I < 20; ++I)
    Input += modelLine("i" + std::to_string(I));
  Desk.submit(Input);
  Desk.run(60, true);
  Desk.run(20);
  const std::size_t Sent = Desk.submissions();
  Desk.answer(Sent - 1, ended(FinishCode::Ok, Execution::Ran, 200));
  cr_assert(Desk.submissions() == Sent + 1);
}

// Guards against a second execution of an item that must not be repeated.
Test(BatcherDaemon, ItemThatMustNotBeRepeatedIsSentOnce) {
  Bench Desk;
  Desk.submit(orderLine("one"));
  Desk.run(10);
  cr_assert(Desk.submissions() == 1);
  cr_assert(!Desk.Peers.all<Submit>().front().Repeatable);
  Desk.Batcher.handlePeerLoss(Desk.Peers.lastPeer());
  Desk.run(400);
  cr_assert(Desk.submissions() == 1);
  cr_assert(Desk.results().find("outcome_unknown") != std::string::npos);
}

// Guards against an item that is refused without having run and yet counts as
// sent, so that it never runs.
Test(BatcherDaemon, RefusedItemThatMustNotBeRepeatedIsSentAgain) {
  Bench Desk;
  Desk.submit(orderLine("one"));
  Desk.run(10);
  Desk.answer(0, ended(FinishCode::Overloaded, Execution::NotRun));
  Desk.run(50);
  cr_assert(Desk.submissions() == 2);
  Desk.answer(1, ended(FinishCode::Ok, Execution::Ran, 201));
  Desk.run(20);
  cr_assert(Desk.results().find("\"status_code\":201") != std::string::npos);
}

// Guards against batch work that starves or floods: the window follows the
// dispatcher's queue.
Test(BatcherDaemon, WindowBoundsTheItemsInFlight) {
  Bench Desk;
  std::string Input;
  for (int I = 0; I < 400; ++I)
    Input += modelLine("i" + std::to_string(I));
  Desk.submit(Input);
  Desk.run(20);
  const std::size_t First = Desk.submissions();
  cr_assert(First == std::size_t{2} * FeedWindow::First);
  for (std::size_t I = 0; I < 200; ++I) {
    Finish Ending = ended(FinishCode::Ok, Execution::Ran, 200);
    Ending.Load.Service = "nosing";
    Ending.Load.QueuedBatch = I < 100 ? 0 : 100;
    Desk.answer(I, Ending);
    if (I % 10 == 9)
      Desk.run(2);
  }
  const std::size_t Running = Desk.Batcher.running();
  cr_assert(Running >= First && Running < 60, "%zu run", Running);
  Desk.Batcher.drain();
  Desk.run(2);
  cr_assert(Desk.Batcher.running() == Running);
}

// Guards against requests that a stopping job still sends, blocked items and
// resubmissions included.
Test(BatcherDaemon, CancelledJobSendsNothingMore) {
  Bench Desk;
  std::string Input;
  for (int I = 0; I < 50; ++I)
    Input += modelLine("i" + std::to_string(I));
  Desk.submit(Input);
  Desk.run(20);
  Desk.Jobs.cancel("c", Desk.Job, [](const Result<JobRecord> &) {});
  Desk.run(10);
  const std::size_t Sent = Desk.submissions();
  cr_assert(Desk.Peers.all<Cancel>().size() == Sent);
  Desk.answer(0, ended(FinishCode::Ok, Execution::Ran, 200));
  Desk.Batcher.handlePeerLoss(PeerA);
  Desk.run(100);
  cr_assert(Desk.submissions() == Sent);
  cr_assert(Desk.Batcher.isIdle());
}

// Guards against `turmericpass explain` that cannot tell what became of a job.
Test(BatcherDaemon, DecisionsAboutAJobAreOnRecord) {
  for (const bool Cancel : {false, true}) {
    Bench Desk;
    Desk.submit(modelLine("one"));
    Desk.run(10);
    if (Cancel)
      Desk.Jobs.cancel("c", Desk.Job, [](const Result<JobRecord> &) {});
    for (std::size_t I = 0; I < 3 && !Cancel; ++I) {
      Desk.answer(I, ended(FinishCode::ServerLost, Execution::Unknown));
      Desk.run(20);
    }
    Desk.run(20);
    std::string Kinds;
    for (const DecisionRecord &Record : Desk.Records.about(Desk.Job))
      Kinds += Record.Kind + " ";
    cr_assert(Kinds == (Cancel ? "claim stop commit " : "claim item commit "),
              "%s", Kinds.c_str());
    cr_assert(
        Cancel ||
        Desk.Records.about(Desk.Peers.all<Submit>()[2].RequestId).size() == 1);
  }
}
