#ifndef TURMERICPASS_TELEMETRY_LOGSTORY_H
#define TURMERICPASS_TELEMETRY_LOGSTORY_H

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace turmericpass {

/// Puts together what the logs of all nodes say about one request, job, item or
/// server: the lines that name it, and what happened around them to the jobs,
/// servers and nodes in these lines.
class LogStory {
public:
  explicit LogStory(std::string Id) : Id(std::move(Id)) {}

  /// Reads the lines of one log. A line may have a prefix before its JSON;
  /// lines without JSON are counted and skipped.
  void read(std::istream &In);

  struct Entry {
    std::int64_t TimeMillis = 0;
    std::string Node;
    std::string Message;
    /// The other fields, as "name=value" separated by blanks.
    std::string Details;
    /// The line names the id; otherwise it is context.
    bool Direct = false;
  };
  /// Returns the story in order of time; empty if no line names the id.
  std::vector<Entry> tell() const;

  std::size_t skipped() const { return this->Skipped; }

private:
  struct Line {
    Entry Told;
    std::string Request;
    std::string Job;
    std::string Item;
    std::string Server;
  };

  bool names(const Line &Each) const;

  std::string Id;
  std::vector<Line> Lines;
  std::size_t Skipped = 0;
};

} // namespace turmericpass

#endif
