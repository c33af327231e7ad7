#ifndef TURMERICPASS_DAEMON_PLATFORMSTORES_H
#define TURMERICPASS_DAEMON_PLATFORMSTORES_H

#include "Daemon/DaemonContext.h"
#include "Platform/BudgetedObjectStore.h"
#include "Platform/BudgetedTable.h"
#include "Platform/HttpObjectStore.h"
#include "Platform/HttpTable.h"

namespace turmericpass {

/// Returns the part of the platform's budget that the daemon \p Role of one
/// node may use. Nodes have equal parts, but never less than one busy daemon
/// needs: few of the daemons of a large fleet are busy at once, and the store's
/// refusals hold back the rest.
StoreLimits storeShare(const FleetSettings &Settings, DaemonRole Role);

/// As storeShare, for the object store. A job of 20,000 items is uploaded in 40
/// objects at once and then nothing for long, so its puts wait instead of
/// being refused.
StoreLimits objectShare(const FleetSettings &Settings, DaemonRole Role);

/// A daemon's table and object store, kept within its part of the budget.
class PlatformStores {
public:
  explicit PlatformStores(DaemonContext &Context);

  Table &rows() { return this->Rows; }
  ObjectStore &objects() { return this->Objects; }

private:
  void collect(Metrics &Stats) const;

  HttpTable PlainRows;
  HttpObjectStore PlainObjects;
  BudgetedTable Rows;
  BudgetedObjectStore Objects;
};

} // namespace turmericpass

#endif
