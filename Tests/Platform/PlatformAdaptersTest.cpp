#include "Platform/HttpObjectStore.h"
#include "Platform/HttpTable.h"
#include "Platform/HttpVmList.h"
#include "Platform/HttpWeightStore.h"
#include "RawHttp/ChannelHttpClient.h"
#include "RawHttp/TcpBackendChannels.h"
#include "StandIns/StandInPlatform.h"
#include "Support/RunUntil.h"
#include "Telemetry/Logger.h"

#include <criterion/criterion.h>
#include <map>
#include <optional>
#include <rapidcheck.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

struct Bench {
  BootClock Time;
  EventLoop Loop{Time};
  NullLogger Log;
  StandInPlatform Platform{Loop, Log, {0, 2, 0, 16, 1}};
  TcpBackendChannels Channels{Loop};
  ChannelHttpClient Client{Loop, Channels, std::size_t{1} << 20U};
  std::string Address =
      "127.0.0.1:" + std::to_string(*Platform.listen("127.0.0.1", 0));
  HttpTable Rows{Client, Address};
  HttpObjectStore Objects{Client, Address};
  HttpVmList Vms{Client, Address};
  HttpWeightStore Weights{Client, Address};

  /// Runs the event loop until the handler passed to \p Call is called.
  template <typename T>
  Result<T>
  wait(const std::function<void(std::function<void(Result<T>)>)> &Call) {
    std::optional<Result<T>> Received;
    Call([&Received](Result<T> Outcome) { Received = std::move(Outcome); });
    cr_assert(runUntil(this->Loop, [&] { return Received.has_value(); }));
    return *Received;
  }

  Result<void> transact(const TableTransaction &Transaction) {
    return this->wait<void>(
        [&](auto Done) { this->Rows.transact(Transaction, std::move(Done)); });
  }
  Result<TableRow> get(const std::string &Key) {
    return this->wait<TableRow>(
        [&](auto Done) { this->Rows.get(Key, std::move(Done)); });
  }
  Result<std::vector<TableRow>>
  scan(const std::string &Prefix, const std::string &After, std::size_t Limit) {
    return this->wait<std::vector<TableRow>>([&](auto Done) {
      this->Rows.scan(Prefix, After, Limit, std::move(Done));
    });
  }
  Result<std::string> getObject(const std::string &Name) {
    return this->wait<std::string>(
        [&](auto Done) { this->Objects.get(Name, std::move(Done)); });
  }
  Result<std::string> getWeights(const std::string &Name) {
    return this->wait<std::string>(
        [&](auto Done) { this->Weights.get(Name, std::move(Done)); });
  }
  Result<VmListing> list() {
    return this->wait<VmListing>(
        [&](auto Done) { this->Vms.list(std::move(Done)); });
  }
  void post(const std::string &Path, const std::string &Body) {
    const auto Status = this->wait<int>([&](auto Done) {
      HttpCallHandlers Handlers;
      Handlers.Done = [Done](const HttpReply &Reply) { Done(Reply.Status); };
      this->Client.call(this->Address, {"POST", Path, "", {}, Body}, 5s,
                        Handlers);
    });
    cr_assert(*Status == 200);
  }
};

} // namespace

// Guards against a transaction being applied in part.
Test(PlatformTable, FailedCheckChangesNothing) {
  Bench Bench;
  cr_assert(Bench.transact({"w1", {{"a", 0}}, {{"a", "1"}}, {}}).has_value());
  const Result<TableRow> First = Bench.get("a");
  cr_assert(First->Value == "1" && First->WriteId == "w1");
  const auto Outcome =
      Bench.transact({"w2", {{"a", 0}}, {{"a", "2"}, {"b", "2"}}, {"a"}});
  cr_assert(Outcome.error().Code == ErrorCode::Conflict);
  cr_assert(Bench.get("a")->Version == First->Version);
  cr_assert(Bench.get("b").error().Code == ErrorCode::NotFound);
}

// Guards against reusing the version of a deleted row, which would let a writer
// with an outdated version overwrite the new row.
Test(PlatformTable, RowPutAgainHasANewVersion) {
  Bench Bench;
  cr_assert(Bench.transact({"w1", {}, {{"a", "1"}}, {}}).has_value());
  const std::uint64_t Old = Bench.get("a")->Version;
  cr_assert(Bench.transact({"w2", {}, {}, {"a"}}).has_value());
  cr_assert(Bench.transact({"w3", {{"a", 0}}, {{"a", "1"}}, {}}).has_value());
  cr_assert(Bench.get("a")->Version > Old);
}

