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

/// A snapshot of the platform's VM list. The list lags behind, so a VM that is
/// not in it has an unknown state and may be running.
struct VmListing {
  Duration Age{0};
  std::vector<VmEntry> Vms;
};

/// The platform's list of VMs, which lags behind. Errors: the same as for
/// Table.
class VmList {
public:
  using ListCallback = std::function<void(Result<VmListing>)>;

  virtual ~VmList() = default;

  virtual void list(ListCallback Done) = 0;
};

} // namespace turmericpass

#endif
