#include "Serving/ServingSettings.h"

#include "Core/EnumTable.h"

namespace turmericpass {

namespace {

constexpr auto RequestKindNames = makeEnumTable<RequestKind>({
    {RequestKind::Idempotent, "idempotent"},
    {RequestKind::AtMostOnce, "at_most_once"},
    {RequestKind::Stream, "stream"},
    {RequestKind::Batch, "batch"},
});

/// The number of distinct positions to which a key is mapped within the sum of
/// the weights.
constexpr std::uint64_t WeightSteps = 1U << 20U;

std::string_view withoutPort(std::string_view Host) {
  return Host.substr(0, Host.find(':'));
}

} // namespace

std::string_view toName(RequestKind Kind) {
  return RequestKindNames.nameOf(Kind);
}

const RouteSettings *findRoute(const ServingSettings &Settings,
                               std::string_view Host, std::string_view Target) {
  const std::string_view Name = withoutPort(Host);
  const std::string_view Path = Target.substr(0, Target.find('?'));
  const RouteSettings *Best = nullptr;
  for (const RouteSettings &Route : Settings.Routes)
    if (Path.starts_with(Route.PathPrefix) &&
        equalsIgnoringCase(Route.Host, Name) &&
        (!Best || Route.PathPrefix.size() > Best->PathPrefix.size()))
      Best = &Route;
  return Best;
}

std::string_view pickService(const RouteSettings &Route, std::uint64_t Key) {
  double Total = 0;
  for (const ServiceShare &Share : Route.Services)
    Total += Share.Weight;
  double Position =
      Total * static_cast<double>(Key % WeightSteps) / double(WeightSteps);
  for (const ServiceShare &Share : Route.Services) {
    if (Position < Share.Weight)
      return Share.Service;
    Position -= Share.Weight;
  }
  return Route.Services.empty()
             ? std::string_view()
             : std::string_view(Route.Services.back().Service);
}

} // namespace turmericpass
