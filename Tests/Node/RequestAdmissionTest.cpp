#include "Node/RequestAdmission.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

/// Requests to "/job" concern a job. All others need a route.
struct JobPathCodec : public JobCallCodec {
  std::optional<JobCall> parseCall(const RawRequest &Request) const override {
    return Request.Target == "/job" ? std::optional(JobCall()) : std::nullopt;
  }
  Result<std::vector<JobItem>>
  parseSubmission(const RawRequest &) const override {
    return std::vector<JobItem>();
  }
  std::string formatResults(std::uint64_t, std::uint64_t,
                            const std::vector<ItemResult> &) const override {
    return {};
  }
  std::string contentType() const override { return {}; }
};

struct AdmissionBench {
  BackendProtocol Protocol;
  JobPathCodec Codec;
  ServingSettings Settings;
  OrganisationDirectory Organisations;
  bool SettingsKnown = true;
  bool MayUseKeys = true;
  /// The time after which this VM ends.
  Duration TimeLeft = 1h;
  RequestAdmission Admission{
      {this->Protocol, this->Codec, this->Organisations,
       [this] { return this->SettingsKnown ? &this->Settings : nullptr; },
       [this] { return this->MayUseKeys; },
       [this](Duration Time) { return Time > this->TimeLeft; },
       [this](const OrganisationSettings &) {
         ++this->CountedRequests;
         return this->RetryDelay;
       }}};
  /// The answer of the limit.
  std::optional<Duration> RetryDelay;
  int CountedRequests = 0;

  explicit AdmissionBench(bool HasOrganisations = true) {
    this->Protocol.Authorization = "Authorization";
    this->Protocol.KeyScheme = "Bearer";
    this->Protocol.RemainingMs = "Remaining";
    RouteSettings Route;
    Route.Host = "h";
    Route.PathPrefix = "/r/";
    this->Settings.Routes.push_back(Route);
    Route.PathPrefix = "/public/";
    Route.Public = true;
    this->Settings.Routes.push_back(Route);
    if (HasOrganisations)
      this->Organisations.replace({{"acme", {"key one"}, 3, 0, 0}});
  }

  tl::expected<AdmittedRequest, RequestRefusal>
  decide(const char *Target, HttpHeaders Headers = {}) {
    RawRequest Request;
    Request.Target = Target;
    Headers.emplace_back("Host", "h");
    Request.Headers = std::move(Headers);
    return this->Admission.decide(Request);
  }
  /// Returns the status of the refusal, or 0 if there is none.
  int status(const char *Target, HttpHeaders Headers = {}) {
    const auto Decision = this->decide(Target, std::move(Headers));
    return Decision ? 0 : Decision.error().Status;
  }
};

const HttpHeaders GoodKey = {{"Authorization", "Bearer key one"}};
const HttpHeaders BadKey = {{"Authorization", "Bearer key two"}};

} // namespace

// Guards against requests that run without a key that is known.
Test(RequestAdmission, OnlyKnownKeysAreAccepted) {
  AdmissionBench Bench;
  cr_assert_eq(Bench.status("/r/x", GoodKey), 0);
  cr_assert_eq(Bench.status("/r/x", {{"AUTHORIZATION", "bearer  key one"}}), 0);
  cr_assert_eq(Bench.status("/r/x"), 401);
  cr_assert_eq(Bench.status("/r/x", BadKey), 401);
  for (const char *Value :
       {"", "Bearer", "Bearer ", "key one", "Basic key one", "Bearerkey one",
        "Bearer key", "Bearer key onex", "Bearer KEY ONE"})
    cr_assert_eq(Bench.status("/r/x", {{"Authorization", Value}}), 401, "%s",
                 Value);
  cr_assert_eq(Bench.status("/r/x", {GoodKey[0], BadKey[0]}), 401);
  cr_assert_eq(Bench.status("/r/x", {BadKey[0], GoodKey[0]}), 401);
}

// Guards against calls on jobs that need no key because they have no route.
Test(RequestAdmission, JobCallsNeedAKey) {
  AdmissionBench Bench;
  cr_assert_eq(Bench.status("/job"), 401);
  cr_assert_eq(Bench.status("/job", BadKey), 401);
  const auto Admitted = Bench.decide("/job", GoodKey);
  cr_assert(Admitted && Admitted->Call && !Admitted->Route);
  cr_assert_str_eq(Admitted->Identity.Organisation.c_str(), "acme");
}

// Guards against public routes that need a key, or on which a known key does
// not identify the caller.
Test(RequestAdmission, PublicRoutesNeedNoKey) {
  AdmissionBench Bench;
  for (const HttpHeaders &Headers : {HttpHeaders(), BadKey}) {
    const auto Admitted = Bench.decide("/public/x", Headers);
    cr_assert(Admitted);
    cr_assert(Admitted->Identity.IsChecked);
    cr_assert(Admitted->Identity.Organisation.empty());
    cr_assert_null(Admitted->Organisation);
  }
  const auto Admitted = Bench.decide("/public/x", GoodKey);
  cr_assert_str_eq(Admitted->Identity.Organisation.c_str(), "acme");
  cr_assert_eq(Admitted->Identity.Priority, 3);
}

