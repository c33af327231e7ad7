#include "StandIns/LaggingVms.h"

#include <nlohmann/json.hpp>

namespace turmericpass {

namespace {

using Json = nlohmann::json;

HttpReply reply(int Status, const Json &Body) {
  return {Status, {{"Content-Type", "application/json"}}, Body.dump()};
}

bool isValid(const Json &List) {
  if (!List.is_object() || !List.contains("vms") || !List["vms"].is_array())
    return false;
  for (const Json &Vm : List["vms"])
    if (!Vm.is_object() || !Vm.contains("name") || !Vm["name"].is_string() ||
        !Vm.contains("state") ||
        (Vm["state"] != "live" && Vm["state"] != "leaving" &&
         Vm["state"] != "gone"))
      return false;
  return true;
}

} // namespace

LaggingVms::LaggingVms(const Clock &Time, Duration Lag)
    : Time(Time), Lag(Lag) {}

HttpReply LaggingVms::handle(const HttpRequest &Request) {
  return Request.Method == "POST" ? this->change(Request.Body) : this->list();
}

HttpReply LaggingVms::change(const std::string &Body) {
  const Json List = Json::parse(Body, nullptr, false);
  if (!isValid(List))
    return reply(400, {{"error", "The list is not valid."}});
  if (List.contains("lag_ms") && List["lag_ms"].is_number())
    this->Lag = Duration(
        static_cast<std::int64_t>(List["lag_ms"].get<double>() * 1000));
  for (const Json &Vm : List["vms"])
    this->Changes.emplace(
        this->Time.now() + this->Lag,
        Change{Vm["name"].get<std::string>(), Vm["state"].get<std::string>()});
  return reply(200, Json::object());
}

HttpReply LaggingVms::list() {
  while (!this->Changes.empty() &&
         this->Changes.begin()->first <= this->Time.now()) {
    const Change &Next = this->Changes.begin()->second;
    if (Next.State == "gone")
      this->Shown.erase(Next.Name);
    else
      this->Shown[Next.Name] = Next.State;
    this->Changes.erase(this->Changes.begin());
  }
  Json Vms = Json::array();
  for (const auto &[Name, State] : this->Shown)
    Vms.push_back({{"name", Name}, {"state", State}});
  const auto Age =
      std::chrono::duration_cast<std::chrono::milliseconds>(this->Lag);
  return reply(200, {{"age_ms", Age.count()}, {"vms", std::move(Vms)}});
}

} // namespace turmericpass
