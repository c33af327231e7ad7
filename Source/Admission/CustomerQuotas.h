#ifndef TURMERICPASS_ADMISSION_CUSTOMERQUOTAS_H
#define TURMERICPASS_ADMISSION_CUSTOMERQUOTAS_H

#include "Admission/QuotaBucket.h"
#include "Core/Clock.h"

#include <map>
#include <string>

namespace turmericpass {

struct CustomerSettings;
struct FleetSettings;

/// Limits each customer to its quota of requests and tokens per second.
///
/// Gateways share no state, so each gateway enforces a share of the quota. The
/// platform's load balancer distributes callers unevenly over short periods.
/// Each share is therefore larger than the quota divided by the number of
/// gateways; together the gateways admit at most OvercommitFactor times the
/// quota.
class CustomerQuotas {
public:
  static constexpr double OvercommitFactor = 1.5;

  explicit CustomerQuotas(const Clock &Time) : Time(Time) {}

  /// Applies the quotas in \p Settings, shared by \p Gateways live gateways.
  void configure(const FleetSettings &Settings, std::size_t Gateways);

  /// Charges one request and \p Tokens tokens. Returns 0 if the request is
  /// admitted, and otherwise the time after which a resend can be admitted.
  Duration tryAdmit(const std::string &Customer, double Tokens);

  /// Replaces the charge of \p Reserved tokens with \p Used tokens.
  void adjustCharge(const std::string &Customer, double Reserved, double Used);

  /// Refunds a request that was admitted but was never sent to a dispatcher.
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
