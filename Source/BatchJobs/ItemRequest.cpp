#include "BatchJobs/ItemRequest.h"

namespace turmericpass {

namespace {

/// The remaining time that servers are told. No caller waits for an item, so
/// the value is generous.
constexpr std::string_view ItemRemainingMs = "60000";

constexpr Duration ConnectTime = std::chrono::milliseconds(400);

} // namespace

SendOrder makeItemRequest(const JobHead &Head, const ItemRun &Run,
                          const ServerEntry &Server,
                          const BackendDialect &Dialect) {
  SendOrder Order;
  Order.Address = Server.Address;
  Order.ConnectTime = ConnectTime;
  Order.EchoHeader = Dialect.RequestId;
  Order.EchoValue = Run.Item.Id;
  Order.Request.Method = "POST";
  Order.Request.Target = Run.Item.Target;
  Order.Request.Body = Run.Item.Body;
  Order.Request.Headers = {{"Host", Head.Host},
                           {Dialect.RequestId, Run.Item.Id},
                           {Dialect.ExpectedServer, Server.Id},
                           {Dialect.RemainingMs, std::string(ItemRemainingMs)}};
  for (const auto &Header : Run.Item.Headers)
    if (!isHopByHop(Header.first) &&
        !equalsIgnoringCase(Header.first, "Content-Length") &&
        !equalsIgnoringCase(Header.first, "Host"))
      Order.Request.Headers.push_back(Header);
  if (Run.LastEvent)
    Order.Request.Headers.emplace_back(Dialect.LastEventId,
                                       std::to_string(*Run.LastEvent));
  return Order;
}

} // namespace turmericpass
