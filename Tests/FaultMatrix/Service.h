#ifndef TURMERICPASS_TESTS_FAULTMATRIX_SERVICE_H
#define TURMERICPASS_TESTS_FAULTMATRIX_SERVICE_H

#include "Core/Clock.h"

#include <map>
#include <string>
#include <vector>

namespace turmericpass {

/// The fake backend service: counts what it executes. Every execution gives
/// another text, so that a result of a second execution shows.
class Service {
public:
  struct Execution {
    std::string Key;
    std::string RequestId;
    Instant At;
    /// The request lay in the sender's queue while the sender stood still.
    bool Leftover = false;
  };

  explicit Service(const Clock &Time) : Time(Time) {}

  std::string execute(const std::string &Key, const std::string &RequestId,
                      bool Leftover) {
    this->Log.push_back({Key, RequestId, this->Time.now(), Leftover});
    return "execution " + std::to_string(++this->Counts[Key]) + " of " + Key;
  }

  int count(const std::string &Key) const {
    const auto Found = this->Counts.find(Key);
    return Found == this->Counts.end() ? 0 : Found->second;
  }

  const std::map<std::string, int> &counts() const { return this->Counts; }
  const std::vector<Execution> &log() const { return this->Log; }

private:
  const Clock &Time;
  std::map<std::string, int> Counts;
  std::vector<Execution> Log;
};

} // namespace turmericpass

#endif
