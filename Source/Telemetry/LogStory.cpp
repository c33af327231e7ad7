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

/// Context lines are taken from this interval around the first and the last
/// line that contains the id. The interval before it is longer, because a
/// failed store or server affects requests up to some seconds later.
constexpr std::int64_t ContextBeforeMs = 5000;
constexpr std::int64_t ContextAfterMs = 1000;

/// Warnings and errors without an id are context for every id on their node.
bool isWarningOrError(std::string_view Level) {
  return Level == "warning" || Level == "error";
}

/// Messages about the whole node, which are context for every id on it.
constexpr std::string_view NodeMessages[] = {
    "The node starts.", "The node stops.", "The node has stopped.",
    "Settings are in force.", "The store answers again."};

std::string textOf(const ordered_json &Object, const char *Field) {
  const auto Found = Object.find(Field);
  return Found != Object.end() && Found->is_string() ? Found->get<std::string>()
                                                     : std::string();
}

std::string describe(const ordered_json &Object) {
  static const std::set<std::string> StandardFields = {
      "time_ms", "level", "program", "node", "message"};
  std::string Details;
  for (const auto &[Name, Value] : Object.items()) {
    if (StandardFields.contains(Name))
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
    Line Parsed;
    Parsed.Content.TimeMillis = Object.value("time_ms", std::int64_t{0});
    Parsed.Content.Node = textOf(Object, "node");
    Parsed.Content.Message = textOf(Object, "message");
    Parsed.Content.Details = describe(Object);
    Parsed.Request = textOf(Object, "request");
    Parsed.Job = textOf(Object, "job");
    Parsed.Item = textOf(Object, "item");
    Parsed.Server = textOf(Object, "server");
    const bool ConcernsNode =
        isWarningOrError(textOf(Object, "level")) ||
        std::find(std::begin(NodeMessages), std::end(NodeMessages),
                  Parsed.Content.Message) != std::end(NodeMessages);
    // Lines without an id that do not concern the whole node are never
    // context.
    if (ConcernsNode || !Parsed.Request.empty() || !Parsed.Job.empty() ||
        !Parsed.Server.empty())
      this->Lines.push_back(std::move(Parsed));
  }
}

bool LogStory::containsId(const Line &Candidate) const {
  return Candidate.Request == this->Id || Candidate.Job == this->Id ||
         Candidate.Item == this->Id || Candidate.Server == this->Id;
}

std::vector<LogStory::Entry> LogStory::tell() const {
  std::set<std::string> Jobs;
  std::set<std::string> Servers;
  std::set<std::string> Nodes;
  std::int64_t First = std::numeric_limits<std::int64_t>::max();
  std::int64_t Last = std::numeric_limits<std::int64_t>::min();
  for (const Line &Candidate : this->Lines) {
    if (!this->containsId(Candidate))
      continue;
    Jobs.insert(Candidate.Job);
    Servers.insert(Candidate.Server);
    Nodes.insert(Candidate.Content.Node);
    First = std::min(First, Candidate.Content.TimeMillis);
    Last = std::max(Last, Candidate.Content.TimeMillis);
  }
  std::vector<Entry> Story;
  for (const Line &Candidate : this->Lines) {
    Entry Output = Candidate.Content;
    Output.Direct = this->containsId(Candidate);
    const bool IsNearInTime = Output.TimeMillis >= First - ContextBeforeMs &&
                              Output.TimeMillis <= Last + ContextAfterMs;
    const bool ConcernsJob = !Candidate.Job.empty() && Candidate.Item.empty() &&
                             Jobs.contains(Candidate.Job);
    const bool ConcernsServer =
        !Candidate.Server.empty() && Candidate.Request.empty() &&
        Candidate.Job.empty() && Servers.contains(Candidate.Server);
    const bool ConcernsNode =
        Candidate.Request.empty() && Candidate.Job.empty() &&
        Candidate.Server.empty() && Nodes.contains(Output.Node);
    if (Output.Direct ||
        (IsNearInTime && (ConcernsJob || ConcernsServer || ConcernsNode)))
      Story.push_back(std::move(Output));
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
