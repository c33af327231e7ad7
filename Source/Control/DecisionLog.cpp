#include "Control/DecisionLog.h"

#include "Core/Clock.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace turmericpass {

namespace {

std::size_t sizeOf(const DecisionRecord &Record) {
  return sizeof(Record) + Record.Subject.size() + Record.Kind.size() +
         Record.Text.size();
}

} // namespace

DecisionLog::DecisionLog(const Clock &Time, std::size_t MaxRecords,
                         std::size_t MaxBytes)
    : Time(Time), MaxRecords(MaxRecords), MaxBytes(MaxBytes) {}

void DecisionLog::record(std::string Subject, std::string Kind,
                         std::string Text) {
  DecisionRecord Record{this->Time.wallMillis(), std::move(Subject),
                        std::move(Kind), std::move(Text)};
  this->Bytes += sizeOf(Record);
  this->Records.push_back(std::move(Record));
  while (!this->Records.empty() && (this->Records.size() > this->MaxRecords ||
                                    this->Bytes > this->MaxBytes)) {
    this->Bytes -= sizeOf(this->Records.front());
    this->Records.pop_front();
  }
}

std::vector<DecisionRecord>
DecisionLog::about(const std::string &Subject) const {
  std::vector<DecisionRecord> Found;
  for (const DecisionRecord &Record : this->Records)
    if (Subject.empty() || Record.Subject == Subject)
      Found.push_back(Record);
  return Found;
}

std::string toJson(const std::vector<DecisionRecord> &Records) {
  nlohmann::json Array = nlohmann::json::array();
  for (const DecisionRecord &Record : Records)
    Array.push_back({{"at_ms", Record.AtMs},
                     {"subject", Record.Subject},
                     {"kind", Record.Kind},
                     {"text", Record.Text}});
  // A subject may contain arbitrary bytes from a caller, so invalid UTF-8 is
  // replaced.
  return Array.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace turmericpass
