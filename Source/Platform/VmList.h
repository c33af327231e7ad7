#ifndef TURMERICPASS_PLATFORM_VMLIST_H
#define TURMERICPASS_PLATFORM_VMLIST_H

#include "Core/Clock.h"
#include "Core/Error.h"

#include <functional>
#include <string>
#include <vector>

namespace turmericpass {

enum class VmState { Live, Leaving };

/// Returns "live" or "leaving".
std::string_view toName(VmState State);

struct VmEntry {
  /// The name of a node or of a backend server.
  std::string Name;
  VmState State = VmState::Live;
};

/// What the platform's list said. The list lags: a name that is missing is
/// unknown, not dead.
struct VmListing {
  Duration Age{0};
  std::vector<VmEntry> Vms;
};

/// The platform's lagging list of VMs. Errors as for Table.
class VmList {
public:
  using ListCallback = std::function<void(Result<VmListing>)>;

  virtual ~VmList() = default;

  virtual void list(ListCallback Done) = 0;
};

} // namespace turmericpass

#endif
