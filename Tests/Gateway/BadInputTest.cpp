#include "Support/GatewayBench.h"

#include <nlohmann/json.hpp>
#include <vector>

using namespace turmericpass;
using nlohmann::json;

namespace {

struct Case {
  const char *Name;
  HttpRequest Request;
  int Status;
  const char *Kind;
};

HttpRequest withHeader(HttpRequest Request, const std::string &Header,
                       const std::string &Value) {
  std::erase_if(Request.Headers,
                [&](const auto &Entry) { return Entry.first == Header; });
  if (!Value.empty())
    Request.Headers.emplace_back(Header, Value);
  return Request;
}

HttpRequest withMethod(HttpRequest Request, const std::string &Method) {
  Request.Method = Method;
  if (Method == "GET")
    Request.Body.clear();
  return Request;
}

HttpRequest chatBody(const std::string &Body) {
  return post("/v1/chat/completions", Body);
}

std::string chatWith(const std::string &Field) {
  return R"({"model":"bobbin","messages":[{"role":"user","content":"x"}],)" +
         Field + "}";
}

std::vector<Case> cases() {
  const std::string Deep = std::string(100'000, '[');
  const char *InvalidRequest = "invalid-request";
  return {
      {"no key", withHeader(chat(false), "Authorization", ""), 401,
       "unauthenticated"},
      {"wrong key", withHeader(chat(false), "Authorization", "Bearer other"),
       401, "unauthenticated"},
      {"other scheme", withHeader(chat(false), "Authorization", "Basic secret"),
       401, "unauthenticated"},
      {"unknown class", withHeader(chat(false), "Turmericpass-Class", "vip"),
       403, "forbidden"},
      {"bad deadline", withHeader(chat(false), "Turmericpass-Deadline", "-5"),
       400, InvalidRequest},
      {"broken JSON", chatBody("{\"model\":"), 400, InvalidRequest},
      {"empty body", chatBody(""), 400, InvalidRequest},
      {"no object", chatBody("[1]"), 400, InvalidRequest},
      {"deep JSON", chatBody(Deep), 400, InvalidRequest},
      {"deep object", chatBody("{\"a\":" + Deep), 400, InvalidRequest},
      {"broken UTF-8", chatBody("{\"model\":\"\xC3\x28\"}"), 400,
       InvalidRequest},
      {"no model", chatBody(R"({"messages":[]})"), 400, InvalidRequest},
      {"model is a number", chatBody(R"({"model":1})"), 400, InvalidRequest},
      {"no messages", chatBody(R"({"model":"bobbin"})"), 400, InvalidRequest},
      {"messages of text", chatBody(R"({"model":"bobbin","messages":["x"]})"),
       400, InvalidRequest},
      {"content is a number",
       chatBody(
           R"({"model":"bobbin","messages":[{"role":"user","content":1}]})"),
       400, InvalidRequest},
      {"stream is text", chatBody(chatWith(R"("stream":"yes")")), 400,
       InvalidRequest},
      {"negative max_tokens", chatBody(chatWith(R"("max_tokens":-1)")), 400,
       InvalidRequest},
      {"huge max_tokens", chatBody(chatWith(R"("max_tokens":1e300)")), 400,
       InvalidRequest},
      {"too many tokens", chatBody(chatWith(R"("max_tokens":5000)")), 400,
       InvalidRequest},
      {"two answers", chatBody(chatWith(R"("n":2)")), 400, InvalidRequest},
      {"prompt is a list",
       post("/v1/completions", R"({"model":"bobbin","prompt":[1]})"), 400,
       InvalidRequest},
      {"unknown model",
       post("/v1/completions", R"({"model":"none","prompt":"x"})"), 404,
       "not-found"},
      {"too large", chatBody(std::string(2000, ' ')), 413, "too-large"},
      {"wrong method", withMethod(chat(false), "GET"), 405,
       "method-not-allowed"},
      {"models by POST", post("/v1/models", "x"), 405, "method-not-allowed"},
      {"unknown path", post("/v2/x", "x"), 404, "not-found"},
      {"unknown service", post("/services/none/x", "x"), 404, "not-found"},
      {"model as service", post("/services/assistant/x", "x"), 404,
       "not-found"},
      {"no idempotency key", post("/services/orders/new", "x"), 400,
       InvalidRequest},
      {"odd idempotency key", order("a b", "x"), 400, InvalidRequest},
  };
}

} // namespace

// Guards against invalid input that reaches a dispatcher, terminates the
// process, or is answered with something other than a problem document.
Test(BadInput, EveryCaseGetsAProblemDocumentAndNothingRuns) {
  FleetSettings Settings = benchSettings();
  Settings.Limits.BodyBytes = 1500;
  Settings.Customers["hanbit"].RequestsPerSecond = 1000;
  for (const Case &Each : cases()) {
    // The bodies with deep nesting exceed the body limit of the other cases.
    FleetSettings Own = Settings;
    if (std::string(Each.Name).starts_with("deep"))
      Own.Limits.BodyBytes = 1'000'000;
    GatewayBench Bench(Own);
    const HttpReply Reply = Bench.replyOf(Bench.call(Each.Request));
    cr_assert(Reply.Status == Each.Status, "%s: %d %s", Each.Name, Reply.Status,
              Reply.Body.c_str());
    cr_assert(findHeader(Reply.Headers, "Content-Type") ==
              "application/problem+json");
    const json Document = json::parse(Reply.Body);
    cr_assert(Document["type"] ==
                  std::string("urn:turmericpass:problem:") + Each.Kind,
              "%s: %s", Each.Name, Reply.Body.c_str());
    cr_assert(Document["status"] == Each.Status && Document.contains("title"));
    cr_assert(!Document["detail"].get<std::string>().empty());
    cr_assert(Document["execution"] == "not_run");
    cr_assert(Bench.Peers.Out.empty() && Bench.Intents.Begun == 0);
    cr_assert(Bench.Stats.value("gateway_refused_total{kind=\"" +
                                std::string(Each.Kind) + "\"}") == 1);
  }
}

// Guards against a gateway that no longer serves valid requests after it has
// received invalid ones.
Test(BadInput, GatewayServesAfterBadInput) {
  GatewayBench Bench;
  for (int I = 0; I < 3; ++I)
    Bench.replyOf(Bench.call(chatBody("{")));
  const auto Caller = Bench.call(chat(false));
  const Submit Work = Bench.submission(1);
  Bench.Peers.deliver(GatewayBench::PeerA,
                      finishOf(Work, FinishCode::Ok, Execution::Ran));
  cr_assert(Bench.replyOf(Caller).Status == 200);
}
