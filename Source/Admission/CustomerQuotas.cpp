#include "Admission/CustomerQuotas.h"

#include "Settings/FleetSettings.h"

#include <algorithm>

namespace turmericpass {

namespace {

/// The burst that an idle customer may send, in seconds of its quota: a web
/// page or a client library sends several requests at the same time.
constexpr double BurstSeconds = 2;

} // namespace

void CustomerQuotas::configure(const FleetSettings &NewSettings,
                               std::size_t Gateways) {
  this->Settings = &NewSettings;
  const auto Count = static_cast<double>(std::max<std::size_t>(Gateways, 1));
  this->Share = std::min(1.0, OvercommitFactor / Count);
  const Instant Now = this->Time.now();
  for (auto Entry = this->ByCustomer.begin();
       Entry != this->ByCustomer.end();) {
    if (!NewSettings.Customers.count(Entry->first)) {
      Entry = this->ByCustomer.erase(Entry);
      continue;
    }
    const CustomerSettings &Quota = NewSettings.Customers.at(Entry->first);
    const double Requests = Quota.RequestsPerSecond * this->Share;
    const double Tokens = Quota.TokensPerSecond * this->Share;
    Entry->second.Requests.configure(
        Requests, std::max(1.0, Requests * BurstSeconds), Now);
    Entry->second.Tokens.configure(Tokens, std::max(1.0, Tokens * BurstSeconds),
                                   Now);
    ++Entry;
  }
}

CustomerQuotas::Buckets *CustomerQuotas::find(const std::string &Customer) {
  if (const auto Known = this->ByCustomer.find(Customer);
      Known != this->ByCustomer.end())
    return &Known->second;
  if (!this->Settings)
    return nullptr;
  const auto Quota = this->Settings->Customers.find(Customer);
  if (Quota == this->Settings->Customers.end())
    return nullptr;
  Buckets &NewBuckets = this->ByCustomer[Customer];
  const Instant Now = this->Time.now();
  const double Requests = Quota->second.RequestsPerSecond * this->Share;
  const double Tokens = Quota->second.TokensPerSecond * this->Share;
  NewBuckets.Requests.configure(Requests,
                                std::max(1.0, Requests * BurstSeconds), Now);
  NewBuckets.Tokens.configure(Tokens, std::max(1.0, Tokens * BurstSeconds),
                              Now);
  return &NewBuckets;
}

Duration CustomerQuotas::tryAdmit(const std::string &Customer, double Tokens) {
  Buckets *Limits = this->find(Customer);
  if (!Limits)
    return Duration{0};
  const Instant Now = this->Time.now();
  const Duration Wait = std::max(Limits->Requests.timeUntilAvailable(Now),
                                 Limits->Tokens.timeUntilAvailable(Now));
  if (Wait > Duration{0})
    return Wait;
  Limits->Requests.take(1, Now);
  Limits->Tokens.take(Tokens, Now);
  return Duration{0};
}

void CustomerQuotas::adjustCharge(const std::string &Customer, double Reserved,
                                  double Used) {
  if (Buckets *Limits = this->find(Customer))
    Limits->Tokens.adjust(Reserved - Used, this->Time.now());
}

void CustomerQuotas::refundRequest(const std::string &Customer, double Tokens) {
  if (Buckets *Limits = this->find(Customer)) {
    Limits->Requests.adjust(1, this->Time.now());
    Limits->Tokens.adjust(Tokens, this->Time.now());
  }
}

} // namespace turmericpass
