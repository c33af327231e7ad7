#include "CapacityReport.h"
#include "Probes.h"

#include <boost/program_options.hpp>
#include <exception>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>

using namespace turmericpass;

namespace {

const std::map<std::string, std::function<void(CapacityReport &)>> Probes = {
    {"control", probeControl}, {"settings", probeSettings},
    {"serving", probeServing}, {"peers", probePeers},
    {"batch", probeBatch},     {"streams", probeStreams},
    {"stores", probeStores},   {"vms", probeVms},
};

int run(const std::vector<std::string> &Names, const std::string &File) {
  CapacityReport Out;
  for (const std::string &Name : Names) {
    const auto Found = Probes.find(Name);
    if (Found == Probes.end()) {
      std::cerr << "CapacityProbe: no probe " << Name << "; see --help\n";
      return 2;
    }
    Found->second(Out);
  }
  Out.printFits();
  if (File.empty())
    return 0;
  std::ofstream Json(File);
  Json << Out.toJson() << '\n';
  if (Json.flush())
    return 0;
  std::cerr << "CapacityProbe: " << File << " cannot be written.\n";
  return 1;
}

} // namespace

int main(int ArgCount, char **Args) {
  namespace po = boost::program_options;
  std::vector<std::string> Names;
  std::string File;
  po::options_description Description("Options");
  Description.add_options()("out", po::value(&File),
                            "a JSON file for the points and fits")(
      "probe", po::value(&Names),
      "control, settings, serving, peers, streams, stores, vms or "
      "batch; all if none is named")("help,h", "print this text");
  po::positional_options_description Order;
  Order.add("probe", -1);
  po::variables_map Values;
  try {
    po::store(po::command_line_parser(ArgCount, Args)
                  .options(Description)
                  .positional(Order)
                  .run(),
              Values);
    po::notify(Values);
  } catch (const std::exception &Failure) {
    std::cerr << "CapacityProbe: " << Failure.what() << "; see --help\n";
    return 2;
  }
  if (Values.count("help")) {
    std::cout << "CapacityProbe: measures what the modules cost as sizes grow\n"
              << Description;
    return 0;
  }
  if (Names.empty())
    for (const auto &[Name, Probe] : Probes)
      Names.push_back(Name);
  return run(Names, File);
}