// Guards against a change for deployments without organisations.
Test(RequestAdmission, NoKeyIsNeededWithoutOrganisations) {
  AdmissionBench Bench(false);
  Bench.MayUseKeys = false;
  for (const char *Target : {"/r/x", "/public/x", "/job"})
    for (const HttpHeaders &Headers : {HttpHeaders(), BadKey}) {
      const auto Admitted = Bench.decide(Target, Headers);
      cr_assert(Admitted);
      cr_assert_not(Admitted->Identity.IsChecked);
    }
}

// Guards against another order of the checks, which tells callers without a key
// more than they may know, or sends callers to other VMs in vain.
Test(RequestAdmission, ChecksAreMadeInTheirOrder) {
  AdmissionBench Bench;
  Bench.TimeLeft = 0ms;
  Bench.MayUseKeys = false;
  Bench.SettingsKnown = false;
  cr_assert_eq(Bench.status("/none"), 503);
  Bench.SettingsKnown = true;
  cr_assert_eq(Bench.status("/none", BadKey), 404);
  cr_assert_eq(Bench.status("/r/x", BadKey), 503);
  Bench.MayUseKeys = true;
  cr_assert_eq(Bench.status("/r/x", BadKey), 401);
  const auto Decision = Bench.decide("/r/x", GoodKey);
  cr_assert_eq(Decision.error().Status, 503);
  cr_assert_eq(Decision.error().RetryAfter, "0");
  Bench.TimeLeft = 1h;
  cr_assert_eq(Bench.status("/r/x", GoodKey), 0);
}

// Guards against a VM that accepts keys that may have been removed, and against
// one that refuses requests that need none.
Test(RequestAdmission, OnlyPublicRoutesAreServedWhenKeysMayNotBeUsed) {
  AdmissionBench Bench;
  Bench.MayUseKeys = false;
  const auto Decision = Bench.decide("/r/x", GoodKey);
  cr_assert_eq(Decision.error().Status, 503);
  cr_assert_neq(Decision.error().RetryAfter, "");
  cr_assert_eq(Bench.status("/job", GoodKey), 503);
  const auto Admitted = Bench.decide("/public/x", GoodKey);
  cr_assert(Admitted && Admitted->Identity.Organisation.empty());
}

// Guards against requests that a stopping VM takes although they may outlast
// it: the limit of the caller or of the route decides, whichever is shorter.
Test(RequestAdmission, StoppingVmTakesShortRequestsOnly) {
  AdmissionBench Bench;
  Bench.TimeLeft = 3s;
  const HttpHeaders Short = {GoodKey[0], {"Remaining", "2000"}};
  const HttpHeaders Long = {GoodKey[0], {"Remaining", "4000"}};
  cr_assert_eq(Bench.status("/r/x", GoodKey), 503);
  cr_assert_eq(Bench.status("/r/x", Long), 503);
  cr_assert_eq(Bench.status("/r/x", Short), 0);
  Bench.Settings.Routes[0].Timeout = 1s;
  cr_assert_eq(Bench.status("/r/x", Long), 0);
  Bench.TimeLeft = 2400ms;
  cr_assert_eq(Bench.status("/job", GoodKey), 503);
}

// Guards against requests over the limit that are served, and against a limit
// that applies to job calls, to submissions, to callers without an organisation
// or to requests that are refused for another reason.
Test(RequestAdmission, LimitAppliesToServedRequestsOfOrganisations) {
  AdmissionBench Bench;
  RouteSettings Batch;
  Batch.Host = "h";
  Batch.PathPrefix = "/batch/";
  Batch.Kind = RequestKind::Batch;
  Bench.Settings.Routes.push_back(Batch);
  Bench.RetryDelay = 1250ms;
  const auto Decision = Bench.decide("/r/x", GoodKey);
  cr_assert_not(Decision);
  cr_assert_eq(Decision.error().Status, 429);
  cr_assert_str_eq(Decision.error().RetryAfter.c_str(), "1.25");
  cr_assert_eq(Bench.status("/public/x", GoodKey), 429);
  cr_assert_eq(Bench.CountedRequests, 2);
  cr_assert_eq(Bench.status("/r/x", BadKey), 401);
  cr_assert_eq(Bench.status("/none/x", GoodKey), 404);
  cr_assert_eq(Bench.status("/job", GoodKey), 0);
  cr_assert_eq(Bench.status("/batch/x", GoodKey), 0);
  cr_assert_eq(Bench.status("/public/x"), 0);
  Bench.TimeLeft = Duration(0);
  cr_assert_eq(Bench.status("/r/x", GoodKey), 503);
  cr_assert_eq(Bench.CountedRequests, 2);
}
