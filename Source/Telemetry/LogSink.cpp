#include "Telemetry/LogSink.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <poll.h>
#include <unistd.h>

namespace turmericpass {

namespace {

bool UseStandardOutput = false;

boost::log::sources::logger makeSource() {
  namespace log = boost::log;
  log::add_console_log(UseStandardOutput ? std::cout : std::cerr,
                       log::keywords::format = log::expressions::stream
                                               << log::expressions::smessage,
                       log::keywords::auto_flush = true);
  return {};
}

} // namespace

bool standardOutputIsReady() {
  pollfd Output{STDOUT_FILENO, POLLOUT, 0};
  return poll(&Output, 1, 0) == 1 && (Output.revents & POLLOUT) != 0;
}

void logToStandardOutput() { UseStandardOutput = true; }

void writeLogLine(const std::string &Line) {
  static boost::log::sources::logger Source = makeSource();
  BOOST_LOG(Source) << Line;
}

} // namespace turmericpass
