#ifndef TURMERICPASS_CONTROLLER_HTTPORDERPORT_H
#define TURMERICPASS_CONTROLLER_HTTPORDERPORT_H

#include "Controller/OrderPort.h"

namespace turmericpass {

class HttpClient;

/// OrderPort over the engines' HTTP interface: the optional field "models" of
/// GET /load, and POST /orders.
class HttpOrderPort : public OrderPort {
public:
  explicit HttpOrderPort(HttpClient &Client) : Client(Client) {}

  void observe(const std::string &Address, ObserveDone Done) override;
  void send(const std::string &Address, const FleetOrder &Order,
            SendDone Done) override;

private:
  HttpClient &Client;
};

} // namespace turmericpass

#endif
