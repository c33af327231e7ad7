#include "Telemetry/Metrics.h"

#include <criterion/criterion.h>
#include <map>
#include <regex>
#include <sstream>
#include <string>

using namespace turmericpass;

namespace {

/// Reads a scrape as a collector does: a sample a line, its name with labels
/// and its value. Fails on a line of any other form.
std::map<std::string, double> scrape(const Metrics &Stats) {
  static const std::regex Sample(
      R"re(([a-z_]+(?:\{[a-z]+="[^"]*"(?:,[a-z]+="[^"]*")*\})?) ([-+0-9.e]+))re");
  static const std::regex Type(
      R"re(# TYPE [a-z_]+ (counter|gauge|histogram))re");
  std::map<std::string, double> Read;
  std::istringstream In(Stats.render());
  for (std::string Line; std::getline(In, Line);) {
    std::smatch Parts;
    if (std::regex_match(Line, Parts, Sample))
      Read[Parts[1]] = std::stod(Parts[2]);
    else
      cr_assert(std::regex_match(Line, Type), "%s", Line.c_str());
  }
  return Read;
}

} // namespace

// Guards against a page that a collector cannot read.
Test(Metrics, EveryLineOfAScrapeIsRead) {
  Metrics Stats;
  Stats.add("requests_total{route=\"r\",status=\"200\"}");
  Stats.set("open_connections", 7);
  Stats.observe("request_seconds{route=\"r\"}", 0.25);
  const auto Read = scrape(Stats);
  cr_assert_eq(
      Read.at("turmericpass_requests_total{route=\"r\",status=\"200\"}"), 1);
  cr_assert_eq(Read.at("turmericpass_open_connections"), 7);
  cr_assert_eq(Read.at("turmericpass_request_seconds_count{route=\"r\"}"), 1);
}

// Guards against buckets that do not add up, from which every quantile over
// several nodes would be wrong.
Test(Metrics, BucketsAreCumulative) {
  Metrics Stats;
  for (const double Seconds : {0.02, 0.3, 0.31, 4.0, 100.0})
    Stats.observe("request_seconds{route=\"r\"}", Seconds);
  const auto Read = scrape(Stats);
  const auto UpTo = [&](const char *Bound) {
    return Read.at(std::string("turmericpass_request_seconds_bucket{route="
                               "\"r\",le=\"") +
                   Bound + "\"}");
  };
  cr_assert_eq(UpTo("0.01"), 0);
  cr_assert_eq(UpTo("0.025"), 1);
  cr_assert_eq(UpTo("0.3"), 2);
  cr_assert_eq(UpTo("0.4"), 3);
  cr_assert_eq(UpTo("30"), 4);
  cr_assert_eq(UpTo("+Inf"), 5);
  cr_assert_float_eq(Read.at("turmericpass_request_seconds_sum{route=\"r\"}"),
                     104.63, 0.001);
}
