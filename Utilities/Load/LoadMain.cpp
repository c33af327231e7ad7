#include "LoadRunner.h"
#include "Loop/EventLoop.h"
#include "RawHttp/ChannelHttpClient.h"
#include "RawHttp/TcpBackendChannels.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace turmericpass;

namespace {

constexpr std::size_t MaxReplyBytes = std::size_t{64} << 20U;

int runPlan(const std::string &File) {
  std::ifstream In(File);
  std::stringstream Text;
  Text << In.rdbuf();
  const Result<LoadPlan> Plan = parseLoadPlan(Text.str());
  if (!Plan) {
    std::cerr << File << ": " << Plan.error().Message << '\n';
    return 1;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const BootClock Time;
  EventLoop Loop(Time);
  TcpBackendChannels Channels(Loop);
  ChannelHttpClient Client(Loop, Channels, MaxReplyBytes);
  LoadRunner Runner(Loop, Client, *Plan);
  Runner.run();
  std::cout << Runner.report() << '\n';
  return 0;
}

} // namespace

int main(int ArgCount, char **Args) {
  namespace po = boost::program_options;
  po::options_description Description("Options");
  Description.add_options()("plan", po::value<std::string>()->required(),
                            "a JSON file with the requests to send")(
      "help,h", "print this text");
  po::variables_map Values;
  try {
    po::store(po::parse_command_line(ArgCount, Args, Description), Values);
    if (Values.count("help")) {
      std::cout << "LoadGenerator: sends requests to gateways and measures\n"
                << Description;
      return 0;
    }
    po::notify(Values);
  } catch (const std::exception &Failure) {
    std::cerr << "LoadGenerator: " << Failure.what() << "; see --help\n";
    return 2;
  }
  return runPlan(Values["plan"].as<std::string>());
}
