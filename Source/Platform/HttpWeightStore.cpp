#include "Platform/HttpWeightStore.h"

#include "Http/PercentEncoding.h"
#include "Platform/PlatformCall.h"

#include <utility>

namespace turmericpass {

HttpWeightStore::HttpWeightStore(HttpClient &Client, std::string Address)
    : Client(Client), Address(std::move(Address)) {}

void HttpWeightStore::get(std::string Name, GetCallback Done) {
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = "/weights/" + percentEncode(Name);
  callPlatform(this->Client, this->Address, std::move(Request), Done,
               ErrorCode::RateLimited);
}

} // namespace turmericpass
