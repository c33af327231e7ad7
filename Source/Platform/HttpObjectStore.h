#ifndef TURMERICPASS_PLATFORM_HTTPOBJECTSTORE_H
#define TURMERICPASS_PLATFORM_HTTPOBJECTSTORE_H

#include "Platform/ObjectStore.h"

namespace turmericpass {

class HttpClient;

/// Implements ObjectStore over the object store's HTTP interface. An object
/// name is sent as a single path segment, so slashes in it are percent-encoded.
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
