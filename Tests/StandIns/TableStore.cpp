#include "StandIns/TableStore.h"

#include "Http/PercentEncoding.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace turmericpass {

namespace {

using Json = nlohmann::json;

constexpr std::size_t DefaultScanLimit = 1000;

HttpReply reply(int Status, const Json &Body) {
  return {Status, {{"Content-Type", "application/json"}}, Body.dump()};
}

bool isText(const Json &Object, const char *Key) {
  return Object.is_object() && Object.contains(Key) && Object[Key].is_string();
}

bool isList(const Json &Object, const char *Key) {
  return !Object.contains(Key) || Object[Key].is_array();
}

bool isValid(const Json &Transaction) {
  if (!isText(Transaction, "id") || !isList(Transaction, "checks") ||
      !isList(Transaction, "puts") || !isList(Transaction, "deletes"))
    return false;
  for (const Json &Check : Transaction.value("checks", Json::array()))
    if (!isText(Check, "key") || !Check.contains("version") ||
        !Check["version"].is_number_unsigned())
      return false;
  for (const Json &Put : Transaction.value("puts", Json::array()))
    if (!isText(Put, "key") || !isText(Put, "value"))
      return false;
  for (const Json &Delete : Transaction.value("deletes", Json::array()))
    if (!Delete.is_string())
      return false;
  return true;
}

} // namespace

HttpReply TableStore::handle(const HttpRequest &Request) {
  if (Request.Path == "/table/transact" && Request.Method == "POST")
    return this->transact(Request.Body);
  if (Request.Path == "/table/get")
    return this->get(findQueryValue(Request.Query, "key"));
  if (Request.Path == "/table/scan")
    return this->scan(Request.Query);
  return reply(404, {{"error", "No such path."}});
}

HttpReply TableStore::transact(const std::string &Body) {
  const Json Transaction = Json::parse(Body, nullptr, false);
  if (!isValid(Transaction))
    return reply(400, {{"error", "The transaction is not valid."}});
  Json Conflicts = Json::array();
  for (const Json &Check : Transaction.value("checks", Json::array())) {
    const auto Found = this->Rows.find(Check["key"].get<std::string>());
    const std::uint64_t Version =
        Found == this->Rows.end() ? 0 : Found->second.Version;
    if (Version != Check["version"].get<std::uint64_t>())
      Conflicts.push_back(Check["key"]);
  }
  if (!Conflicts.empty())
    return reply(409, {{"conflicts", std::move(Conflicts)}});
  Json Versions = Json::object();
  for (const Json &Put : Transaction.value("puts", Json::array())) {
    const auto Key = Put["key"].get<std::string>();
    this->Rows[Key] = {Put["value"].get<std::string>(), ++this->LastVersion,
                       Transaction["id"].get<std::string>()};
    Versions[Key] = this->LastVersion;
  }
  for (const Json &Delete : Transaction.value("deletes", Json::array()))
    this->Rows.erase(Delete.get<std::string>());
  return reply(200, {{"versions", std::move(Versions)}});
}

HttpReply TableStore::get(const std::string &Key) const {
  const auto Found = this->Rows.find(Key);
  if (Found == this->Rows.end())
    return reply(404, {{"error", "No such row."}});
  return reply(200, {{"version", Found->second.Version},
                     {"value", Found->second.Value},
                     {"write_id", Found->second.WriteId}});
}

HttpReply TableStore::scan(const std::string &Query) const {
  const std::string Prefix = findQueryValue(Query, "prefix");
  const std::string After = findQueryValue(Query, "after");
  const std::string LimitText = findQueryValue(Query, "limit");
  std::size_t Limit = DefaultScanLimit;
  std::from_chars(LimitText.data(), LimitText.data() + LimitText.size(), Limit);
  Json Found = Json::array();
  auto Next = After < Prefix ? this->Rows.lower_bound(Prefix)
                             : this->Rows.upper_bound(After);
  for (; Next != this->Rows.end() && Next->first.starts_with(Prefix) &&
         Found.size() < Limit;
       ++Next)
    Found.push_back({{"key", Next->first},
                     {"version", Next->second.Version},
                     {"value", Next->second.Value},
                     {"write_id", Next->second.WriteId}});
  return reply(200, {{"rows", std::move(Found)}});
}

} // namespace turmericpass
