#include "platform/PlatformAdapter.h"
#include "Core/Base64.h"
#include "Support/FakeChannels.h"
#include "Support/RunUntil.h"
#include "platform/PlatformRowStore.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

const char *const Config = R"({"version":7,"routes":[
  {"name":"r1","host":"h","path_prefix":"/a/","kind":"streaming",
   "timeout_ms":5000,"target_latency_ms":300,"priority":0,"service":"m",
   "max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":250},
  {"name":"r2","host":"h","path_prefix":"/b/","kind":"batch","priority":2,
   "timeout_ms":15000,"target_latency_ms":400,"max_attempts":3,
   "traffic_split":[{"service":"m","weight":90},{"service":"n","weight":10}],
   "run_target_ms":18000,"retention_s":60.5,"max_count":2100000}],
  "services":[{"name":"m","health_path":"/healthz","max_conns":230,
   "engine":{"slots":8,"max_count":12}}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
   "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

RawRequest request(const char *Method, const char *Target) {
  RawRequest Request;
  Request.Method = Method;
  Request.Target = Target;
  return Request;
}

struct StoreFixture {
  BootClock Time;
  EventLoop Loop{Time};
  FakeChannels Channels;
  PlatformRowStore Store{Loop, Channels, "127.0.0.1:1", 65536};
  std::optional<TransactionResult> Result;

  StoreFixture() {
    RowTransaction Change;
    Change.Part = "p";
    Change.Conditions = {{"t", "k", 3}};
    Change.Writes = {{"t", "k", "value"}};
    Store.transact(Change, [this](const TransactionResult &Reported) {
      Result = Reported;
    });
  }
  TransactionOutcome answer(int Status, std::string_view Body) {
    Channels.head(1, Status);
    Channels.body(1, Body);
    Channels.done(1);
    return Result->Outcome;
  }
};

} // namespace

// Guards against a field of the operator's document that is ignored or stored
// in the wrong setting.
Test(PlatformConfig, EachFieldReachesItsSetting) {
  const Result<ServingSettings> Read = PlatformAdapter().readSettings(Config);
  cr_assert(Read, "%s", Read ? "" : Read.error().Message.c_str());
  cr_assert_eq(Read->Version, 7);
  const RouteSettings &Stream = Read->Routes.at(0);
  cr_assert(Stream.Kind == RequestKind::Stream && Stream.Resumable);
  cr_assert(Stream.Timeout == 5s && Stream.TargetLatency == 300ms);
  cr_assert_eq(Stream.MaxAttempts, 2);
  const RouteSettings &Batch = Read->Routes.at(1);
  cr_assert(Batch.JobTargetLatency == 18s && Batch.JobRetention == 60500ms);
  cr_assert_eq(Batch.MaxWaitingTokens, 2100000);
  cr_assert_eq(Batch.Services.size(), 2);
  cr_assert_eq(Read->Services.at("m").MaxConnections, 230);
  cr_assert(Read->Limits.IdleTime == 15s);
}

// Guards against the use of a document with an invalid part.
Test(PlatformConfig, WrongDocumentsAreMalformed) {
  const PlatformAdapter Adapter;
  const char *const UnknownKind =
      R"({"version":1,"services":[],"routes":[{"name":"r","host":"h",
          "path_prefix":"/","kind":"odd","service":"s"}]})";
  for (const char *Invalid :
       {"", "{", "[]", R"({"version":"x","routes":[],"services":[]})",
        R"({"version":1,"routes":[{}],"services":[]})", UnknownKind})
    cr_assert_not(Adapter.readSettings(Invalid), "%s", Invalid);
}

// Guards against organisations whose keys, priority or limits are lost, and
// against routes that become public by mistake.
Test(PlatformConfig, OrganisationsReachTheirSettings) {
  const Result<ServingSettings> Read = PlatformAdapter().readSettings(
      R"({"version":1,"services":[],"routes":[
        {"name":"r","host":"h","path_prefix":"/","kind":"batch","service":"s"},
        {"name":"q","host":"h","path_prefix":"/q/","kind":"batch",
         "service":"s","public":true}],
       "tenants":[{"name":"a","api_keys":["k1","k2"],"priority":1,
                   "rate_per_s":314.5,"burst":20},
                  {"name":"b","api_keys":["k3"]}]})");
  cr_assert(Read, "%s", Read ? "" : Read.error().Message.c_str());
  cr_assert_not(Read->Routes[0].Public);
  cr_assert(Read->Routes[1].Public);
  cr_assert_eq(Read->Organisations.size(), 2);
  const OrganisationSettings &First = Read->Organisations[0];
  cr_assert_str_eq(First.Name.c_str(), "a");
  const std::vector<std::string> Keys = {"k1", "k2"};
  cr_assert(First.Keys == Keys);
  cr_assert_eq(First.Priority, 1);
  cr_assert_eq(First.RatePerSecond, 314.5);
  cr_assert_eq(First.Burst, 20);
  const OrganisationSettings &Second = Read->Organisations[1];
  cr_assert_not(Second.Priority);
  cr_assert_eq(Second.RatePerSecond, 0);
  cr_assert_eq(Second.Burst, 0);
  cr_assert(PlatformAdapter().readSettings(Config)->Organisations.empty());
}