// Guards against a paged scan skipping or repeating rows, and against keys that
// change when they are encoded.
Test(PlatformTable, ScanInPagesGivesEveryRowOnce) {
  Bench Bench;
  const std::string Prefix = "job/ü&=?#%/";
  std::map<std::string, std::string> Written;
  TableTransaction All{"w", {}, {{"job", "0"}, {"job/z", "0"}}, {}};
  for (int I = 0; I < 23; ++I) {
    All.Puts.push_back({Prefix + std::to_string(I), std::to_string(I)});
    Written[All.Puts.back().Key] = All.Puts.back().Value;
  }
  cr_assert(Bench.transact(All).has_value());
  std::map<std::string, std::string> Read;
  std::string After;
  for (auto Page = Bench.scan(Prefix, After, 7); !Page->empty();
       Page = Bench.scan(Prefix, After, 7)) {
    cr_assert(Page->size() <= 7);
    for (const TableRow &Row : *Page) {
      cr_assert(Row.Key > After && Read.emplace(Row.Key, Row.Value).second);
      After = Row.Key;
    }
  }
  cr_assert(Read == Written);
}

// Guards against reporting a write that took effect as having had no effect.
Test(PlatformTable, LostReplyIsATimeoutAndTheWriteIdTells) {
  Bench Bench;
  Bench.post("/fault", R"({"kind":"lose_reply","where":"table"})");
  const auto Outcome = Bench.transact({"w1", {{"a", 0}}, {{"a", "1"}}, {}});
  cr_assert(Outcome.error().Code == ErrorCode::Timeout);
  cr_assert(Bench.get("a")->WriteId == "w1");
}

Test(PlatformTable, OutageAndLimitAreUnavailableWithoutEffect) {
  Bench Bench;
  for (const char *Fault :
       {R"({"kind":"outage"})", R"({"kind":"limit","factor":0.5})"}) {
    Bench.post("/fault", Fault);
    (void)Bench.transact({"w1", {}, {{"a", "1"}}, {"a"}});
    const auto Refused = Bench.transact({"w2", {}, {{"a", "1"}}, {}});
    cr_assert(Refused.error().Code == ErrorCode::Unavailable);
    Bench.post("/fault", R"({"kind":"none"})");
    cr_assert(Bench.get("a").error().Code == ErrorCode::NotFound);
  }
  HttpTable UnreachableTable(Bench.Client, "127.0.0.1:1");
  const auto Reply = Bench.wait<TableRow>(
      [&](auto Done) { UnreachableTable.get("a", std::move(Done)); });
  cr_assert(Reply.error().Code == ErrorCode::Unavailable);
}

// Guards against storing a modified value.
Test(PlatformTable, TextThatIsNotUtf8IsRefused) {
  Bench Bench;
  cr_assert(Bench.transact({"w", {}, {{"a", "\xff"}}, {}}).error().Code ==
            ErrorCode::InvalidArgument);
}

Test(PlatformObjects, AnyBytesUnderAnyNameComeBack) {
  Bench Bench;
  cr_assert(rc::check([&](const std::string &Bytes) {
    const std::string Name = "results/" + *rc::gen::nonEmpty<std::string>();
    const auto Put = [&](auto Done) {
      Bench.Objects.put(Name, Bytes, std::move(Done));
    };
    RC_ASSERT(Bench.wait<void>(Put).has_value());
    RC_ASSERT(Bench.wait<void>(Put).has_value());
    RC_ASSERT(Bench.getObject(Name) == Bytes);
    const auto Remove = [&](auto Done) {
      Bench.Objects.remove(Name, std::move(Done));
    };
    RC_ASSERT(Bench.wait<void>(Remove).has_value());
    RC_ASSERT(Bench.getObject(Name).error().Code == ErrorCode::NotFound);
  }));
}

Test(PlatformWeights, RateIsToldApartFromAnOutage) {
  Bench Bench;
  cr_assert(Bench.getWeights("m")->size() == 16);
  cr_assert(Bench.getWeights("m").has_value());
  cr_assert(Bench.getWeights("m").error().Code == ErrorCode::RateLimited);
}

Test(PlatformVms, ChangesShowAfterTheLag) {
  Bench Bench;
  Bench.post("/vms", R"({"vms":[{"name":"a","state":"live"},)"
                     R"({"name":"b","state":"live"}]})");
  cr_assert(Bench.list()->Vms.size() == 2);
  Bench.post("/vms",
             R"({"lag_ms":3600000,"vms":[{"name":"a","state":"leaving"}]})");
  cr_assert(Bench.list()->Vms[0].State == VmState::Live);
  cr_assert(Bench.list()->Age == 1h);
  Bench.post("/vms", R"({"lag_ms":0,"vms":[{"name":"b","state":"leaving"}]})");
  cr_assert(Bench.list()->Vms[0].State == VmState::Live);
  cr_assert(Bench.list()->Vms[1].State == VmState::Leaving);
}
