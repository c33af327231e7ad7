#include "Telemetry/LogStory.h"

#include <criterion/criterion.h>
#include <sstream>

using namespace turmericpass;

namespace {

std::vector<LogStory::Entry> entriesOf(const std::string &Id,
                                       const std::string &Lines) {
  std::istringstream In(Lines);
  LogStory Story(Id);
  Story.read(In);
  return Story.tell();
}

const std::string Logs =
    R"(12.3 n1 {"time_ms":2000,"level":"info","node":"n1","message":"A request ended.","request":"r1","server":"s1","status":502}
{"time_ms":2400,"level":"info","node":"n1","message":"Checked whether a server that failed requests has crashed.","server":"s1","crashed":true}
{"time_ms":2400,"level":"info","node":"n1","message":"Checked whether a server that failed requests has crashed.","server":"s2","crashed":true}
{"time_ms":1990,"level":"info","node":"n1","message":"A server did not complete a request.","request":"r1","server":"s1"}
not a log line
{"time_ms":1000,"level":"warning","node":"n1","message":"A call to the store failed."}
{"time_ms":1000,"level":"warning","node":"n2","message":"A call to the store failed."}
{"time_ms":1500,"level":"info","node":"n2","message":"A request ended.","request":"r2","server":"s1"}
{"time_ms":900000,"level":"warning","node":"n1","message":"A call to the store failed."}
{"time_ms":3000,"level":"info","node":"n2","message":"An item was postponed.","job":"j","item":"i1"}
{"time_ms":3100,"level":"info","node":"n2","message":"Started to run a job on this VM.","job":"j"}
{"time_ms":3200,"level":"info","node":"n2","message":"An item was postponed.","job":"j","item":"i2"}
)";

} // namespace

// Guards against output without the cause of a failure, which is logged in
// lines without the id of the request, and against output with lines about
// unrelated requests and servers.
Test(LogStory, RequestIsToldWithWhatHappenedAroundIt) {
  const auto Story = entriesOf("r1", Logs);
  cr_assert_eq(Story.size(), 4);
  cr_assert_str_eq(Story[0].Message.c_str(), "A call to the store failed.");
  cr_assert_str_eq(Story[0].Node.c_str(), "n1");
  cr_assert_not(Story[0].Direct);
  cr_assert(Story[1].Direct);
  cr_assert(Story[2].Direct);
  cr_assert_neq(Story[2].Details.find("status=502"), std::string::npos);
  cr_assert_neq(Story[3].Details.find("server=\"s1\""), std::string::npos);
}

// Guards against output for an item without the lines about its job.
Test(LogStory, ItemIsToldWithItsJob) {
  const auto Story = entriesOf("i1", Logs);
  cr_assert_eq(Story.size(), 3);
  cr_assert_str_eq(Story[0].Message.c_str(), "A call to the store failed.");
  cr_assert(Story[1].Direct);
  cr_assert_str_eq(Story[2].Message.c_str(),
                   "Started to run a job on this VM.");
}

// Guards against context lines for an id that no line contains.
Test(LogStory, UnknownIdHasNoStory) {
  cr_assert(entriesOf("r9", Logs).empty());
}
