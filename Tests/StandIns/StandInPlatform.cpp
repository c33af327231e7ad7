#include "StandIns/StandInPlatform.h"

#include "Http/PercentEncoding.h"
#include "Loop/EventLoop.h"
#include "Telemetry/Logger.h"

#include <utility>

namespace turmericpass {

namespace {

using Json = nlohmann::json;
using namespace std::chrono_literals;

/// Objects of the batch interface are larger than requests of callers.
constexpr std::size_t MaxBodyBytes = std::size_t{256} << 20U;

Duration fromMillis(double Millis) {
  return Duration(static_cast<std::int64_t>(Millis * 1000));
}

HttpReply emptyReply(int Status) { return {Status, {}, "{}"}; }

std::string partOf(const std::string &Path) {
  for (const char *Part : {"table", "objects", "weights", "vms"})
    if (Path == std::string("/") + Part ||
        Path.starts_with(std::string("/") + Part + "/"))
      return Part;
  return "";
}

/// Returns the decoded last segment of a path such as /objects/NAME.
std::string nameIn(const std::string &Path) {
  return percentDecode(Path.substr(Path.rfind('/') + 1)).value_or("");
}

bool isWrite(const HttpRequest &Request) { return Request.Method != "GET"; }

} // namespace

StandInPlatform::StandInPlatform(EventLoop &Loop, Logger &Log,
                                 PlatformOptions Options)
    : Loop(Loop), Log(Log), Options(Options),
      Faults(Loop.clock(), {"outage", "slow", "lose_reply", "limit"}),
      Vms(Loop.clock(), fromMillis(Options.VmLagMs)), Random(Options.Seed),
      Server(Loop, {HttpLimits().HeaderBytes, MaxBodyBytes}) {
  this->Server.onRequest([this](ExchangeId Id, const HttpRequest &Request) {
    this->handle(Id, Request);
  });
}

Result<std::uint16_t> StandInPlatform::listen(const std::string &Address,
                                              std::uint16_t Port) {
  return this->Server.listen(Address, Port);
}

void StandInPlatform::handle(ExchangeId Id, const HttpRequest &Request) {
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
  const std::string Part = partOf(Request.Path);
  if (Part.empty()) {
    this->Server.reply(Id, emptyReply(404));
    return;
  }
  // A test sets the list of VMs also while the list is down for its readers.
  if (Part == "vms" && isWrite(Request)) {
    this->Server.reply(Id, this->Vms.handle(Request));
    return;
  }
  const double Limit = this->Faults.factor("limit", 0, Part);
  if (this->Faults.isOn("outage", Part) ||
      (Limit > 0 && this->isOver(this->Windows[Part], 1s, Limit))) {
    ++this->CountsByPart[Part].Refused;
    this->Server.reply(Id, emptyReply(503));
    return;
  }
  const Duration Wait =
      fromMillis(this->Options.DelayMs + this->Faults.factor("slow", 0, Part));
  if (Wait <= Duration(0))
    this->perform(Id, Request, Part);
  else
    this->Loop.after(
        Wait, [this, Id, Request, Part] { this->perform(Id, Request, Part); });
}

void StandInPlatform::perform(ExchangeId Id, const HttpRequest &Request,
                              const std::string &Part) {
  Counts &Counted = this->CountsByPart[Part];
  ++(isWrite(Request) ? Counted.Writes : Counted.Reads);
  Counted.BytesIn += Request.Body.size();
  const HttpReply Reply = this->dispatch(Request, Part);
  Counted.BytesOut += Reply.Body.size();
  const double Share = this->Faults.factor("lose_reply", 0, Part);
  if (isWrite(Request) &&
      std::uniform_real_distribution<double>()(this->Random) < Share) {
    ++Counted.Lost;
    this->Server.abort(Id);
    return;
  }
  this->Server.reply(Id, Reply);
}

HttpReply StandInPlatform::dispatch(const HttpRequest &Request,
                                    const std::string &Part) {
  if (Part == "table")
    return this->Rows.handle(Request);
  if (Part == "objects")
    return this->handleObject(Request);
  if (Part == "weights")
    return this->handleWeights(Request);
  return this->Vms.handle(Request);
}

HttpReply StandInPlatform::handleObject(const HttpRequest &Request) {
  const std::string Name = nameIn(Request.Path);
  if (Request.Method == "PUT") {
    this->Objects[Name] = Request.Body;
    return emptyReply(200);
  }
  const auto Found = this->Objects.find(Name);
  if (Request.Method == "DELETE") {
    if (Found != this->Objects.end())
      this->Objects.erase(Found);
    return emptyReply(200);
  }
  if (Found == this->Objects.end())
    return emptyReply(404);
  return {200, {{"Content-Type", "application/octet-stream"}}, Found->second};
}

HttpReply StandInPlatform::handleWeights(const HttpRequest &Request) {
  if (this->isOver(this->WeightWindow, 60s, this->Options.WeightsPerMinute)) {
    ++this->CountsByPart["weights"].Refused;
    return emptyReply(429);
  }
  std::string Bytes(this->Options.WeightBytes, '\0');
  const std::string Name = nameIn(Request.Path);
  for (std::size_t I = 0; I < Bytes.size() && !Name.empty(); ++I)
    Bytes[I] = Name[I % Name.size()];
  return {200, {{"Content-Type", "application/octet-stream"}}, Bytes};
}

bool StandInPlatform::isOver(Window &Counted, Duration Length, double Limit) {
  const Instant Now = this->Loop.clock().now();
  if (Now - Counted.Since >= Length)
    Counted = {Now, 0};
  if (Counted.Count >= Limit)
    return true;
  ++Counted.Count;
  return false;
}

Json StandInPlatform::stats() const {
  Json Stats{{"rows", this->Rows.rows()}, {"stored", this->Objects.size()}};
  for (const auto &[Part, Counted] : this->CountsByPart)
    Stats[Part] = {
        {"reads", Counted.Reads},      {"writes", Counted.Writes},
        {"refused", Counted.Refused},  {"lost", Counted.Lost},
        {"bytes_in", Counted.BytesIn}, {"bytes_out", Counted.BytesOut}};
  return Stats;
}

} // namespace turmericpass
