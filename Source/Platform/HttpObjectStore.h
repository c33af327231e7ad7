#ifndef TURMERICPASS_PLATFORM_HTTPOBJECTSTORE_H
#define TURMERICPASS_PLATFORM_HTTPOBJECTSTORE_H

#include "Platform/ObjectStore.h"

namespace turmericpass {

class HttpClient;

/// ObjectStore over the object store's HTTP interface. A name is one path
/// segment, so its slashes are encoded too.
class HttpObjectStore : public ObjectStore {
public:
  /// \p Address is "ip:port".
  HttpObjectStore(HttpClient &Client, std::string Address);

  void put(std::string Name, std::string Bytes, PutCallback Done) override;
  void get(std::string Name, GetCallback Done) override;
  void remove(std::string Name, PutCallback Done) override;

private:
  HttpClient &Client;
  std::string Address;
};

} // namespace turmericpass

#endif
