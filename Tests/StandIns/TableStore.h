#ifndef TURMERICPASS_TESTS_STANDINS_TABLESTORE_H
#define TURMERICPASS_TESTS_STANDINS_TABLESTORE_H

#include "Http/HttpTypes.h"

#include <cstdint>
#include <map>
#include <string>

namespace turmericpass {

/// The rows of the platform's transactional table, in memory.
class TableStore {
public:
  /// Handles POST /table/transact, GET /table/get and GET /table/scan.
  HttpReply handle(const HttpRequest &Request);

  std::size_t rows() const { return this->Rows.size(); }

private:
  struct Row {
    std::string Value;
    std::uint64_t Version = 0;
    std::string WriteId;
  };

  HttpReply transact(const std::string &Body);
  HttpReply get(const std::string &Key) const;
  HttpReply scan(const std::string &Query) const;

  std::map<std::string, Row> Rows;
  /// Shared by all rows, so that a row that was deleted and put again does
  /// not get a version that it had before.
  std::uint64_t LastVersion = 0;
};

} // namespace turmericpass

#endif
