#include "Platform/VmList.h"

#include "Core/EnumTable.h"

namespace turmericpass {

namespace {

constexpr auto VmStateNames = makeEnumTable<VmState>({
    {VmState::Live, "live"},
    {VmState::Leaving, "leaving"},
});

} // namespace

std::string_view toName(VmState State) { return VmStateNames.nameOf(State); }

} // namespace turmericpass
