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
/// New settings must be in force within 3 s, so this is well below it.
constexpr Duration ConfigurePeriod = 200ms;

/// The HTTP server accepts bodies slightly above the configured limit, so that
/// the gateway can answer an oversized body with a problem document. Above the
/// server's limit, evhttp answers with its own error page.
constexpr std::size_t BodyLimitMarginBytes = std::size_t{1} << 20U;

constexpr const char *ChatPath = "/v1/chat/completions";
constexpr const char *TextPath = "/v1/completions";
constexpr const char *ModelsPath = "/v1/models";
constexpr const char *ServicePrefix = "/services/";

} // namespace

GatewayDaemon::GatewayDaemon(GatewayDependencies Dependencies,
                             LifeCycleLimits Limits)
    : Dependencies(std::move(Dependencies)),
      Reader(this->Dependencies.Fleet, this->Index),
      Online(this->Dependencies, Limits),
      Batches(this->Dependencies, this->Reader, this->Online) {
  this->configure();
  this->Dependencies.Http.onRequest(
      [this](ExchangeId Exchange, HttpRequest Request) {
        this->handle(Exchange, std::move(Request));
      });
  this->Dependencies.Http.onCallerDisconnected(
      [this](ExchangeId Exchange) { this->Online.callerDeparted(Exchange); });
  this->TickTimer = this->Dependencies.Loop.every(
      TickPeriod, [this] { this->Online.tick(); });
  this->ConfigureTimer = this->Dependencies.Loop.every(
      ConfigurePeriod, [this] { this->configure(); });
}

GatewayDaemon::~GatewayDaemon() {
  this->Dependencies.Loop.cancel(this->TickTimer);
  this->Dependencies.Loop.cancel(this->ConfigureTimer);
  this->Dependencies.Http.onRequest({});
  this->Dependencies.Http.onCallerDisconnected({});
}

void GatewayDaemon::configure() {
  const FleetSettings &Settings = this->Dependencies.Fleet.settings();
  if (this->ConfiguredSettings != &Settings ||
      this->ConfiguredVersion != Settings.Version) {
    this->ConfiguredSettings = &Settings;
    this->ConfiguredVersion = Settings.Version;
    this->Index.configure(Settings);
    this->Dependencies.Http.setBodyLimit(Settings.Limits.BodyBytes +
                                         BodyLimitMarginBytes);
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
    this->Dependencies.Stats.add("gateway_refused_total{kind=\"draining\"}");
    this->Dependencies.Http.reply(Exchange, std::move(Reply));
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
    this->Online.refuse(Exchange, makeMethodNotAllowedProblem("POST"));
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
    this->Online.refuse(Exchange, makeMethodNotAllowedProblem("GET"));
    return;
  }
  if (const auto Customer = this->Reader.authenticateCustomer(Request);
      !Customer) {
    this->Online.refuse(Exchange, toProblem(Customer.error()));
    return;
  }
  nlohmann::json List = {{"object", "list"}, {"data", nlohmann::json::array()}};
  for (const auto &[Name, Service] :
       this->Dependencies.Fleet.settings().Services)
    if (Service.Kind == ServiceKind::Model)
      List["data"].push_back({{"id", Service.Model},
                              {"object", "model"},
                              {"created", 0},
                              {"owned_by", "turmericpass"}});
  this->Dependencies.Http.reply(
      Exchange, {200, {{"Content-Type", "application/json"}}, List.dump()});
}

void GatewayDaemon::drain() {
  this->Draining = true;
  this->Dependencies.Http.stopListening();
}

bool GatewayDaemon::isIdle() const {
  return this->Online.count() == 0 &&
         this->Dependencies.Http.openExchanges() == 0;
}

} // namespace turmericpass
