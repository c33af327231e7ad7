#include "Wire/Messages.h"

#include "Core/EnumTable.h"

namespace turmericpass {

namespace {

constexpr auto ExecutionNames = makeEnumTable<Execution>({
    {Execution::NotRun, "not_run"},
    {Execution::Ran, "ran"},
    {Execution::Unknown, "unknown"},
});

constexpr auto FinishCodeNames = makeEnumTable<FinishCode>({
    {FinishCode::Ok, "ok"},
    {FinishCode::ServerError, "server_error"},
    {FinishCode::Cancelled, "cancelled"},
    {FinishCode::DeadlineExceeded, "deadline_exceeded"},
    {FinishCode::Overloaded, "overloaded"},
    {FinishCode::NoServer, "no_server"},
    {FinishCode::Quarantined, "quarantined"},
    {FinishCode::ServerLost, "server_lost"},
    {FinishCode::InvalidRequest, "invalid_request"},
});

} // namespace

std::string_view toName(Execution Value) {
  return ExecutionNames.nameOf(Value);
}

std::string_view toName(FinishCode Value) {
  return FinishCodeNames.nameOf(Value);
}

} // namespace turmericpass
