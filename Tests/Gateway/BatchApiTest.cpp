#include "Gateway/Multipart.h"
#include "Jobs/TableJobService.h"
#include "Support/GatewayBench.h"
#include "Support/MemoryObjectStore.h"
#include "Support/MemoryTable.h"

#include <nlohmann/json.hpp>

using namespace turmericpass;
using nlohmann::json;

namespace {

constexpr const char *Lines = "{\"custom_id\":\"a\"}\n{\"custom_id\":\"b\"}\n";

/// A gateway whose job service keeps its data in memory.
struct BatchApiFixture {
  ManualClock Time;
  IdSource Ids{3};
  MemoryTable Rows;
  MemoryObjectStore Objects;
  TableJobService Jobs{Rows, Objects, Time, Ids};
  GatewayBench Bench{benchSettings(), &Jobs};

  HttpReply send(const HttpRequest &Request) {
    return this->Bench.replyOf(this->Bench.call(Request));
  }

  HttpReply get(const std::string &Path) {
    HttpRequest Request = post(Path, "");
    Request.Method = "GET";
    return this->send(Request);
  }

  std::string upload(const std::string &Text = Lines) {
    return json::parse(this->send(post("/v1/files", Text)).Body)["id"];
  }

  static HttpRequest makeBatchRequest(const std::string &File,
                                      const std::string &Key) {
    HttpRequest Request =
        post("/v1/batches", json{{"input_file_id", File},
                                 {"endpoint", "/v1/chat/completions"},
                                 {"completion_window", "24h"}}
                                .dump());
    Request.Headers.emplace_back("Idempotency-Key", Key);
    return Request;
  }
};

std::string executionOf(const HttpReply &Reply) {
  return json::parse(Reply.Body)["execution"];
}

HttpRequest makeFormRequest(const std::string &Body) {
  HttpRequest Request = post("/v1/files", Body);
  Request.Headers[1].second = "multipart/form-data; boundary=\"b0\"";
  return Request;
}

std::string formBody(const std::string &Purpose) {
  return "--b0\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\n" +
         Purpose +
         "\r\n--b0\r\ncontent-disposition: form-data; name=\"file\"; "
         "filename=\"night.jsonl\"\r\nContent-Type: application/jsonl\r\n\r\n" +
         Lines + "\r\n--b0--\r\n";
}

} // namespace

Test(BatchApi, FormUploadKeepsNameAndBytes) {
  BatchApiFixture Fixture;
  const json File =
      json::parse(Fixture.send(makeFormRequest(formBody("batch"))).Body);
  cr_assert(File["filename"] == "night.jsonl" && File["object"] == "file");
  cr_assert(File["bytes"] == std::string(Lines).size());
  const std::string Id = File["id"];
  cr_assert(Fixture.get("/v1/files/" + Id + "/content").Body == Lines);
  cr_assert(json::parse(Fixture.get("/v1/files/" + Id).Body) == File);
}

// Guards against a file description that reads the whole file or lacks its name
// and creation time, and against results files without a description.
Test(BatchApi, FileIsDescribedFromItsRow) {
  BatchApiFixture Fixture;
  Fixture.Time.advance(std::chrono::seconds(77));
  const std::string Id = Fixture.upload();
  const auto Reads = Fixture.Objects.Faults.Reads;
  const json File = json::parse(Fixture.get("/v1/files/" + Id).Body);
  cr_assert(File["filename"] == "input.jsonl" && File["created_at"] != 0);
  cr_assert(File["bytes"] == std::string(Lines).size());
  cr_assert(Fixture.Objects.Faults.Reads == Reads);
  const std::string Job = json::parse(
      Fixture.send(BatchApiFixture::makeBatchRequest(Id, "k1")).Body)["id"];
  const json Output =
      json::parse(Fixture.get("/v1/files/" + Job + "-output").Body);
  cr_assert(Output["id"] == Job + "-output" && Output["bytes"] == 0);
  cr_assert(Fixture.get("/v1/files/file_none").Status == 404);
}

// Guards against creating a second batch when a caller resends a request.
Test(BatchApi, ResentBatchIsTheSameBatch) {
  BatchApiFixture Fixture;
  const std::string File = Fixture.upload();
  const json First = json::parse(
      Fixture.send(BatchApiFixture::makeBatchRequest(File, "k1")).Body);
  cr_assert(First["object"] == "batch" && First["status"] == "in_progress");
  cr_assert(First["completion_window"] == "24h");
  cr_assert(First["request_counts"]["total"] == 2);
  cr_assert(
      json::parse(
          Fixture.send(BatchApiFixture::makeBatchRequest(File, "k1")).Body) ==
      First);
  const std::string Id = First["id"];
  cr_assert(json::parse(Fixture.get("/v1/batches/" + Id).Body) == First);
  cr_assert(Fixture.upload() == File);
  const std::string Other = Fixture.upload("{\"custom_id\":\"c\"}\n");
  const HttpReply Reused =
      Fixture.send(BatchApiFixture::makeBatchRequest(Other, "k1"));
  cr_assert(Reused.Status == 422 && executionOf(Reused) == "not_run");
}

