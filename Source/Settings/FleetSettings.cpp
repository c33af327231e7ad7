#include "Settings/FleetSettings.h"

#include "Core/EnumTable.h"

namespace turmericpass {

namespace {

constexpr auto ServiceKindNames = makeEnumTable<ServiceKind>({
    {ServiceKind::Model, "model"},
    {ServiceKind::Plain, "plain"},
});

constexpr auto ClassKindNames = makeEnumTable<ClassKind>({
    {ClassKind::Online, "online"},
    {ClassKind::Batch, "batch"},
});

} // namespace

std::string_view toName(ServiceKind Kind) {
  return ServiceKindNames.nameOf(Kind);
}

std::string_view toName(ClassKind Kind) { return ClassKindNames.nameOf(Kind); }

} // namespace turmericpass
