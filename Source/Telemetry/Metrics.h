#ifndef TURMERICPASS_TELEMETRY_METRICS_H
#define TURMERICPASS_TELEMETRY_METRICS_H

#include <map>
#include <memory>
#include <string>

namespace turmericpass {

/// Counters, gauges and histograms of one process. A name may have labels in
/// the Prometheus syntax, such as `requests_total{class="check"}`.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  void add(const std::string &Name, double Increment = 1);
  void set(const std::string &Name, double Value);

  /// Adds a duration in seconds to a histogram. render() also writes estimates
  /// of its quantiles 0.5, 0.95 and 0.99.
  void observe(const std::string &Name, double Value);

  /// Returns the value of a counter or gauge, or 0 if it does not exist.
  double value(const std::string &Name) const;

  /// Returns all metrics in the Prometheus text format.
  std::string render() const;

private:
  struct Histogram;

  std::map<std::string, double> Counters;
  std::map<std::string, double> Gauges;
  std::map<std::string, std::unique_ptr<Histogram>> Histograms;
};

} // namespace turmericpass

#endif
