#include "Platform/HttpTable.h"

#include "Http/PercentEncoding.h"
#include "Platform/PlatformCall.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace turmericpass {

namespace {

using Json = nlohmann::json;

tl::unexpected<Error> malformed() {
  return failure(ErrorCode::Malformed,
                 "The table service's reply is not valid.");
}

Json toJson(const TableTransaction &Transaction) {
  Json Checks = Json::array();
  for (const TableCheck &Check : Transaction.Checks)
    Checks.push_back({{"key", Check.Key}, {"version", Check.Version}});
  Json Puts = Json::array();
  for (const TablePut &Put : Transaction.Puts)
    Puts.push_back({{"key", Put.Key}, {"value", Put.Value}});
  return {{"id", Transaction.WriteId},
          {"checks", std::move(Checks)},
          {"puts", std::move(Puts)},
          {"deletes", Transaction.Deletes}};
}

/// Returns the JSON body of \p Transaction. Text that is not valid UTF-8 is
/// rejected, because JSON cannot represent it and replacing the invalid bytes
/// would store a different value.
Result<std::string> toBody(const TableTransaction &Transaction) {
  try {
    return toJson(Transaction).dump();
  } catch (const Json::exception &) {
    return failure(ErrorCode::InvalidArgument,
                   "A key or value of the transaction is not UTF-8.");
  }
}

bool hasString(const Json &Object, const char *Key) {
  return Object.contains(Key) && Object[Key].is_string();
}

/// Parses a row. \p Key is the row's key if \p Object does not contain one.
Result<TableRow> readRow(const Json &Object, const std::string &Key) {
  if (!Object.is_object() || !hasString(Object, "value") ||
      !hasString(Object, "write_id") || !Object.contains("version") ||
      !Object["version"].is_number_unsigned())
    return malformed();
  TableRow Row;
  Row.Key = hasString(Object, "key") ? Object["key"].get<std::string>() : Key;
  Row.Value = Object["value"].get<std::string>();
  Row.Version = Object["version"].get<std::uint64_t>();
  Row.WriteId = Object["write_id"].get<std::string>();
  return Row;
}

Result<std::vector<TableRow>> readRows(const std::string &Body) {
  const Json Reply = Json::parse(Body, nullptr, false);
  if (!Reply.is_object() || !Reply.contains("rows") ||
      !Reply["rows"].is_array())
    return malformed();
  std::vector<TableRow> Rows;
  for (const Json &Entry : Reply["rows"]) {
    Result<TableRow> Row = readRow(Entry, "");
    if (!Row || Row->Key.empty())
      return malformed();
    Rows.push_back(std::move(*Row));
  }
  return Rows;
}

} // namespace

HttpTable::HttpTable(HttpClient &Client, std::string Address)
    : Client(Client), Address(std::move(Address)) {}

void HttpTable::transact(TableTransaction Transaction, TransactCallback Done) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = "/table/transact";
  Request.Headers = {{"Content-Type", "application/json"}};
  Result<std::string> Body = toBody(Transaction);
  if (!Body) {
    Done(tl::make_unexpected(Body.error()));
    return;
  }
  Request.Body = std::move(*Body);
  callPlatform(this->Client, this->Address, std::move(Request),
               [Done = std::move(Done)](const Result<std::string> &Body) {
                 if (Body)
                   Done({});
                 else
                   Done(tl::make_unexpected(Body.error()));
               });
}

void HttpTable::get(std::string Key, GetCallback Done) {
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = "/table/get";
  Request.Query = "key=" + percentEncode(Key);
  callPlatform(this->Client, this->Address, std::move(Request),
               [Key = std::move(Key),
                Done = std::move(Done)](const Result<std::string> &Body) {
                 Done(Body ? readRow(Json::parse(*Body, nullptr, false), Key)
                           : tl::make_unexpected(Body.error()));
               });
}

void HttpTable::scan(std::string Prefix, std::string After, std::size_t Limit,
                     ScanCallback Done) {
  HttpRequest Request;
  Request.Method = "GET";
  Request.Path = "/table/scan";
  Request.Query = "prefix=" + percentEncode(Prefix) +
                  "&after=" + percentEncode(After) +
                  "&limit=" + std::to_string(Limit);
  callPlatform(this->Client, this->Address, std::move(Request),
               [Done = std::move(Done)](const Result<std::string> &Body) {
                 Done(Body ? readRows(*Body)
                           : tl::make_unexpected(Body.error()));
               });
}

} // namespace turmericpass
