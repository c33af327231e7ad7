#include "Controller/HttpOrderPort.h"

#include "Http/HttpClient.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace turmericpass {

namespace {

constexpr Duration ObserveLimit = std::chrono::seconds(2);
constexpr Duration OrderLimit = std::chrono::seconds(5);
constexpr int ConflictStatus = 409;
constexpr int FirstErrorStatus = 300;

Result<std::set<std::string>> parseModels(const HttpReply &Reply,
                                          const std::string &Address) {
  const nlohmann::json Root = nlohmann::json::parse(Reply.Body, nullptr, false);
  const auto Missing =
      failure(ErrorCode::NotFound, "The engine at " + Address +
                                       " does not list its models in /load.");
  if (Reply.Status >= FirstErrorStatus || !Root.is_object())
    return Missing;
  const auto Models = Root.find("models");
  if (Models == Root.end() || !Models->is_array())
    return Missing;
  std::set<std::string> Names;
  for (const nlohmann::json &Name : *Models)
    if (Name.is_string())
      Names.insert(Name.get<std::string>());
  return Names;
}

Result<void> parseOutcome(const HttpReply &Reply, const std::string &Address) {
  if (Reply.Status == ConflictStatus)
    return failure(ErrorCode::Conflict,
                   "The engine at " + Address + " has a newer fencing number.");
  if (Reply.Status >= FirstErrorStatus)
    return failure(ErrorCode::Unavailable,
                   "The engine at " + Address +
                       " refused an order with status " +
                       std::to_string(Reply.Status) + ".");
  return {};
}

} // namespace

void HttpOrderPort::observe(const std::string &Address, ObserveDone Done) {
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = "/load";
  HttpCallHandlers Handlers;
  Handlers.Done = [Address, Done](const HttpReply &Reply) {
    Done(parseModels(Reply, Address));
  };
  Handlers.Failed = [Done](const Error &Reason, HttpProgress) {
    Done(tl::make_unexpected(Reason));
  };
  this->Client.call(Address, std::move(Request), ObserveLimit,
                    std::move(Handlers));
}

void HttpOrderPort::send(const std::string &Address, const FleetOrder &Order,
                         SendDone Done) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = "/orders";
  Request.Headers = {{"Content-Type", "application/json"}};
  Request.Body = nlohmann::json({{"fencing", Order.Fencing},
                                 {"deadline_ms", Order.DeadlineMs},
                                 {"kind", toName(Order.Kind)},
                                 {"name", Order.Model}})
                     .dump();
  HttpCallHandlers Handlers;
  Handlers.Done = [Address, Done](const HttpReply &Reply) {
    Done(parseOutcome(Reply, Address));
  };
  Handlers.Failed = [Done](const Error &Reason, HttpProgress) {
    Done(tl::make_unexpected(Reason));
  };
  this->Client.call(Address, std::move(Request), OrderLimit,
                    std::move(Handlers));
}

} // namespace turmericpass
