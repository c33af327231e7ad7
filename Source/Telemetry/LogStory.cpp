#include "Telemetry/LogStory.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>
#include <utility>

namespace turmericpass {

namespace {

using nlohmann::ordered_json;

/// Context is looked for so long before the first and after the last line that
/// names the id: a store that was lost, or a server that broke off, acts on
/// requests some seconds later.
constexpr std::int64_t ContextBeforeMs = 5000;
constexpr std::int64_t ContextAfterMs = 1000;

/// Lines of this level and above are context for everything on their node.
bool isGrave(std::string_view Level) {
  return Level == "warning" || Level == "error";
}

/// Lines that tell of the whole node are context for everything on it.
constexpr std::string_view NodeLines[] = {
    "The node starts.", "The node stops.", "The node has stopped.",
    "Settings are in force.", "The store answers again."};

std::string textOf(const ordered_json &Object, const char *Field) {
  const auto Found = Object.find(Field);
  return Found != Object.end() && Found->is_string() ? Found->get<std::string>()
                                                     : std::string();
}

std::string describe(const ordered_json &Object) {
  static const std::set<std::string> Apart = {"time_ms", "level", "program",
                                              "node", "message"};
  std::string Details;
  for (const auto &[Name, Value] : Object.items()) {
    if (Apart.contains(Name))
      continue;
    if (!Details.empty())
      Details += ' ';
    Details += Name + '=' + Value.dump();
  }
  return Details;
}

} // namespace

void LogStory::read(std::istream &In) {
  for (std::string Text; std::getline(In, Text);) {
    const std::size_t Begin = Text.find('{');
    const ordered_json Object =
        Begin == std::string::npos
            ? ordered_json()
            : ordered_json::parse(Text.begin() +
                                      static_cast<std::ptrdiff_t>(Begin),
                                  Text.end(), nullptr, false);
    if (!Object.is_object() || !Object.contains("message")) {
      this->Skipped += Text.empty() ? 0 : 1;
      continue;
    }
    Line Read;
    Read.Told.TimeMillis = Object.value("time_ms", std::int64_t{0});
    Read.Told.Node = textOf(Object, "node");
    Read.Told.Message = textOf(Object, "message");
    Read.Told.Details = describe(Object);
    Read.Request = textOf(Object, "request");
    Read.Job = textOf(Object, "job");
    Read.Item = textOf(Object, "item");
    Read.Server = textOf(Object, "server");
    const bool OfNode = isGrave(textOf(Object, "level")) ||
                        std::find(std::begin(NodeLines), std::end(NodeLines),
                                  Read.Told.Message) != std::end(NodeLines);
    // Other lines without any id would be context for nothing.
    if (OfNode || !Read.Request.empty() || !Read.Job.empty() ||
        !Read.Server.empty())
      this->Lines.push_back(std::move(Read));
  }
}

bool LogStory::names(const Line &Each) const {
  return Each.Request == this->Id || Each.Job == this->Id ||
         Each.Item == this->Id || Each.Server == this->Id;
}

std::vector<LogStory::Entry> LogStory::tell() const {
  std::set<std::string> Jobs;
  std::set<std::string> Servers;
  std::set<std::string> Nodes;
  std::int64_t First = std::numeric_limits<std::int64_t>::max();
  std::int64_t Last = std::numeric_limits<std::int64_t>::min();
  for (const Line &Each : this->Lines) {
    if (!this->names(Each))
      continue;
    Jobs.insert(Each.Job);
    Servers.insert(Each.Server);
    Nodes.insert(Each.Told.Node);
    First = std::min(First, Each.Told.TimeMillis);
    Last = std::max(Last, Each.Told.TimeMillis);
  }
  std::vector<Entry> Story;
  for (const Line &Each : this->Lines) {
    Entry Told = Each.Told;
    Told.Direct = this->names(Each);
    const bool InTime = Told.TimeMillis >= First - ContextBeforeMs &&
                        Told.TimeMillis <= Last + ContextAfterMs;
    const bool OfJob =
        !Each.Job.empty() && Each.Item.empty() && Jobs.contains(Each.Job);
    const bool OfServer = !Each.Server.empty() && Each.Request.empty() &&
                          Each.Job.empty() && Servers.contains(Each.Server);
    const bool OfNode = Each.Request.empty() && Each.Job.empty() &&
                        Each.Server.empty() && Nodes.contains(Told.Node);
    if (Told.Direct || (InTime && (OfJob || OfServer || OfNode)))
      Story.push_back(std::move(Told));
  }
  std::stable_sort(Story.begin(), Story.end(),
                   [](const Entry &A, const Entry &B) {
                     return A.TimeMillis < B.TimeMillis;
                   });
  if (First > Last)
    Story.clear();
  return Story;
}

} // namespace turmericpass
