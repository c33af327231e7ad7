#include "Gateway/GatewayDaemon.h"

#include "Admission/FleetSource.h"
#include "Loop/EventLoop.h"
#include "Telemetry/Metrics.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace turmericpass {

namespace {

using namespace std::chrono_literals;

constexpr Duration TickPeriod = 10ms;
/// Well under the 3 s within which settings are in force.
constexpr Duration ConfigurePeriod = 200ms;

/// The server reads a little more than the limit, so that a body above it
/// gets a problem document and not evhttp's own page.
constexpr std::size_t BodySlack = std::size_t{1} << 20U;

constexpr const char *ChatPath = "/v1/chat/completions";
constexpr const char *TextPath = "/v1/completions";
constexpr const char *ModelsPath = "/v1/models";
constexpr const char *ServicePrefix = "/services/";

} // namespace

GatewayDaemon::GatewayDaemon(GatewayPorts Given, LifeCycleLimits Limits)
    : Ports(std::move(Given)), Reader(this->Ports.Fleet, this->Index),
      Online(this->Ports, Limits),
      Batches(this->Ports, this->Reader, this->Online) {
  this->configure();
  this->Ports.Http.onRequest([this](ExchangeId Exchange, HttpRequest Request) {
    this->handle(Exchange, std::move(Request));
  });
  this->Ports.Http.onCallerDisconnected(
      [this](ExchangeId Exchange) { this->Online.callerDeparted(Exchange); });
  this->TickTimer =
      this->Ports.Loop.every(TickPeriod, [this] { this->Online.tick(); });
  this->ConfigureTimer =
      this->Ports.Loop.every(ConfigurePeriod, [this] { this->configure(); });
}

GatewayDaemon::~GatewayDaemon() {
  this->Ports.Loop.cancel(this->TickTimer);
  this->Ports.Loop.cancel(this->ConfigureTimer);
  this->Ports.Http.onRequest({});
  this->Ports.Http.onCallerDisconnected({});
}

void GatewayDaemon::configure() {
  const FleetSettings &Settings = this->Ports.Fleet.settings();
  if (this->Configured != &Settings || this->Version != Settings.Version) {
    this->Configured = &Settings;
    this->Version = Settings.Version;
    this->Index.configure(Settings);
    this->Ports.Http.setBodyLimit(Settings.Limits.BodyBytes + BodySlack);
  }
  this->Online.configure();
}

void GatewayDaemon::handle(ExchangeId Exchange, HttpRequest Request) {
  if (this->Draining) {
    HttpReply Reply =
        toReply({503, "draining", "The gateway is shutting down",
                 "Send the request again; another gateway takes it.",
                 Execution::NotRun, 1000});
    Reply.Headers.emplace_back("Connection", "close");
    this->Ports.Stats.add("gateway_refused_total{kind=\"draining\"}");
    this->Ports.Http.reply(Exchange, std::move(Reply));
    return;
  }
  const std::string &Path = Request.Path;
  if (Path == ChatPath || Path == TextPath) {
    this->handleCompletion(Exchange, Request);
  } else if (Path == ModelsPath) {
    this->handleModels(Exchange, Request);
  } else if (Path.starts_with(ServicePrefix)) {
    this->handleService(Exchange, Request);
  } else if (BatchApi::serves(Path)) {
    this->Batches.handle(Exchange, std::move(Request));
  } else {
    this->Online.refuse(Exchange, {404, "not-found", "There is no such path",
                                   "The gateway serves /v1/chat/completions, "
                                   "/v1/completions, /v1/models, /v1/files, "
                                   "/v1/batches and /services/NAME/.",
                                   Execution::NotRun, 0});
  }
}

void GatewayDaemon::handleCompletion(ExchangeId Exchange,
                                     const HttpRequest &Request) {
  if (Request.Method != "POST") {
    this->Online.refuse(Exchange, wrongMethod("POST"));
    return;
  }
  this->open(Exchange,
             this->Reader.readCompletion(Request, Request.Path == ChatPath));
}

void GatewayDaemon::handleService(ExchangeId Exchange,
                                  const HttpRequest &Request) {
  this->open(Exchange, this->Reader.readServiceCall(Request));
}

void GatewayDaemon::open(ExchangeId Exchange, Result<OnlineRequest> Request) {
  if (Request)
    this->Online.open(Exchange, std::move(*Request));
  else
    this->Online.refuse(Exchange, toProblem(Request.error()));
}

void GatewayDaemon::handleModels(ExchangeId Exchange,
                                 const HttpRequest &Request) {
  if (Request.Method != "GET") {
    this->Online.refuse(Exchange, wrongMethod("GET"));
    return;
  }
  if (const auto Customer = this->Reader.customerOf(Request); !Customer) {
    this->Online.refuse(Exchange, toProblem(Customer.error()));
    return;
  }
  nlohmann::json List = {{"object", "list"}, {"data", nlohmann::json::array()}};
  for (const auto &[Name, Service] : this->Ports.Fleet.settings().Services)
    if (Service.Kind == ServiceKind::Model)
      List["data"].push_back({{"id", Service.Model},
                              {"object", "model"},
                              {"created", 0},
                              {"owned_by", "turmericpass"}});
  this->Ports.Http.reply(
      Exchange, {200, {{"Content-Type", "application/json"}}, List.dump()});
}

void GatewayDaemon::drain() {
  this->Draining = true;
  this->Ports.Http.stopListening();
}

bool GatewayDaemon::isIdle() const {
  return this->Online.count() == 0 && this->Ports.Http.openExchanges() == 0;
}

} // namespace turmericpass
