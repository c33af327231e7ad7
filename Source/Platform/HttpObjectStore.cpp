#include "Platform/HttpObjectStore.h"

#include "Http/PercentEncoding.h"
#include "Platform/PlatformCall.h"

#include <utility>

namespace turmericpass {

namespace {

HttpRequest buildRequest(const char *Method, const std::string &Name) {
  HttpRequest Request;
  Request.Method = Method;
  Request.Path = "/objects/" + percentEncode(Name);
  return Request;
}

std::function<void(Result<std::string>)>
discardBody(ObjectStore::PutCallback Done) {
  return [Done = std::move(Done)](const Result<std::string> &Body) {
    if (Body)
      Done({});
    else
      Done(tl::make_unexpected(Body.error()));
  };
}

} // namespace

HttpObjectStore::HttpObjectStore(HttpClient &Client, std::string Address)
    : Client(Client), Address(std::move(Address)) {}

void HttpObjectStore::put(std::string Name, std::string Bytes,
                          PutCallback Done) {
  HttpRequest Request = buildRequest("PUT", Name);
  Request.Body = std::move(Bytes);
  callPlatform(this->Client, this->Address, std::move(Request),
               discardBody(std::move(Done)));
}

void HttpObjectStore::get(std::string Name, GetCallback Done) {
  callPlatform(this->Client, this->Address, buildRequest("GET", Name), Done);
}

void HttpObjectStore::remove(std::string Name, PutCallback Done) {
  callPlatform(this->Client, this->Address, buildRequest("DELETE", Name),
               discardBody(std::move(Done)));
}

} // namespace turmericpass
