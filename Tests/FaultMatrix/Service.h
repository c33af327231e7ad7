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
    Instant At;
  };

  explicit Service(const Clock &Time) : Time(Time) {}

  std::string execute(const std::string &Key) {
    this->Log.push_back({Key, this->Time.now()});
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
