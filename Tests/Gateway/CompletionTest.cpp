#include "Support/GatewayBench.h"

#include <nlohmann/json.hpp>

using namespace turmericpass;
using nlohmann::json;

namespace {

Finish successfulFinish(const Submit &Work, std::uint64_t Tokens) {
  Finish Ending = finishOf(Work, FinishCode::Ok, Execution::Ran);
  Ending.Status = 200;
  Ending.Reason = "length";
  Ending.TotalTokens = Tokens;
  return Ending;
}

} // namespace

Test(Completion, WholeAnswerHasTheCommonFormat) {
  GatewayBench Bench;
  const auto Caller = Bench.call(chat(false));
  const Submit Work = Bench.submission(1);
  cr_assert(Work.Customer == "hanbit" && Work.Class == "question");
  cr_assert(Bench.Peers.lastPeer() == GatewayBench::PeerA);
  Bench.Peers.deliver(GatewayBench::PeerA, chunkOf(Work, 0, "good "));
  Bench.Peers.deliver(GatewayBench::PeerA, chunkOf(Work, 1, "day"));
  Bench.Peers.deliver(GatewayBench::PeerA, successfulFinish(Work, 2));
  const HttpReply Reply = Bench.replyOf(Caller);
  cr_assert(Reply.Status == 200);
  const json Body = json::parse(Reply.Body);
  cr_assert(Body["object"] == "chat.completion" && Body["model"] == "bobbin");
  cr_assert(Body["choices"][0]["message"]["content"] == "good day");
  cr_assert(Body["choices"][0]["finish_reason"] == "length");
  cr_assert(Body["usage"]["completion_tokens"] == 2);
}

// Guards against lost or corrupted text when a token ends within a multi-byte
// character, as tokens of Korean text do.
Test(Completion, StreamJoinsSplitCharacters) {
  GatewayBench Bench;
  HttpRequest Request = chat(true);
  const auto Caller = Bench.callStream(Request);
  const Submit Work = Bench.submission(1);
  const std::string Text = "\xEB\xA0\x88";
  Bench.Peers.deliver(GatewayBench::PeerA, chunkOf(Work, 0, Text.substr(0, 2)));
  Bench.Peers.deliver(GatewayBench::PeerA, chunkOf(Work, 1, Text.substr(2)));
  Bench.Peers.deliver(GatewayBench::PeerA, successfulFinish(Work, 2));
  cr_assert(Bench.until([&] { return Caller->isOver(); }));
  cr_assert(Caller->Done.has_value());
  cr_assert(Caller->Got.find("\"content\":\"" + Text + "\"") !=
            std::string::npos);
  cr_assert(Caller->Got.find("\"finish_reason\":\"length\"") !=
            std::string::npos);
  cr_assert(Caller->Got.ends_with("data: [DONE]\n\n"));
}

// Guards against a truncated answer that the caller cannot tell from a complete
// one.
Test(Completion, StreamThatCannotBeFinishedIsBrokenAfterAnErrorEvent) {
  GatewayBench Bench;
  const auto Caller = Bench.callStream(chat(true));
  const Submit Work = Bench.submission(1);
  Bench.Peers.deliver(GatewayBench::PeerA, chunkOf(Work, 0, "good"));
  cr_assert(Bench.until([&] { return !Caller->Got.empty(); }));
  Finish Ending = finishOf(Work, FinishCode::ServerError, Execution::Ran);
  Ending.Status = 500;
  Bench.Peers.deliver(GatewayBench::PeerA, Ending);
  cr_assert(Bench.until([&] { return Caller->isOver(); }));
  cr_assert(Caller->Failed);
  cr_assert(Caller->Got.find("event: error") != std::string::npos);
  cr_assert(Caller->Got.find("\"execution\":\"ran\"") != std::string::npos);
  cr_assert(Caller->Got.find("[DONE]") == std::string::npos);
}

// Guards against backend work for callers that have disconnected.
Test(Completion, DepartedCallerIsCancelled) {
  GatewayBench Bench;
  const auto Caller = Bench.callStream(chat(true));
  const Submit Work = Bench.submission(1);
  Bench.Peers.deliver(GatewayBench::PeerA, chunkOf(Work, 0, "good"));
  cr_assert(Bench.until([&] { return !Caller->Got.empty(); }));
  Bench.Client.cancel(Caller->Call);
  cr_assert(Bench.until([&] { return Bench.Peers.all<Cancel>().size() == 1; }));
  cr_assert(Bench.Peers.all<Cancel>()[0].RequestId == Work.RequestId);
  cr_assert(Bench.until([&] { return Bench.Gateway.isIdle(); }));
}

Test(Completion, PlainServiceIsPassedThrough) {
  GatewayBench Bench;
  HttpRequest Request = post("/services/webshop/items/3", "<x/>");
  Request.Method = "PUT";
  Request.Query = "q=1";
  const auto Caller = Bench.call(Request);
  const Submit Work = Bench.submission(1);
  cr_assert(Work.Method == "PUT" && Work.Path == "/items/3?q=1");
  cr_assert(Work.Body == "<x/>" && !Work.Stream);
  Finish Ending = finishOf(Work, FinishCode::Ok, Execution::Ran);
  Ending.Status = 404;
  Ending.ContentType = "text/plain";
  Ending.Body = "none";
  Bench.Peers.deliver(GatewayBench::PeerA, Ending);
  const HttpReply Reply = Bench.replyOf(Caller);
  cr_assert(Reply.Status == 404 && Reply.Body == "none");
  cr_assert(findHeader(Reply.Headers, "Content-Type") == "text/plain");
}

// Guards against a gateway that does not propagate the caller's trace.
Test(Completion, TraceOfTheCallerGoesOn) {
  GatewayBench Bench;
  HttpRequest Request = chat(false);
  const std::string TraceId = "0af7651916cd43dd8448eb211c80319c";
  Request.Headers.emplace_back("traceparent",
                               "00-" + TraceId + "-b7ad6b7169203331-01");
  Bench.call(Request);
  const Submit Work = Bench.submission(1);
  cr_assert(Work.Trace.TraceId == TraceId);
  cr_assert(Work.Trace.SpanId != "b7ad6b7169203331");
}
