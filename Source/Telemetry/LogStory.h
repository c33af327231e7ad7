#ifndef TURMERICPASS_TELEMETRY_LOGSTORY_H
#define TURMERICPASS_TELEMETRY_LOGSTORY_H

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace turmericpass {

/// Collects the log lines of all nodes that concern one request, job, item or
/// server: the lines that contain its id and, as context, the lines about the
/// same jobs, servers and nodes shortly before and after them.
class LogStory {
public:
  explicit LogStory(std::string Id) : Id(std::move(Id)) {}

  /// Reads the lines of one log. A line may have a prefix before its JSON
  /// object. Lines without a log record are skipped and counted.
  void read(std::istream &In);

  struct Entry {
    std::int64_t TimeMillis = 0;
    std::string Node;
    std::string Message;
    /// The other fields, as "name=value" separated by spaces.
    std::string Details;
    /// Whether the line contains the id; other lines are context.
    bool Direct = false;
  };
  /// Returns the entries in order of time, or none if no line contains the id.
  std::vector<Entry> tell() const;

  std::size_t skipped() const { return this->Skipped; }

private:
  struct Line {
    Entry Content;
    std::string Request;
    std::string Job;
    std::string Item;
    std::string Server;
  };

  bool containsId(const Line &Candidate) const;

  std::string Id;
  std::vector<Line> Lines;
  std::size_t Skipped = 0;
};

} // namespace turmericpass

#endif
