#ifndef TURMERICPASS_TESTS_FAULTMATRIX_MODEL_H
#define TURMERICPASS_TESTS_FAULTMATRIX_MODEL_H

#include "Jobs/JobService.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace turmericpass {

/// What a client may hold the system to, whatever faults there were. It knows
/// only what the client did and was told.
class Model {
public:
  struct Job {
    bool Orders = false;
    bool CancelAcknowledged = false;
    bool CancelRefused = false;
  };

  std::size_t submit(bool Orders) {
    this->Jobs.push_back({Orders});
    return this->Jobs.size() - 1;
  }

  Job &job(std::size_t Index) { return this->Jobs[Index]; }
  std::size_t jobs() const { return this->Jobs.size(); }

  /// Returns what is wrong with the end of job \p Index, empty if nothing is.
  /// \p Lines are its result lines by custom id in JSON.
  std::string judge(std::size_t Index, JobState End,
                    const std::map<std::string, std::string> &Lines) const {
    const Job &Told = this->Jobs[Index];
    const JobState Expected =
        Told.CancelAcknowledged ? JobState::Cancelled : JobState::Completed;
    if (End != Expected)
      return "the job ended as " + std::string(toName(End));
    const std::vector<std::string> Ids =
        Told.Orders ? std::vector<std::string>{"\"o1\"", "\"o2\""}
                    : std::vector<std::string>{"\"good\"", "null", "\"bad\"",
                                               "\"slow\""};
    if (Lines.size() != Ids.size())
      return "the job has " + std::to_string(Lines.size()) + " results";
    for (const std::string &Id : Ids) {
      const auto Line = Lines.find(Id);
      if (Line == Lines.end())
        return "item " + Id + " has no result";
      if (!Model::fits(Id, Line->second, Told.CancelAcknowledged))
        return "item " + Id + " ended as " + Line->second;
    }
    return "";
  }

private:
  static bool fits(const std::string &Id, const std::string &Line,
                   bool Cancelled) {
    const auto Has = [&Line](const char *Part) {
      return Line.find(Part) != std::string::npos;
    };
    if (Has("batch_cancelled"))
      return Cancelled;
    if (Id == "null")
      return Has("invalid_item");
    if (Id == "\"bad\"")
      return Has("\"status_code\":500");
    // An item that must not be repeated may have lost its only sender.
    if (Id.starts_with("\"o") && Has("outcome_unknown"))
      return true;
    return Has("\"status_code\":200") && Has("execution ");
  }

  std::vector<Job> Jobs;
};

} // namespace turmericpass

#endif
