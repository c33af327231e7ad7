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

/// A gateway with a job service in memory.
struct Office {
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

  static HttpRequest orderOf(const std::string &File, const std::string &Key) {
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

HttpRequest form(const std::string &Body) {
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
  Office World;
  const json File = json::parse(World.send(form(formBody("batch"))).Body);
  cr_assert(File["filename"] == "night.jsonl" && File["object"] == "file");
  cr_assert(File["bytes"] == std::string(Lines).size());
  const std::string Id = File["id"];
  cr_assert(World.get("/v1/files/" + Id + "/content").Body == Lines);
  cr_assert(json::parse(World.get("/v1/files/" + Id).Body) == File);
}

// Guards against a description that reads the whole file or leaves out its name
// and time, and against results that have none.
Test(BatchApi, FileIsDescribedFromItsRow) {
  Office World;
  World.Time.advance(std::chrono::seconds(77));
  const std::string Id = World.upload();
  const auto Reads = World.Objects.Faults.Reads;
  const json File = json::parse(World.get("/v1/files/" + Id).Body);
  cr_assert(File["filename"] == "input.jsonl" && File["created_at"] != 0);
  cr_assert(File["bytes"] == std::string(Lines).size());
  cr_assert(World.Objects.Faults.Reads == Reads);
  const std::string Job =
      json::parse(World.send(Office::orderOf(Id, "k1")).Body)["id"];
  const json Output =
      json::parse(World.get("/v1/files/" + Job + "-output").Body);
  cr_assert(Output["id"] == Job + "-output" && Output["bytes"] == 0);
  cr_assert(World.get("/v1/files/file_none").Status == 404);
}

// Guards against a batch that is accepted twice when its caller resends it.
Test(BatchApi, ResentBatchIsTheSameBatch) {
  Office World;
  const std::string File = World.upload();
  const json First = json::parse(World.send(Office::orderOf(File, "k1")).Body);
  cr_assert(First["object"] == "batch" && First["status"] == "in_progress");
  cr_assert(First["completion_window"] == "24h");
  cr_assert(First["request_counts"]["total"] == 2);
  cr_assert(json::parse(World.send(Office::orderOf(File, "k1")).Body) == First);
  const std::string Id = First["id"];
  cr_assert(json::parse(World.get("/v1/batches/" + Id).Body) == First);
  cr_assert(World.upload() == File);
  const std::string Other = World.upload("{\"custom_id\":\"c\"}\n");
  const HttpReply Reused = World.send(Office::orderOf(Other, "k1"));
  cr_assert(Reused.Status == 422 && executionOf(Reused) == "not_run");
}

Test(BatchApi, CancelStopsTheBatch) {
  Office World;
  const std::string File = World.upload();
  const std::string Id =
      json::parse(World.send(Office::orderOf(File, "k1")).Body)["id"];
  const HttpReply Reply = World.send(post("/v1/batches/" + Id + "/cancel", ""));
  cr_assert(Reply.Status == 200);
  cr_assert(json::parse(Reply.Body)["status"] == "cancelling");
}

// Guards against a claim that nothing was accepted while the store may have
// taken it.
Test(BatchApi, OutageIsUnknownForWritesAndNotRunForReads) {
  Office World;
  const std::string File = World.upload();
  World.Rows.Faults.Pick = [](const std::string &Call) {
    return Call.starts_with("transact") ? StoreFault::ReplyLost
                                        : StoreFault::None;
  };
  cr_assert(World.send(Office::orderOf(File, "k1")).Status == 200);
  World.Rows.Faults.Pick = {};
  World.Rows.Faults.Always = StoreFault::Unavailable;
  const HttpReply Down = World.send(Office::orderOf(File, "k2"));
  cr_assert(Down.Status == 503 && executionOf(Down) == "unknown");
  cr_assert(findHeader(Down.Headers, "Retry-After") == "1");
  cr_assert(executionOf(World.get("/v1/batches/batch_1")) == "not_run");
}

// Guards against bad input that reaches the store.
Test(BatchApi, BadInputIsRefusedWithoutAWrite) {
  Office World;
  const std::string File = World.upload();
  const auto Body = [&](const char *Key, const json &Value) {
    HttpRequest Request = Office::orderOf(File, "k1");
    json Order = json::parse(Request.Body);
    Order[Key] = Value;
    Request.Body = Order.dump();
    return Request;
  };
  HttpRequest OnlineClass = Office::orderOf(File, "k1");
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
      {form(formBody("fine-tune")), 400},
      {form("--b0\r\n\r\n"), 400},
      {form("--b1--"), 400},
  };
  const std::uint64_t Writes = World.Rows.Faults.Writes;
  for (const auto &[Request, Status] : Cases) {
    const HttpReply Reply = World.send(Request);
    cr_assert(Reply.Status == Status, "%s %s: %d %s", Request.Path.c_str(),
              Request.Body.c_str(), Reply.Status, Reply.Body.c_str());
    cr_assert(executionOf(Reply) == "not_run");
  }
  cr_assert(World.Rows.Faults.Writes == Writes);
}

// Guards against one customer's reading another one's file.
Test(BatchApi, FilesBelongToTheirCustomer) {
  Office World;
  const std::string Id = World.upload();
  World.Bench.Fleet.Given.Customers["gradini"] =
      World.Bench.Fleet.Given.Customers["hanbit"];
  CustomerSettings &Other = World.Bench.Fleet.Given.Customers["gradini"];
  Other.Name = "gradini";
  Other.KeyHashes = {sha256Hex("other")};
  ++World.Bench.Fleet.Given.Version;
  World.Bench.Gateway.configure();
  HttpRequest Request = post("/v1/files/" + Id + "/content", "");
  Request.Method = "GET";
  Request.Headers[0].second = "Bearer other";
  cr_assert(World.send(Request).Status == 404);
  Request.Path = "/v1/files/" + Id;
  cr_assert(World.send(Request).Status == 404);
}

// Guards against a form parser that reads past its input.
Test(BatchApi, TruncatedFormsAreErrors) {
  const std::string Whole = formBody("batch");
  const std::string Type = "multipart/form-data; boundary=b0";
  cr_assert(parseForm(Type, Whole).has_value());
  for (std::size_t Length = 0; Length + 5 < Whole.size(); ++Length)
    cr_assert(!parseForm(Type, Whole.substr(0, Length)).has_value());
  cr_assert(!parseForm("multipart/form-data", Whole).has_value());
  cr_assert(!parseForm("multipart/form-data; boundary=", Whole).has_value());
}
