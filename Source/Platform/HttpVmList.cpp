#include "Platform/HttpVmList.h"

#include "Platform/PlatformCall.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace turmericpass {

namespace {

using Json = nlohmann::json;

tl::unexpected<Error> malformed() {
  return failure(ErrorCode::Malformed, "The VM list is not valid.");
}

Result<VmListing> readListing(const std::string &Body) {
  const Json Reply = Json::parse(Body, nullptr, false);
  if (!Reply.is_object() || !Reply.contains("age_ms") ||
      !Reply["age_ms"].is_number() || !Reply.contains("vms") ||
      !Reply["vms"].is_array())
    return malformed();
  VmListing Listing;
  Listing.Age = std::chrono::milliseconds(Reply["age_ms"].get<std::int64_t>());
  for (const Json &Entry : Reply["vms"]) {
    if (!Entry.is_object() || !Entry.contains("name") ||
        !Entry["name"].is_string() || !Entry.contains("state"))
      return malformed();
    const bool IsLive = Entry["state"] == toName(VmState::Live);
    Listing.Vms.push_back({Entry["name"].get<std::string>(),
                           IsLive ? VmState::Live : VmState::Leaving});
  }
  return Listing;
}

} // namespace

HttpVmList::HttpVmList(HttpClient &Client, std::string Address)
    : Client(Client), Address(std::move(Address)) {}

void HttpVmList::list(ListCallback Done) {
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = "/vms";
  callPlatform(this->Client, this->Address, std::move(Request),
               [Done = std::move(Done)](const Result<std::string> &Body) {
                 Done(Body ? readListing(*Body)
                           : tl::make_unexpected(Body.error()));
               });
}

} // namespace turmericpass