Test(BatchApi, CancelStopsTheBatch) {
  BatchApiFixture Fixture;
  const std::string File = Fixture.upload();
  const std::string Id = json::parse(
      Fixture.send(BatchApiFixture::makeBatchRequest(File, "k1")).Body)["id"];
  const HttpReply Reply =
      Fixture.send(post("/v1/batches/" + Id + "/cancel", ""));
  cr_assert(Reply.Status == 200);
  cr_assert(json::parse(Reply.Body)["status"] == "cancelling");
}

// Guards against reporting "not_run" for a write that the store may have
// applied.
Test(BatchApi, OutageIsUnknownForWritesAndNotRunForReads) {
  BatchApiFixture Fixture;
  const std::string File = Fixture.upload();
  Fixture.Rows.Faults.Pick = [](const std::string &Call) {
    return Call.starts_with("transact") ? StoreFault::ReplyLost
                                        : StoreFault::None;
  };
  cr_assert(
      Fixture.send(BatchApiFixture::makeBatchRequest(File, "k1")).Status ==
      200);
  Fixture.Rows.Faults.Pick = {};
  Fixture.Rows.Faults.Always = StoreFault::Unavailable;
  const HttpReply Down =
      Fixture.send(BatchApiFixture::makeBatchRequest(File, "k2"));
  cr_assert(Down.Status == 503 && executionOf(Down) == "unknown");
  cr_assert(findHeader(Down.Headers, "Retry-After") == "1");
  cr_assert(executionOf(Fixture.get("/v1/batches/batch_1")) == "not_run");
}

// Guards against invalid input that is written to the store.
Test(BatchApi, BadInputIsRefusedWithoutAWrite) {
  BatchApiFixture Fixture;
  const std::string File = Fixture.upload();
  const auto Body = [&](const char *Key, const json &Value) {
    HttpRequest Request = BatchApiFixture::makeBatchRequest(File, "k1");
    json Order = json::parse(Request.Body);
    Order[Key] = Value;
    Request.Body = Order.dump();
    return Request;
  };
  HttpRequest OnlineClass = BatchApiFixture::makeBatchRequest(File, "k1");
  OnlineClass.Headers.emplace_back("Turmericpass-Class", "question");
  HttpRequest WrongMethod = post("/v1/batches/batch_1", "");
  const std::vector<std::pair<HttpRequest, int>> Cases = {
      {post("/v1/batches", "{"), 400},
      {Body("input_file_id", 1), 400},
      {Body("input_file_id", "../x"), 404},
      {Body("input_file_id", "file_1"), 404},
      {Body("endpoint", "/v1/none"), 400},
      {Body("endpoint", "/services/orders/new"), 400},
      {Body("completion_window", "24"), 400},
      {Body("completion_window", "99999d"), 400},
      {Body("completion_window", "0h"), 400},
      {OnlineClass, 403},
      {WrongMethod, 405},
      {post("/v1/batches/a/b", ""), 404},
      {makeFormRequest(formBody("fine-tune")), 400},
      {makeFormRequest("--b0\r\n\r\n"), 400},
      {makeFormRequest("--b1--"), 400},
  };
  const std::uint64_t Writes = Fixture.Rows.Faults.Writes;
  for (const auto &[Request, Status] : Cases) {
    const HttpReply Reply = Fixture.send(Request);
    cr_assert(Reply.Status == Status, "%s %s: %d %s", Request.Path.c_str(),
              Request.Body.c_str(), Reply.Status, Reply.Body.c_str());
    cr_assert(executionOf(Reply) == "not_run");
  }
  cr_assert(Fixture.Rows.Faults.Writes == Writes);
}

// Guards against access to the file of another customer.
Test(BatchApi, FilesBelongToTheirCustomer) {
  BatchApiFixture Fixture;
  const std::string Id = Fixture.upload();
  Fixture.Bench.Fleet.Given.Customers["gradini"] =
      Fixture.Bench.Fleet.Given.Customers["hanbit"];
  CustomerSettings &Other = Fixture.Bench.Fleet.Given.Customers["gradini"];
  Other.Name = "gradini";
  Other.KeyHashes = {sha256Hex("other")};
  ++Fixture.Bench.Fleet.Given.Version;
  Fixture.Bench.Gateway.configure();
  HttpRequest Request = post("/v1/files/" + Id + "/content", "");
  Request.Method = "GET";
  Request.Headers[0].second = "Bearer other";
  cr_assert(Fixture.send(Request).Status == 404);
  Request.Path = "/v1/files/" + Id;
  cr_assert(Fixture.send(Request).Status == 404);
}

// Guards against a form parser that reads past the end of its input.
Test(BatchApi, TruncatedFormsAreErrors) {
  const std::string Whole = formBody("batch");
  const std::string Type = "multipart/form-data; boundary=b0";
  cr_assert(parseForm(Type, Whole).has_value());
  for (std::size_t Length = 0; Length + 5 < Whole.size(); ++Length)
    cr_assert(!parseForm(Type, Whole.substr(0, Length)).has_value());
  cr_assert(!parseForm("multipart/form-data", Whole).has_value());
  cr_assert(!parseForm("multipart/form-data; boundary=", Whole).has_value());
}
