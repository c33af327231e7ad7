#include "Serving/OnlineRequest.h"

#include "Core/Hash.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace turmericpass {

namespace {

/// The time limit for a new connection to a server. The latency between zones
/// is one or two milliseconds. A lost first packet is retransmitted only after
/// a second.
constexpr Duration ConnectTime = std::chrono::milliseconds(400);

} // namespace

OnlineCall makeOnlineCall(CallerId Caller, RawRequest Request,
                          const RouteSettings &Route, CallerIdentity Identity,
                          const BackendProtocol &Protocol, Instant Now) {
  OnlineCall Call;
  Call.Caller = Caller;
  Call.Request = std::move(Request);
  Call.Route = Route;
  if (Identity.Priority)
    Call.Route.Priority = *Identity.Priority;
  if (Identity.IsChecked)
    std::erase_if(Call.Request.Headers, [&](const auto &Header) {
      return Protocol.identifiesCaller(Header.first);
    });
  Call.Identity = std::move(Identity);
  const HttpHeaders &Headers = Call.Request.Headers;
  Call.RequestId = rawHeader(Headers, Protocol.RequestId);
  Call.Service = pickService(Route, hash64(Call.RequestId));
  Call.Suspects = makeCrashSuspects(Call.Request.Target, Call.Request.Body,
                                    rawHeader(Headers, Protocol.PromptParts));
  Call.ArrivedAt = Now;
  Call.Deadline = Now + Route.Timeout;
  if (const auto LimitMs =
          parseHeaderNumber(rawHeader(Headers, Protocol.RemainingMs)))
    Call.CallerTimeLimit = std::chrono::milliseconds(*LimitMs);
  if (Call.CallerTimeLimit)
    Call.Deadline = std::min(Call.Deadline, Now + *Call.CallerTimeLimit);
  if (const auto LastId =
          parseHeaderNumber(rawHeader(Headers, Protocol.LastEventId)))
    Call.LastEventId = static_cast<std::uint64_t>(*LastId);
  return Call;
}

BackendRequest makeOnlineRequest(const OnlineCall &Call,
                                 const std::string &Server,
                                 const std::string &Address,
                                 const BackendProtocol &Protocol, Instant Now) {
  BackendRequest Order;
  Order.Address = Address;
  Order.ConnectTime = ConnectTime;
  Order.EchoHeader = Protocol.RequestId;
  Order.EchoValue = Call.RequestId;
  Order.Request.Method = Call.Request.Method;
  Order.Request.Target = Call.Request.Target;
  Order.Request.Body = Call.Request.Body;
  for (const auto &[Name, Value] : Call.Request.Headers)
    if (!isHopByHop(Name) && !equalsIgnoringCase(Name, "Content-Length") &&
        !equalsIgnoringCase(Name, Protocol.RemainingMs) &&
        !equalsIgnoringCase(Name, Protocol.LastEventId) &&
        !equalsIgnoringCase(Name, Protocol.ExpectedServer))
      Order.Request.Headers.emplace_back(Name, Value);
  const Duration Remaining = Call.Deadline - Now;
  Order.Request.Headers.emplace_back(
      Protocol.RemainingMs,
      std::to_string(std::max<std::int64_t>(1, Remaining.count() / 1000)));
  Order.Request.Headers.emplace_back(Protocol.ExpectedServer, Server);
  if (!Call.Identity.Organisation.empty())
    Order.Request.Headers.emplace_back(Protocol.Organisation,
                                       Call.Identity.Organisation);
  if (Call.LastEventId)
    Order.Request.Headers.emplace_back(Protocol.LastEventId,
                                       std::to_string(*Call.LastEventId));
  return Order;
}

std::optional<std::int64_t> parseHeaderNumber(std::string_view Text) {
  std::int64_t Number = 0;
  const char *End = Text.data() + Text.size();
  if (Text.empty() || std::from_chars(Text.data(), End, Number).ptr != End ||
      Number < 0)
    return std::nullopt;
  return Number;
}

std::string formatSeconds(Duration Value) {
  std::string Text = std::to_string(toMillis(Value) / 1000.0);
  return Text.substr(0, Text.find('.') + 3);
}

} // namespace turmericpass
