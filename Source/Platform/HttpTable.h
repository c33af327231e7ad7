#ifndef TURMERICPASS_PLATFORM_HTTPTABLE_H
#define TURMERICPASS_PLATFORM_HTTPTABLE_H

#include "Platform/Table.h"

namespace turmericpass {

class HttpClient;

/// Implements Table over the table service's HTTP interface. Reads also fail
/// with Malformed if the reply does not conform to the interface. A transaction
/// with text that is not valid UTF-8 fails immediately with InvalidArgument.
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
