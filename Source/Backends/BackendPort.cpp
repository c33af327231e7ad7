#include "Backends/BackendPort.h"

#include "Core/EnumTable.h"

namespace turmericpass {

namespace {

constexpr auto ProgressNames = makeEnumTable<AttemptProgress>({
    {AttemptProgress::NotSent, "not_sent"},
    {AttemptProgress::Sent, "sent"},
    {AttemptProgress::Admitted, "admitted"},
});

} // namespace

std::string_view toName(AttemptProgress Progress) {
  return ProgressNames.nameOf(Progress);
}

} // namespace turmericpass
