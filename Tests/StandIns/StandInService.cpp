#include "StandIns/StandInService.h"

#include "Loop/EventLoop.h"
#include "Telemetry/Logger.h"

#include <utility>

namespace turmericpass {

using Json = nlohmann::json;

StandInService::StandInService(EventLoop &Loop, Logger &Log, Duration Delay,
                               std::function<void()> Crash)
    : Loop(Loop), Log(Log), Delay(Delay), Crash(std::move(Crash)),
      Faults(Loop.clock(), {"slow", "crash_before", "crash_after", "lose_reply",
                            "wrong_tag", "refuse"}),
      Server(Loop, {}) {
  this->Server.onRequest([this](ExchangeId Id, const HttpRequest &Request) {
    this->handle(Id, Request);
  });
}

Result<std::uint16_t> StandInService::listen(const std::string &Address,
                                             std::uint16_t Port) {
  return this->Server.listen(Address, Port);
}

void StandInService::handle(ExchangeId Id, const HttpRequest &Request) {
  if (Request.Path == "/fault") {
    this->Log.log(LogLevel::Warning, "Fault set.", {{"fault", Request.Body}});
    this->Server.reply(Id, this->Faults.handle(Request.Body));
    return;
  }
  if (Request.Path == "/stats") {
    this->Server.reply(
        Id,
        {200, {{"Content-Type", "application/json"}}, this->stats().dump()});
    return;
  }
  if (Request.Path == "/load") {
    this->Server.reply(Id, {200,
                            {{"Content-Type", "application/json"}},
                            this->loadReport().dump()});
    return;
  }
  ++this->Received;
  if (this->Faults.isOn("crash_before")) {
    this->Crash();
    return;
  }
  if (this->Faults.isOn("refuse")) {
    this->Server.reply(
        Id, {503,
             {{"X-Admitted", "false"},
              {"X-Request-Id", findHeader(Request.Headers, "X-Request-Id")}},
             "{}"});
    return;
  }
  const auto Wait = Duration(
      static_cast<std::int64_t>(static_cast<double>(this->Delay.count()) *
                                this->Faults.factor("slow", 1)));
  this->Loop.after(Wait, [this, Id, Request] { this->execute(Id, Request); });
}

void StandInService::execute(ExchangeId Id, const HttpRequest &Request) {
  const std::string Key = findHeader(Request.Headers, "Idempotency-Key");
  const std::string Tag = findHeader(Request.Headers, "X-Request-Id");
  ++this->Executed;
  if (!Key.empty())
    ++this->ByKey[Key];
  if (!Tag.empty())
    ++this->ByTag[Tag];
  this->Log.log(LogLevel::Info, "Executed.",
                {{"key", Key}, {"tag", Tag}, {"path", Request.Path}});
  if (this->Faults.isOn("crash_after"))
    this->Crash();
  else if (this->Faults.isOn("lose_reply"))
    this->Server.abort(Id);
  else
    this->Server.reply(Id, this->buildReply(Request));
}

HttpReply StandInService::buildReply(const HttpRequest &Request) const {
  const std::string Key = findHeader(Request.Headers, "Idempotency-Key");
  std::string Tag = findHeader(Request.Headers, "X-Request-Id");
  if (this->Faults.isOn("wrong_tag"))
    Tag = "wrong-" + Tag;
  HttpReply Reply;
  Reply.Headers = {{"Content-Type", "application/json"}, {"X-Request-Id", Tag}};
  if (!Key.empty())
    Reply.Headers.emplace_back("Idempotency-Key", Key);
  Reply.Body = Json{{"method", Request.Method},
                    {"path", Request.Path},
                    {"query", Request.Query},
                    {"body", Request.Body},
                    {"execution", this->Executed}}
                   .dump(-1, ' ', false, Json::error_handler_t::replace);
  return Reply;
}

Json StandInService::loadReport() const {
  return {{"running", this->Received - this->Executed},
          {"waiting", 0},
          {"kv_used", 0.0},
          {"age_ms", 0}};
}

Json StandInService::stats() const {
  return {{"received", this->Received},
          {"executed", this->Executed},
          {"by_key", this->ByKey},
          {"by_tag", this->ByTag}};
}

} // namespace turmericpass
