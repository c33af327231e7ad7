#include "RawHttp/TcpBackendChannels.h"
#include "Support/BrokenAnswers.h"
#include "Support/RunUntil.h"
#include "Support/ScriptedServer.h"
#include "platform/PlatformRowStore.h"

#include <criterion/criterion.h>
#include <optional>

using namespace turmericpass;

namespace {

/// A client of the store whose answers the test gives.
struct Bench {
  BootClock Time;
  EventLoop Loop{Time};
  TcpBackendChannels Channels{Loop};
  ScriptedServer Server;
  PlatformRowStore Store{Loop, Channels, Server.Address, 65536};

  template <typename Outcome> Outcome wait(const std::optional<Outcome> &Got) {
    cr_assert(runUntil(this->Loop, [&] {
      this->Server.serve();
      return Got.has_value();
    }));
    return *Got;
  }
  TransactionResult transact(std::size_t ValueBytes = 1) {
    RowTransaction Change;
    Change.Part = "p";
    Change.Writes = {{"t", "k", std::string(ValueBytes, 'x')}};
    std::optional<TransactionResult> Got;
    this->Store.transact(Change,
                         [&](const TransactionResult &Ended) { Got = Ended; });
    return this->wait(Got);
  }
  Result<RowPage> read() {
    std::optional<Result<RowPage>> Got;
    this->Store.read({"t", "p", "", "", 500},
                     [&](const Result<RowPage> &Page) { Got = Page; });
    return this->wait(Got);
  }
  Result<RowPage> changes() {
    std::optional<Result<RowPage>> Got;
    this->Store.changes("t", 1, Duration(0),
                        [&](const Result<RowPage> &Page) { Got = Page; });
    return this->wait(Got);
  }
};

const std::string Page = R"({"rows":[],"row_version":7})";
const std::string Rest =
    "\r\nContent-Length: " + std::to_string(Page.size()) + "\r\n\r\n" + Page;

/// Returns broken answers, also such that hold what the store says.
std::vector<BrokenAnswer> makeAnswers() {
  std::vector<BrokenAnswer> Answers = makeAnswersWithBrokenHeads();
  for (const std::string Status : {"000", "600", "0200"})
    Answers.push_back({Status, "HTTP/1.1 " + Status + " OK" + Rest});
  for (const std::string Status : {"200", "410", "412", "503"})
    Answers.push_back(
        {Status, "HTTP/1.1 " + Status + " OK\r\nX Note: a" + Rest});
  return Answers;
}

} // namespace

// Guards against a transaction that counts as committed, or as not done, after
// a broken answer: the store may have made it.
Test(BrokenStoreAnswer, OutcomeOfTheTransactionIsUnknown) {
  for (const BrokenAnswer &Broken : makeAnswers()) {
    Bench B;
    B.Server.Answer = Broken.Bytes;
    cr_expect(B.transact().Outcome == TransactionOutcome::Unknown, "%s",
              Broken.Name.c_str());
  }
}

// Guards against rows that are taken from a broken answer: an empty page would
// remove all rows of a feed.
Test(BrokenStoreAnswer, PageIsNotReadFromABrokenAnswer) {
  for (const BrokenAnswer &Broken : makeAnswers()) {
    Bench B;
    B.Server.Answer = Broken.Bytes;
    const Result<RowPage> Read = B.read();
    cr_expect_not(Read.has_value(), "%s", Broken.Name.c_str());
    cr_expect_not(B.changes().has_value(), "%s", Broken.Name.c_str());
    // Lost history would make the feed list everything again.
    cr_expect(Read || Read.error().Code == ErrorCode::Timeout, "%s",
              Broken.Name.c_str());
  }
}

// Guards against a part of the answer that counts as the whole, because a reset
// while a large transaction is being written is taken for an orderly end.
Test(BrokenStoreAnswer, ResetDuringATransactionLeavesItsOutcomeUnknown) {
  Bench B;
  B.Server.Answer = "HTTP/1.1 200 OK\r\n\r\n" + Page;
  B.Server.Next = ScriptedServer::Ending::Reset;
  B.Server.RoundsToEnd = 20;
  cr_assert(B.transact(std::size_t{8} << 20U).Outcome ==
            TransactionOutcome::Unknown);
}
