#ifndef TURMERICPASS_PLATFORM_HTTPWEIGHTSTORE_H
#define TURMERICPASS_PLATFORM_HTTPWEIGHTSTORE_H

#include "Platform/WeightStore.h"

namespace turmericpass {

class HttpClient;

/// Implements WeightStore over the weight store's HTTP interface.
class HttpWeightStore : public WeightStore {
public:
  /// \p Address is "ip:port".
  HttpWeightStore(HttpClient &Client, std::string Address);

  void get(std::string Name, GetCallback Done) override;

private:
  HttpClient &Client;
  std::string Address;
};

} // namespace turmericpass

#endif
