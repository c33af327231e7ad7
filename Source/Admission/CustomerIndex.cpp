#include "Admission/CustomerIndex.h"

#include "Core/Hash.h"
#include "Settings/FleetSettings.h"

#include <strings.h>

namespace turmericpass {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";

} // namespace

void CustomerIndex::configure(const FleetSettings &Settings) {
  this->CustomerByKeyHash.clear();
  this->ServiceByModel.clear();
  for (const auto &[Name, Customer] : Settings.Customers)
    for (const std::string &Hash : Customer.KeyHashes)
      this->CustomerByKeyHash.emplace(Hash, Name);
  for (const auto &[Name, Service] : Settings.Services)
    if (Service.Kind == ServiceKind::Model)
      this->ServiceByModel.emplace(Service.Model, Name);
}

Result<std::string>
CustomerIndex::authenticate(const std::string &Authorization) const {
  if (Authorization.size() <= BearerPrefix.size() ||
      strncasecmp(Authorization.c_str(), BearerPrefix.data(),
                  BearerPrefix.size()) != 0)
    return failure(ErrorCode::Unauthenticated,
                   "The request has no API key; send the header "
                   "\"Authorization: Bearer KEY\".");
  const auto Found = this->CustomerByKeyHash.find(
      sha256Hex(std::string_view(Authorization).substr(BearerPrefix.size())));
  if (Found == this->CustomerByKeyHash.end())
    return failure(ErrorCode::Unauthenticated,
                   "No customer has this API key; check the key or ask the "
                   "operator for a new one.");
  return Found->second;
}

const std::string *
CustomerIndex::findServiceOfModel(const std::string &Model) const {
  const auto Found = this->ServiceByModel.find(Model);
  return Found == this->ServiceByModel.end() ? nullptr : &Found->second;
}

} // namespace turmericpass