// Guards against a document in which a key has two meanings or a limit none,
// and against keys in the error message, which is logged.
Test(PlatformConfig, InvalidOrganisationsAreMalformed) {
  const auto Reason = [](const std::string &Organisations) -> std::string {
    const Result<ServingSettings> Read = PlatformAdapter().readSettings(
        R"({"version":1,"services":[],"routes":[],"tenants":)" + Organisations +
        "}");
    return Read ? "" : Read.error().Message;
  };
  cr_assert_str_eq(Reason("[]").c_str(), "");
  cr_assert_str_eq(
      Reason(R"([{"name":"a b","api_keys":["k","k"],"burst":0}])").c_str(), "");
  for (const char *Invalid :
       {R"([{"name":"a","api_keys":["secret"]},
            {"name":"b","api_keys":["x","secret"]}])",
        R"([{"name":"a","api_keys":["secret"]},{"name":"a","api_keys":[]}])",
        R"([{"name":"a","api_keys":["secret",""]}])",
        R"([{"name":"a","api_keys":["secret"],"rate_per_s":-1}])",
        R"([{"name":"a","api_keys":["secret"],"burst":-0.5}])",
        R"([{"name":"a","api_keys":["secret"],"burst":"5"}])",
        R"([{"name":"a","api_keys":["secret"],"rate_per_s":null}])",
        R"([{"name":"a","api_keys":["secret"],"priority":1.5}])",
        R"([{"name":"a","api_keys":["secret"],"priority":"secret"}])",
        R"([{"name":"a","api_keys":["secret",7]}])",
        R"([{"name":"a","api_keys":"secret"}])",
        R"([{"name":"a","api_keys":{"secret":"secret"}}])",
        R"([{"name":"a"}])",
        R"([{"name":"","api_keys":["secret"]}])",
        R"([{"name":" a","api_keys":["secret"]}])",
        R"([{"name":"a\r\nNot-Run: 1","api_keys":["secret"]}])",
        R"([{"api_keys":["secret"]}])",
        R"({"a":["secret"]})",
        R"("secret")",
        R"(["secret"])",
        "null",
        R"([{"name":"a","api_keys":["secret]}])",
        R"([{"name":"a","api_keys":["secret" "secret"]}])"}) {
    const std::string Message = Reason(Invalid);
    cr_assert_neq(Message, "", "%s", Invalid);
    cr_assert_eq(Message.find("secret"), std::string::npos, "%s",
                 Message.c_str());
  }
  cr_assert_not(PlatformAdapter().readSettings(
      R"({"version":1,"services":[],"routes":[{"name":"r","host":"h",
          "path_prefix":"/","kind":"batch","service":"s","public":"no"}]})"));
}

// Guards against the use of an invalid entry, such as one of another program.
Test(PlatformConfig, OnlyWholeEntriesNameServers) {
  const PlatformAdapter Adapter;
  const Result<ServerEntry> Good = Adapter.readServer(
      "i-1", R"({"service":"m","address":"10.0.0.1:80","zone":"a",
                 "version":"v1","slots":8,"state":"draining","born":5})");
  cr_assert(Good);
  cr_assert(Good->Leaving);
  cr_assert_eq(Good->StartUnixMillis, 5);
  for (
      const char *Invalid :
      {"\xff\xfe", "7", "{}",
       R"({"service":"m","address":"a","zone":"a","slots":"8","state":"ready"})",
       R"({"service":"m","address":"a","zone":"a","slots":8,"state":"odd"})",
       R"({"service":"","address":"a","zone":"a","slots":8,"state":"ready"})"})
    cr_assert_not(Adapter.readServer("i-1", Invalid), "%s", Invalid);
}

