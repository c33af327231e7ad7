#include "Telemetry/LogStory.h"

#include <criterion/criterion.h>
#include <sstream>

using namespace turmericpass;

namespace {

std::vector<LogStory::Entry> tellOf(const std::string &Id,
                                    const std::string &Lines) {
  std::istringstream In(Lines);
  LogStory Story(Id);
  Story.read(In);
  return Story.tell();
}

const std::string Logs =
    R"(12.3 n1 {"time_ms":2000,"level":"info","node":"n1","message":"A request ended.","request":"r1","server":"s1","status":502}
{"time_ms":2400,"level":"info","node":"n1","message":"A server that broke off was asked.","server":"s1","crashed":true}
{"time_ms":2400,"level":"info","node":"n1","message":"A server that broke off was asked.","server":"s2","crashed":true}
{"time_ms":1990,"level":"info","node":"n1","message":"A send did not succeed.","request":"r1","server":"s1"}
not a log line
{"time_ms":1000,"level":"warning","node":"n1","message":"The store does not answer as usual."}
{"time_ms":1000,"level":"warning","node":"n2","message":"The store does not answer as usual."}
{"time_ms":1500,"level":"info","node":"n2","message":"A request ended.","request":"r2","server":"s1"}
{"time_ms":900000,"level":"warning","node":"n1","message":"The store does not answer as usual."}
{"time_ms":3000,"level":"info","node":"n2","message":"An item was put back.","job":"j","item":"i1"}
{"time_ms":3100,"level":"info","node":"n2","message":"A job runs here now.","job":"j"}
{"time_ms":3200,"level":"info","node":"n2","message":"An item was put back.","job":"j","item":"i2"}
)";

} // namespace

// Guards against a story without the cause, which stands in lines that do not
// name the request, and against one drowned in lines about others.
Test(LogStory, RequestIsToldWithWhatHappenedAroundIt) {
  const auto Story = tellOf("r1", Logs);
  cr_assert_eq(Story.size(), 4);
  cr_assert_str_eq(Story[0].Message.c_str(),
                   "The store does not answer as usual.");
  cr_assert_str_eq(Story[0].Node.c_str(), "n1");
  cr_assert_not(Story[0].Direct);
  cr_assert(Story[1].Direct);
  cr_assert(Story[2].Direct);
  cr_assert_neq(Story[2].Details.find("status=502"), std::string::npos);
  cr_assert_neq(Story[3].Details.find("server=\"s1\""), std::string::npos);
}

// Guards against an item whose story lacks what happened to its job.
Test(LogStory, ItemIsToldWithItsJob) {
  const auto Story = tellOf("i1", Logs);
  cr_assert_eq(Story.size(), 3);
  cr_assert_str_eq(Story[0].Message.c_str(),
                   "The store does not answer as usual.");
  cr_assert(Story[1].Direct);
  cr_assert_str_eq(Story[2].Message.c_str(), "A job runs here now.");
}

// Guards against context that is told of an id which no line names.
Test(LogStory, UnknownIdHasNoStory) { cr_assert(tellOf("r9", Logs).empty()); }
