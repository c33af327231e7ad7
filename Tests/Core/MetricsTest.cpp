#include "Telemetry/Metrics.h"

#include <criterion/criterion.h>
#include <map>
#include <regex>
#include <sstream>
#include <string>

using namespace turmericpass;

namespace {

/// Parses the rendered metrics as a collector does: each line is a sample with
/// its name, labels and value, or a type. Fails on any other line.
std::map<std::string, double> scrape(const Metrics &Stats) {
  static const std::regex Sample(
      R"re(([a-z_]+(?:\{[a-z]+="[^"]*"(?:,[a-z]+="[^"]*")*\})?) ([-+0-9.e]+))re");
  static const std::regex Type(
      R"re(# TYPE [a-z_]+ (counter|gauge|histogram))re");
  std::map<std::string, double> Samples;
  std::istringstream In(Stats.render());
  for (std::string Line; std::getline(In, Line);) {
    std::smatch Parts;
    if (std::regex_match(Line, Parts, Sample))
      Samples[Parts[1]] = std::stod(Parts[2]);
    else
      cr_assert(std::regex_match(Line, Type), "%s", Line.c_str());
  }
  return Samples;
}

} // namespace

// Guards against output that a collector cannot parse.
Test(Metrics, EveryLineOfAScrapeIsRead) {
  Metrics Stats;
  Stats.add("requests_total{route=\"r\",status=\"200\"}");
  Stats.set("open_connections", 7);
  Stats.observe("request_seconds{route=\"r\"}", 0.25);
  const auto Samples = scrape(Stats);
  cr_assert_eq(
      Samples.at("turmericpass_requests_total{route=\"r\",status=\"200\"}"), 1);
  cr_assert_eq(Samples.at("turmericpass_open_connections"), 7);
  cr_assert_eq(Samples.at("turmericpass_request_seconds_count{route=\"r\"}"),
               1);
}

// Guards against buckets that are not cumulative, which would make quantiles
// over several nodes wrong.
Test(Metrics, BucketsAreCumulative) {
  Metrics Stats;
  for (const double Seconds : {0.02, 0.3, 0.31, 4.0, 100.0})
    Stats.observe("request_seconds{route=\"r\"}", Seconds);
  const auto Samples = scrape(Stats);
  const auto UpTo = [&](const char *Bound) {
    return Samples.at(std::string("turmericpass_request_seconds_bucket{route="
                                  "\"r\",le=\"") +
                      Bound + "\"}");
  };
  cr_assert_eq(UpTo("0.01"), 0);
  cr_assert_eq(UpTo("0.025"), 1);
  cr_assert_eq(UpTo("0.3"), 2);
  cr_assert_eq(UpTo("0.4"), 3);
  cr_assert_eq(UpTo("30"), 4);
  cr_assert_eq(UpTo("+Inf"), 5);
  cr_assert_float_eq(
      Samples.at("turmericpass_request_seconds_sum{route=\"r\"}"), 104.63,
      0.001);
}
