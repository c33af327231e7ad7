#include "Admission/CustomerQuotas.h"
#include "Admission/PromptShape.h"
#include "Settings/FleetSettings.h"

#include <criterion/criterion.h>

using namespace turmericpass;
using namespace std::chrono_literals;

namespace {

struct QuotaFixture {
  ManualClock Time;
  FleetSettings Settings;
  CustomerQuotas Quotas{Time};

  QuotaFixture(double Requests, double Tokens, std::size_t Gateways) {
    CustomerSettings Customer;
    Customer.Name = "c";
    Customer.RequestsPerSecond = Requests;
    Customer.TokensPerSecond = Tokens;
    this->Settings.Customers["c"] = Customer;
    this->Quotas.configure(this->Settings, Gateways);
  }

  /// Counts the requests that are admitted in \p Seconds at ten tries per
  /// second.
  int countAdmitted(int Seconds, double Tokens) {
    int Count = 0;
    for (int I = 0; I < Seconds * 10; ++I) {
      this->Time.advance(100ms);
      Count += this->Quotas.tryAdmit("c", Tokens) == Duration{0} ? 1 : 0;
    }
    return Count;
  }
};

} // namespace

Test(CustomerQuotas, RequestsPerSecondHoldOverTime) {
  QuotaFixture Fixture(2, 1e9, 1);
  const int Count = Fixture.countAdmitted(60, 1);
  cr_assert(Count >= 120 && Count <= 125, "%d", Count);
}

// Guards against each of twelve gateways granting the whole quota.
Test(CustomerQuotas, GatewaysShareTheQuota) {
  QuotaFixture Fixture(12, 1e9, 12);
  const int Count = Fixture.countAdmitted(60, 1);
  cr_assert(Count * 12 <= 12 * 60 * CustomerQuotas::OvercommitFactor + 12 * 4,
            "%d", Count);
  cr_assert(Count * 12 >= 12 * 60, "%d", Count);
}

// Guards against charging a customer for the maximum answer length that its
// requests allow instead of the length of the answers.
Test(CustomerQuotas, UnusedTokensAreGivenBack) {
  QuotaFixture Fixture(1e6, 100, 1);
  cr_assert(Fixture.Quotas.tryAdmit("c", 1000) == Duration{0});
  const Duration Wait = Fixture.Quotas.tryAdmit("c", 1);
  cr_assert(Wait >= 8s && Wait < 9s);
  Fixture.Quotas.adjustCharge("c", 1000, 50);
  cr_assert(Fixture.Quotas.tryAdmit("c", 1) == Duration{0});
  Fixture.Quotas.adjustCharge("c", 1, 5000);
  cr_assert(Fixture.Quotas.tryAdmit("c", 1) > 40s);
}

// Guards against a large request that is never admitted, however long the
// caller waits.
Test(CustomerQuotas, RequestLargerThanTheBucketIsServed) {
  QuotaFixture Fixture(10, 10, 1);
  cr_assert(Fixture.Quotas.tryAdmit("c", 4096) == Duration{0});
  Fixture.Time.advance(Fixture.Quotas.tryAdmit("c", 4096));
  cr_assert(Fixture.Quotas.tryAdmit("c", 4096) == Duration{0});
}

// Guards against estimates that count the bytes of Korean text.
Test(PromptShape, KoreanCharactersCountOnceEach) {
  cr_assert(estimateTokens("\xEB\xA0\x88\xEC\x9D\xB4") == 2);
  cr_assert(estimateTokens("eight ch") == 2);
}

Test(PromptShape, FingerprintsTellPartsApart) {
  cr_assert(computeFingerprint("a", "bc", "/", "x") !=
            computeFingerprint("ab", "c", "/", "x"));
  cr_assert(hashPrefixBlocks(std::string(100'000, 'x')).size() == 64);
}
