#include "Serving/OnlineRequest.h"
#include "Support/OnlineBench.h"

#include <criterion/criterion.h>

using namespace turmericpass;

namespace {

/// Returns the values of all headers \p Name of the last send.
std::vector<std::string> sentValues(const OnlineBench &Bench,
                                    std::string_view Name) {
  std::vector<std::string> Values;
  for (const auto &[Each, Value] :
       Bench.Channels.All.back().Order.Request.Headers)
    if (equalsIgnoringCase(Each, Name))
      Values.push_back(Value);
  return Values;
}

const HttpHeaders ForgedHeaders = {{"authorization", "Bearer secret"},
                                   {"Organisation", "forged"},
                                   {"ORGANISATION", "forged too"}};

} // namespace

// Guards against a key that reaches a server, and against a caller that speaks
// for another organisation by its own header, also in a second attempt.
Test(CallerIdentity, ServerGetsTheOrganisationAndNoKey) {
  OnlineBench Bench;
  Bench.Identity = {true, "acme", {}};
  Bench.MoreHeaders = ForgedHeaders;
  Bench.start(1, RequestKind::Idempotent);
  Bench.Channels.fail(1, SendFailure::Unanswered);
  cr_assert_eq(Bench.Channels.All.size(), 2);
  for (const FakeChannels::Sent &Each : Bench.Channels.All)
    for (const auto &[Name, Value] : Each.Order.Request.Headers)
      cr_assert_eq(Value.find("secret"), std::string::npos);
  cr_assert(sentValues(Bench, "Authorization").empty());
  cr_assert(sentValues(Bench, "Organisation") ==
            std::vector<std::string>{"acme"});
}

// Guards against a server that takes the header of a caller without a known key
// for one of this VM.
Test(CallerIdentity, UnknownCallerOfPublicRouteHasNoOrganisation) {
  OnlineBench Bench;
  Bench.Identity = {true, "", {}};
  Bench.MoreHeaders = ForgedHeaders;
  Bench.start(1, RequestKind::Idempotent);
  cr_assert(sentValues(Bench, "Authorization").empty());
  cr_assert(sentValues(Bench, "Organisation").empty());
}

// Guards against a change for deployments without organisations, whose servers
// may check keys themselves.
Test(CallerIdentity, HeadersPassUnchangedWithoutOrganisations) {
  OnlineBench Bench;
  Bench.MoreHeaders = ForgedHeaders;
  Bench.start(1, RequestKind::Idempotent);
  cr_assert(sentValues(Bench, "Authorization") ==
            std::vector<std::string>{"Bearer secret"});
  cr_assert_eq(sentValues(Bench, "Organisation").size(), 2);
}

// Guards against a priority of an organisation that has no effect, or that
// replaces the priority of the route for other callers.
Test(CallerIdentity, PriorityOfTheOrganisationComesFirst) {
  const BackendProtocol Protocol;
  RouteSettings Route;
  Route.Priority = 2;
  const auto PriorityWith = [&](std::optional<int> Priority) {
    return makeOnlineCall(1, {}, Route, {true, "acme", Priority}, Protocol, {})
        .Route.Priority;
  };
  cr_assert_eq(PriorityWith(0), 0);
  cr_assert_eq(PriorityWith({}), 2);
  cr_assert_eq(Route.Priority, 2);
}
