#include "BatchJobs/ItemRequest.h"

namespace turmericpass {

namespace {

/// The remaining time that servers are told. No caller waits for an item, so
/// the value is generous.
constexpr std::string_view ItemRemainingMs = "60000";

constexpr Duration ItemConnectTimeout = std::chrono::milliseconds(400);

/// Returns whether the system sets the header \p Name of an item's request, so
/// that a value of the item must not contradict it.
bool isSetBySystem(std::string_view Name, const BackendProtocol &Protocol) {
  return isHopByHop(Name) || equalsIgnoringCase(Name, "Content-Length") ||
         equalsIgnoringCase(Name, "Host") ||
         equalsIgnoringCase(Name, Protocol.RequestId) ||
         equalsIgnoringCase(Name, Protocol.ExpectedServer) ||
         equalsIgnoringCase(Name, Protocol.RemainingMs) ||
         equalsIgnoringCase(Name, Protocol.LastEventId);
}

} // namespace

Result<void> checkItem(const JobItem &Item) {
  if (!isVisibleText(Item.Id))
    return failure(ErrorCode::InvalidArgument,
                   "The id of an item must consist of visible characters.");
  const std::string Name = "Item " + Item.Id;
  if (!Item.Target.starts_with('/') || !isVisibleText(Item.Target))
    return failure(ErrorCode::InvalidArgument,
                   Name + ": the path must begin with a slash and consist of "
                          "visible characters.");
  for (const auto &[Header, Value] : Item.Headers)
    if (!isHeaderLine(Header, Value))
      return failure(ErrorCode::InvalidArgument,
                     Name + ": a header must have a token as its name and no "
                            "control characters in its value.");
  return {};
}

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
        !isSetBySystem(Header.first, Protocol))
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
