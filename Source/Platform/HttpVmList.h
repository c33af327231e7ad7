#ifndef TURMERICPASS_PLATFORM_HTTPVMLIST_H
#define TURMERICPASS_PLATFORM_HTTPVMLIST_H

#include "Platform/VmList.h"

namespace turmericpass {

class HttpClient;

/// VmList over the platform's HTTP interface. Entries with a state that is
/// unknown here count as leaving, so that they get no new work.
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
