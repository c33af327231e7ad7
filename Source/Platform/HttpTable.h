#ifndef TURMERICPASS_PLATFORM_HTTPTABLE_H
#define TURMERICPASS_PLATFORM_HTTPTABLE_H

#include "Platform/Table.h"

namespace turmericpass {

class HttpClient;

/// Table over the table service's HTTP interface. Reads also fail as Malformed
/// when the reply is not what the interface says. A transaction with text that
/// is not UTF-8 fails at once as InvalidArgument.
class HttpTable : public Table {
public:
  /// \p Address is "ip:port".
  HttpTable(HttpClient &Client, std::string Address);

  void transact(TableTransaction Transaction, TransactCallback Done) override;
  void get(std::string Key, GetCallback Done) override;
  void scan(std::string Prefix, std::string After, std::size_t Limit,
            ScanCallback Done) override;

private:
  HttpClient &Client;
  std::string Address;
};

} // namespace turmericpass

#endif
