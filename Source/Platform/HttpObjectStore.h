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

  void put(std::string Name, std::string Bytes, PutDone Done) override;
  void get(std::string Name, GetDone Done) override;
  void remove(std::string Name, PutDone Done) override;

private:
  HttpClient &Client;
  std::string Address;
};

} // namespace turmericpass

#endif
