#include "BatchJobs/ItemRequest.h"

namespace turmericpass {

namespace {

/// The remaining time that servers are told. No caller waits for an item, so
/// the value is generous.
constexpr std::string_view ItemRemainingMs = "60000";

constexpr Duration ItemConnectTimeout = std::chrono::milliseconds(400);

} // namespace

BackendRequest makeItemRequest(const JobMetadata &Metadata, const ItemRun &Run,
                               const ServerEntry &Server,
                               const BackendProtocol &Protocol,
                               bool HasOrganisations) {
  BackendRequest Order;
  Order.Address = Server.Address;
  Order.ConnectTime = ItemConnectTimeout;
  Order.EchoHeader = Protocol.RequestId;
  Order.EchoValue = Run.Item.Id;
  Order.Request.Method = "POST";
  Order.Request.Target = Run.Item.Target;
  Order.Request.Body = Run.Item.Body;
  Order.Request.Headers = {
      {"Host", Metadata.Host},
      {Protocol.RequestId, Run.Item.Id},
      {Protocol.ExpectedServer, Server.Id},
      {Protocol.RemainingMs, std::string(ItemRemainingMs)}};
  const bool IsChecked = HasOrganisations || !Metadata.Organisation.empty();
  for (const auto &Header : Run.Item.Headers)
    if (!(IsChecked && Protocol.identifiesCaller(Header.first)) &&
        !isHopByHop(Header.first) &&
        !equalsIgnoringCase(Header.first, "Content-Length") &&
        !equalsIgnoringCase(Header.first, "Host"))
      Order.Request.Headers.push_back(Header);
  if (!Metadata.Organisation.empty())
    Order.Request.Headers.emplace_back(Protocol.Organisation,
                                       Metadata.Organisation);
  if (Run.LastEventId)
    Order.Request.Headers.emplace_back(Protocol.LastEventId,
                                       std::to_string(*Run.LastEventId));
  return Order;
}

} // namespace turmericpass
