#ifndef TURMERICPASS_PLATFORM_HTTPVMLIST_H
#define TURMERICPASS_PLATFORM_HTTPVMLIST_H

#include "Platform/VmList.h"

namespace turmericpass {

class HttpClient;

/// Implements VmList over the platform's HTTP interface. A VM whose state is
/// not recognised is treated as leaving, so that it is assigned no new work.
class HttpVmList : public VmList {
public:
  /// \p Address is "ip:port".
  HttpVmList(HttpClient &Client, std::string Address);

  void list(ListCallback Done) override;

private:
  HttpClient &Client;
  std::string Address;
};

} // namespace turmericpass

#endif
