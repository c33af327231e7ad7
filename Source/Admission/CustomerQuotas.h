#ifndef TURMERICPASS_ADMISSION_CUSTOMERQUOTAS_H
#define TURMERICPASS_ADMISSION_CUSTOMERQUOTAS_H

#include "Admission/QuotaBucket.h"
#include "Core/Clock.h"

#include <map>
#include <string>

namespace turmericpass {

struct CustomerSettings;
struct FleetSettings;

/// Keeps each customer within its requests and tokens per second.
///
/// Gateways keep no shared state, so each grants a share of the quota. The
/// platform's load balancer spreads callers unevenly over short times, so that
/// the share is larger than one part in the number of gateways; together they
/// grant at most ShareSlack times the quota.
class CustomerQuotas {
public:
  static constexpr double ShareSlack = 1.5;

  explicit CustomerQuotas(const Clock &Time) : Time(Time) {}

  /// Takes the quotas in \p Settings, and the number of live gateways.
  void configure(const FleetSettings &Settings, std::size_t Gateways);

  /// Takes one request with \p Tokens. Returns 0 if it is admitted, and
  /// otherwise the time after which a resend can be.
  Duration take(const std::string &Customer, double Tokens);

  /// Charges \p Used tokens in place of the \p Reserved ones.
  void settle(const std::string &Customer, double Reserved, double Used);

  /// Takes back a request that was admitted but never went to a dispatcher.
  void refundRequest(const std::string &Customer, double Tokens);

private:
  struct Buckets {
    QuotaBucket Requests;
    QuotaBucket Tokens;
  };

  Buckets *find(const std::string &Customer);

  const Clock &Time;
  const FleetSettings *Settings = nullptr;
  double Share = 1;
  std::map<std::string, Buckets> ByCustomer;
};

} // namespace turmericpass

#endif