// Guards against VMs that end, or send requests nowhere, because another writer
// left an odd entry among those of the servers.
Test(PlatformConfig, OddEntriesNameNoServers) {
  const PlatformAdapter Adapter;
  const auto Entry = [](const std::string &Slots, const std::string &Address,
                        const std::string &More = "") {
    return R"({"service":"m","zone":"a","state":"ready","slots":)" + Slots +
           R"(,"address":")" + Address + "\"" + More + "}";
  };
  cr_assert(Adapter.readServer("i-1", Entry("8", "10.0.0.1:80")));
  for (const char *Slots : {"1e300", "5000000000", "99999999999999999999999",
                            "1e999", "-1", "0", "8.5", "null", "true", "[8]"})
    cr_assert_not(Adapter.readServer("i-1", Entry(Slots, "10.0.0.1:80")), "%s",
                  Slots);
  for (const char *Address :
       {"10.0.0.1:99999", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:", "10.0.0.1",
        "10.0.0.256:80", "host:80", "", ":80", "10.0.0.1:80 ",
        "10.0.0.1:99999999999999999999"})
    cr_assert_not(Adapter.readServer("i-1", Entry("8", Address)), "%s",
                  Address);
  for (const char *Born : {"1e300", "-5", "\"5\"", "99999999999999999999"})
    cr_assert_not(
        Adapter.readServer(
            "i-1", Entry("8", "10.0.0.1:80", std::string(",\"born\":") + Born)),
        "%s", Born);
  for (const char *Id : {"", "i 1", "i-1\r\nNot-Run: 1", "i\x7f"})
    cr_assert_not(Adapter.readServer(Id, Entry("8", "10.0.0.1:80")));
}

// Guards against a stack that overflows while a deeply nested entry is read.
Test(PlatformConfig, DeeplyNestedEntriesAreRead) {
  const PlatformAdapter Adapter;
  constexpr std::size_t Depth = 1000000;
  const std::string Open(Depth, '[');
  const std::string Nested = Open + std::string(Depth, ']');
  cr_assert_not(Adapter.readServer("i-1", Open));
  cr_assert_not(Adapter.readServer("i-1", Nested));
  cr_assert_not(Adapter.readServer("i-1", "{\"slots\":" + Nested + "}"));
  std::string Objects;
  for (std::size_t I = 0; I < Depth; ++I)
    Objects += "{\"a\":";
  const Result<ServerEntry> Read = Adapter.readServer("i-1", Objects);
  cr_assert_not(Read);
  // The message goes to the log at each change of the entry.
  cr_assert_lt(Read.error().Message.size(), 400);
  cr_assert_lt(
      Adapter.readServer("i-1", std::string(Depth, '1')).error().Message.size(),
      400);
}

// Guards against a submission whose items are lost or changed.
Test(PlatformJobs, SubmissionIsReadWhole) {
  RawRequest Request = request("POST", "/b/x");
  Request.Body =
      R"({"items":[{"id":"e5","path":"/b/3","headers":{"Model":"m"},
          "body":"q83v","tokens":940},{"id":"e6","path":"/b/4","headers":{},
          "body":"","tokens":1}]})";
  const auto Items = PlatformAdapter().jobCallCodec().parseSubmission(Request);
  cr_assert(Items);
  cr_assert_eq(Items->size(), 2);
  cr_assert_str_eq(Items->at(0).Body.c_str(), "\xab\xcd\xef");
  cr_assert_eq(Items->at(0).Tokens, 940);
  cr_assert_str_eq(Items->at(0).Headers.at(0).second.c_str(), "m");
  for (const char *Invalid : {"", "{}", R"({"items":[{"id":"x"}]})",
                              R"({"items":[{"id":"x","path":"/","headers":{},
                              "body":"?","tokens":1}]})"}) {
    Request.Body = Invalid;
    cr_assert_not(PlatformAdapter().jobCallCodec().parseSubmission(Request));
  }
}

// Guards against a call on a job that is parsed as another call.
Test(PlatformJobs, CallsAreToldApart) {
  const PlatformAdapter Adapter;
  const JobCallCodec &Jobs = Adapter.jobCallCodec();
  RawRequest Read = request("GET", "/lots/7c?after=12");
  Read.Headers = {{"wait-ms", "1000"}};
  const auto Results = Jobs.parseCall(Read);
  cr_assert(Results && Results->Kind == JobCallKind::ReadResults);
  cr_assert(Results->JobId == "7c" && Results->FirstPosition == 12);
  cr_assert(Results->MaxWait == 1000ms);
  const auto Item = Jobs.parseCall(request("GET", "/items/7c?id=e5"));
  cr_assert(Item && Item->Kind == JobCallKind::ReadItem);
  cr_assert(Item->JobId == "7c" && Item->ItemId == "e5");
  const auto End = Jobs.parseCall(request("DELETE", "/lots/7c"));
  cr_assert(End && End->Kind == JobCallKind::Cancel);
  cr_assert_not(Jobs.parseCall(request("POST", "/lots/7c")));
  cr_assert_not(Jobs.parseCall(request("GET", "/x/7c")));
}

