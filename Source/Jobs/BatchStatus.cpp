#include "Jobs/BatchStatus.h"

#include "Jobs/JobService.h"

#include <nlohmann/json.hpp>

namespace turmericpass {

namespace {

std::uint64_t countOf(const nlohmann::json &Counts, const char *Field) {
  const auto Found = Counts.find(Field);
  return Found != Counts.end() && Found->is_number_unsigned()
             ? Found->get<std::uint64_t>()
             : 0;
}

} // namespace

std::string formatBatchStatus(const std::string &Batch) {
  const auto Root = nlohmann::json::parse(Batch, nullptr, false);
  if (!Root.is_object() || !Root.contains("status") ||
      !Root["status"].is_string())
    return "status: unknown";
  const auto Status = Root["status"].get<std::string>();
  std::string Text = "status: " + Status;
  if (!Root.contains("request_counts") || !Root["request_counts"].is_object())
    return Text;
  const nlohmann::json &Counts = Root["request_counts"];
  const std::uint64_t Failed = countOf(Counts, "failed");
  Text += ", " + std::to_string(countOf(Counts, "completed") + Failed) +
          " of " + std::to_string(countOf(Counts, "total")) +
          " items have a result, " + std::to_string(Failed) +
          " of them an error";
  if (Status == toName(JobState::Running) ||
      Status == toName(JobState::Cancelling))
    Text += "\nThe batch is not complete yet: these are the results so far. "
            "Run the command again for the others.";
  return Text;
}

} // namespace turmericpass
