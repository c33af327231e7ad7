#ifndef TURMERICPASS_TELEMETRY_METRICS_H
#define TURMERICPASS_TELEMETRY_METRICS_H

#include <map>
#include <memory>
#include <string>

namespace turmericpass {

/// Counters, gauges and histograms of one process. A name may carry labels as
/// Prometheus writes them, such as `requests_total{class="check"}`.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  void add(const std::string &Name, double By = 1);
  void set(const std::string &Name, double Value);

  /// Adds a sample, a duration in seconds, to a histogram. Estimates of the
  /// quantiles 0.5, 0.95 and 0.99 are given beside its buckets.
  void observe(const std::string &Name, double Value);

  /// Returns the value of a counter or gauge, 0 if there is none.
  double value(const std::string &Name) const;

  /// Returns all of it in the Prometheus text format.
  std::string render() const;

private:
  struct Histogram;

  std::map<std::string, double> Counters;
  std::map<std::string, double> Gauges;
  std::map<std::string, std::unique_ptr<Histogram>> Histograms;
};

} // namespace turmericpass

#endif
