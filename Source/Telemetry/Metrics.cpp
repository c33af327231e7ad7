#include "Telemetry/Metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <set>
#include <sstream>

namespace turmericpass {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> Quantiles = {0.5, 0.95, 0.99};

/// Upper bounds of the buckets, in seconds. They are dense around the users'
/// latency targets of 0.3 to 0.8 s and their time limits of 3 to 5 s.
constexpr std::array<double, 14> BucketBounds = {
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.5, 3, 5, 10, 30};

using Accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                            acc::tag::extended_p_square>>;

constexpr const char *Prefix = "turmericpass_";

std::string baseName(const std::string &Name) {
  return Name.substr(0, Name.find('{'));
}

/// Adds a label to a metric name that may already have labels.
std::string withLabel(const std::string &Name, const std::string &Label) {
  const std::size_t Brace = Name.find('{');
  if (Brace == std::string::npos)
    return Name + "{" + Label + "}";
  return Name.substr(0, Name.size() - 1) + "," + Label + "}";
}

std::string withSuffix(const std::string &Name, const std::string &Suffix) {
  const std::size_t Brace = Name.find('{');
  if (Brace == std::string::npos)
    return Name + Suffix;
  return Name.substr(0, Brace) + Suffix + Name.substr(Brace);
}

void renderType(std::ostream &Out, std::set<std::string> &TypedNames,
                const std::string &Name, const char *Type) {
  if (TypedNames.insert(baseName(Name)).second)
    Out << "# TYPE " << Prefix << baseName(Name) << ' ' << Type << '\n';
}

} // namespace

struct Metrics::Histogram {
  Accumulator Values{acc::extended_p_square_probabilities = Quantiles};
  /// The number of samples in each bucket; not cumulative.
  std::array<std::uint64_t, BucketBounds.size()> Buckets{};

  void add(double Value) {
    this->Values(Value);
    for (std::size_t I = 0; I < BucketBounds.size(); ++I)
      if (Value <= BucketBounds[I]) {
        ++this->Buckets[I];
        return;
      }
  }
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::add(const std::string &Name, double Increment) {
  this->Counters[Name] += Increment;
}

void Metrics::set(const std::string &Name, double Value) {
  this->Gauges[Name] = Value;
}

void Metrics::observe(const std::string &Name, double Value) {
  std::unique_ptr<Histogram> &Entry = this->Histograms[Name];
  if (!Entry)
    Entry = std::make_unique<Histogram>();
  Entry->add(Value);
}

double Metrics::value(const std::string &Name) const {
  if (const auto Found = this->Counters.find(Name);
      Found != this->Counters.end())
    return Found->second;
  const auto Found = this->Gauges.find(Name);
  return Found == this->Gauges.end() ? 0 : Found->second;
}

std::string Metrics::render() const {
  std::ostringstream Out;
  std::set<std::string> TypedNames;
  for (const auto &[Name, Value] : this->Counters) {
    renderType(Out, TypedNames, Name, "counter");
    Out << Prefix << Name << ' ' << Value << '\n';
  }
  for (const auto &[Name, Value] : this->Gauges) {
    renderType(Out, TypedNames, Name, "gauge");
    Out << Prefix << Name << ' ' << Value << '\n';
  }
  for (const auto &[Name, Entry] : this->Histograms) {
    renderType(Out, TypedNames, Name, "histogram");
    const std::string Bucket = withSuffix(Name, "_bucket");
    std::uint64_t CumulativeCount = 0;
    for (std::size_t I = 0; I < BucketBounds.size(); ++I) {
      CumulativeCount += Entry->Buckets[I];
      std::ostringstream Label;
      Label << "le=\"" << BucketBounds[I] << '"';
      Out << Prefix << withLabel(Bucket, Label.str()) << ' ' << CumulativeCount
          << '\n';
    }
    const std::size_t Count = acc::count(Entry->Values);
    Out << Prefix << withLabel(Bucket, "le=\"+Inf\"") << ' ' << Count << '\n'
        << Prefix << withSuffix(Name, "_sum") << ' ' << acc::sum(Entry->Values)
        << '\n'
        << Prefix << withSuffix(Name, "_count") << ' ' << Count << '\n';
  }
  for (const auto &[Name, Entry] : this->Histograms) {
    const std::string Quantile = withSuffix(Name, "_quantile");
    renderType(Out, TypedNames, Quantile, "gauge");
    for (std::size_t I = 0; I < Quantiles.size(); ++I) {
      std::ostringstream Label;
      Label << "quantile=\"" << Quantiles[I] << '"';
      Out << Prefix << withLabel(Quantile, Label.str()) << ' '
          << acc::extended_p_square(Entry->Values)[static_cast<long>(I)]
          << '\n';
    }
  }
  return Out.str();
}

} // namespace turmericpass
