#ifndef TURMERICPASS_CONTROL_DECISIONLOG_H
#define TURMERICPASS_CONTROL_DECISIONLOG_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace turmericpass {

class Clock;

/// One decision of a daemon, recorded for operators.
struct DecisionRecord {
  /// Milliseconds since 1970.
  std::int64_t AtMs = 0;
  /// The request, job, server or version that the decision concerns.
  std::string Subject;
  /// The category, such as "settings", "order", "lease" or "liveness".
  std::string Kind;
  /// A full sentence that states the decision and its reason.
  std::string Text;
};

/// The latest decisions of one process. The oldest records are dropped when the
/// count or the size exceeds its limit.
class DecisionLog {
public:
  DecisionLog(const Clock &Time, std::size_t MaxRecords, std::size_t MaxBytes);

  void record(std::string Subject, std::string Kind, std::string Text);

  /// Returns the decisions about \p Subject, oldest first. An empty subject
  /// selects all decisions.
  std::vector<DecisionRecord> about(const std::string &Subject) const;

  std::size_t size() const { return this->Records.size(); }
  std::size_t bytes() const { return this->Bytes; }

private:
  const Clock &Time;
  std::size_t MaxRecords;
  std::size_t MaxBytes;
  std::size_t Bytes = 0;
  std::deque<DecisionRecord> Records;
};

/// Returns \p Records as a JSON array.
std::string toJson(const std::vector<DecisionRecord> &Records);

} // namespace turmericpass

#endif