// Guards against NotDone for a transaction that may have been committed.
Test(PlatformRowStore, OnlyRefusalsMeanNotDone) {
  cr_assert_eq(StoreFixture().answer(503, ""), TransactionOutcome::NotDone);
  cr_assert_eq(StoreFixture().answer(429, ""), TransactionOutcome::NotDone);
  cr_assert_eq(StoreFixture().answer(500, ""), TransactionOutcome::Unknown);
  cr_assert_eq(StoreFixture().answer(200, "cut {"),
               TransactionOutcome::Unknown);
  StoreFixture Lost;
  Lost.Channels.fail(1, SendFailure::Unanswered);
  cr_assert_eq(Lost.Result->Outcome, TransactionOutcome::Unknown);
  StoreFixture NotSent;
  NotSent.Channels.fail(1, SendFailure::NotSent);
  cr_assert_eq(NotSent.Result->Outcome, TransactionOutcome::NotDone);
  StoreFixture Silent;
  cr_assert(runUntil(Silent.Loop, [&] { return Silent.Result.has_value(); }));
  cr_assert_eq(Silent.Result->Outcome, TransactionOutcome::Unknown);
  cr_assert(Silent.Channels.Cancelled.contains(1));
}

// Guards against versions and values that are lost in the translation.
Test(PlatformRowStore, TransactionsAndConflictsAreTranslated) {
  StoreFixture Fixture;
  const std::string &Body = Fixture.Channels.last().Order.Request.Body;
  cr_assert_neq(Body.find(R"("row_version":3)"), std::string::npos);
  cr_assert_neq(Body.find(encodeBase64("value")), std::string::npos);
  const std::string Row = R"({"rows":[{"table":"t","part":"p","key":"k",
      "value":")" + encodeBase64("other") +
                          R"(","row_version":9}],"row_version":12})";
  cr_assert_eq(Fixture.answer(412, Row), TransactionOutcome::Conflict);
  cr_assert_str_eq(Fixture.Result->Current.at(0).Value.c_str(), "other");
  cr_assert_eq(Fixture.Result->Current.at(0).Version, 9);
  StoreFixture Committed;
  cr_assert_eq(Committed.answer(200, R"({"row_version":13,"now_ms":5})"),
               TransactionOutcome::Committed);
  cr_assert_eq(Committed.Result->Version, 13);
}

// Guards against a reader that continues although changes are missing.
Test(PlatformRowStore, ForgottenHistoryIsNotFound) {
  StoreFixture Fixture;
  std::optional<ErrorCode> Code;
  Fixture.Store.changes("t", 5, 1s, [&](const Result<RowPage> &Page) {
    Code = Page ? std::nullopt : std::optional(Page.error().Code);
  });
  Fixture.Channels.head(2, 410);
  Fixture.Channels.done(2);
  cr_assert(Code && *Code == ErrorCode::NotFound);
}

// Guards against a store that counts as reachable although it accepts no
// connection, and against one that counts as away after a broken call.
Test(PlatformRowStore, OnlyCallsThatWereNotSentShowAnUnreachableStore) {
  for (const auto &[Failure, Expected] :
       {std::pair(SendFailure::NotSent, ErrorCode::Unavailable),
        std::pair(SendFailure::Unanswered, ErrorCode::Timeout),
        std::pair(SendFailure::AnswerTruncated, ErrorCode::Timeout)}) {
    StoreFixture Fixture;
    std::optional<ErrorCode> Code;
    Fixture.Store.read(
        {"t", "p", "", "", 500}, [&](const Result<RowPage> &Page) {
          Code = Page ? std::nullopt : std::optional(Page.error().Code);
        });
    Fixture.Channels.fail(2, Failure);
    cr_assert(Code && *Code == Expected);
  }
}

// Guards against bytes that base64 does not preserve, and against a crash on
// invalid base64 text.
Test(Base64, DecodedBytesAreTheEncodedOnes) {
  cr_assert(rc::check([](const std::string &Bytes) {
    const Result<std::string> Back = decodeBase64(encodeBase64(Bytes));
    RC_ASSERT(Back.has_value());
    RC_ASSERT(*Back == Bytes);
    (void)decodeBase64(Bytes);
  }));
  cr_assert_not(decodeBase64("abc"));
  cr_assert_not(decodeBase64("a?=="));
}

// Guards against a store that allows rows as large as a whole call: a head and
// a result would then not fit into one transaction.
Test(PlatformRowStore, RowsLeaveRoomInACall) {
  BootClock Time;
  EventLoop Loop(Time);
  FakeChannels Channels;
  for (const std::size_t RowBytes : {4096U, 65536U, 1U << 20U, 1U << 30U}) {
    const PlatformRowStore Store(Loop, Channels, "127.0.0.1:1", RowBytes);
    const RowLimits &Limits = Store.limits();
    cr_assert_leq(Limits.ValueBytes * 4, RowBytes * 3, "%zu", RowBytes);
    cr_assert_leq(Limits.ValueBytes * 4, Limits.TransactionBytes, "%zu",
                  RowBytes);
  }
}
