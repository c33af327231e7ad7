#include "Replay.h"

#include <boost/program_options.hpp>
#include <exception>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <string>

using namespace turmericpass;

namespace {

namespace options = boost::program_options;

constexpr int ExitUsage = 2;
constexpr double Percent = 100;

void printHead(std::ostream &Out) {
  Out << std::left << std::setw(13) << "load" << std::setw(17) << "policy"
      << std::right << std::setw(5) << "seed" << std::setw(9) << "callers"
      << std::setw(9) << "on time" << std::setw(10) << "returned"
      << std::setw(7) << "late" << std::setw(10) << "unserved" << std::setw(9)
      << "p50 ms" << std::setw(9) << "p99 ms" << std::setw(10) << "p99.9 ms"
      << std::setw(8) << "items" << std::setw(9) << "on time" << std::setw(7)
      << "late" << std::setw(8) << "yields" << std::setw(8) << "copies"
      << std::setw(6) << "won" << '\n';
}

void printRow(std::ostream &Out, std::string_view Load, std::string_view Policy,
              std::uint64_t Seed, const ReplayResult &Got) {
  const auto Share = [](std::size_t Part, std::size_t Whole) {
    return Whole == 0 ? 0
                      : Percent * static_cast<double>(Part) /
                            static_cast<double>(Whole);
  };
  Out << std::left << std::setw(13) << Load << std::setw(17) << Policy
      << std::right << std::setw(5) << Seed << std::fixed
      << std::setprecision(3) << std::setw(9) << Got.callerWorth()
      << std::setprecision(1) << std::setw(8) << Share(Got.OnTime, Got.Callers)
      << '%' << std::setw(9) << Share(Got.OnTimeAfterRefusal, Got.Callers)
      << '%' << std::setw(6) << Share(Got.Late, Got.Callers) << '%'
      << std::setw(9) << Share(Got.Unserved, Got.Callers) << '%' << std::setw(9)
      << Got.quantile(0.5) << std::setw(9) << Got.quantile(0.99)
      << std::setw(10) << Got.quantile(0.999) << std::setprecision(3)
      << std::setw(8) << Got.itemWorth() << std::setprecision(1) << std::setw(8)
      << Share(Got.ItemsOnTime, Got.Items) << '%' << std::setw(6)
      << Share(Got.ItemsLate, Got.Items) << '%' << std::setw(8) << Got.Yields
      << std::setw(8) << Got.Copies << std::setw(6) << Got.CopiesWon << '\n';
}

/// Writes what callers earned of what was owed, a line for each second.
bool writeSeries(const std::string &Path, const ReplayResult &Got) {
  std::ofstream Out(Path);
  for (std::size_t I = 0; I < Got.Asked.size(); ++I)
    if (Got.Asked[I] > 0)
      Out << I << ' ' << Got.Earned[I] / Got.Asked[I] << ' ' << Got.Asked[I]
          << '\n';
  return Out.good();
}

int runAll(const options::variables_map &Given) {
  FleetSize Size;
  Size.Nodes = Given["nodes"].as<std::size_t>();
  Size.Servers = Given["servers"].as<std::size_t>();
  Size.Slots = Given["slots"].as<int>();
  const std::string Only = Given["load"].as<std::string>();
  printHead(std::cout);
  for (const LoadPattern Pattern : allPatterns()) {
    if (!Only.empty() && Only != toName(Pattern))
      continue;
    for (const PolicyFlags &Policy : allPolicies())
      for (std::uint64_t Seed = 1; Seed <= Given["seeds"].as<std::uint64_t>();
           ++Seed) {
        const Workload Load = makeWorkload(Pattern, Size, Seed);
        const ReplayResult Got = Replay(Load, Size, Policy, Seed).run();
        printRow(std::cout, toName(Pattern), Policy.Name, Seed, Got);
        if (!Given.count("series") || Seed != 1)
          continue;
        const std::string Path = Given["series"].as<std::string>() + "/" +
                                 std::string(toName(Pattern)) + "." +
                                 std::string(Policy.Name) + ".dat";
        if (!writeSeries(Path, Got)) {
          std::cerr << "experiment: " << Path << " cannot be written.\n";
          return 1;
        }
      }
  }
  return 0;
}

} // namespace

int main(int ArgCount, char **Args) {
  options::options_description Described(
      "Plays loads against models of the engines, with the product's decisions "
      "and with baselines.\nOptions");
  Described.add_options()("help", "print this")(
      "load", options::value<std::string>()->default_value(""),
      "only this load")("seeds",
                        options::value<std::uint64_t>()->default_value(3),
                        "how many seeds")(
      "nodes", options::value<std::size_t>()->default_value(10),
      "nodes of the product")(
      "servers", options::value<std::size_t>()->default_value(12),
      "model engines")("slots", options::value<int>()->default_value(8),
                       "requests that an engine runs at once")(
      "series", options::value<std::string>(),
      "folder for the worth of each second, first seed only");
  try {
    options::variables_map Given;
    options::store(options::parse_command_line(ArgCount, Args, Described),
                   Given);
    options::notify(Given);
    if (Given.count("help")) {
      std::cout << Described;
      return 0;
    }
    return runAll(Given);
  } catch (const std::exception &Thrown) {
    std::cerr << "experiment: " << Thrown.what() << '\n' << Described;
    return ExitUsage;
  }
}
