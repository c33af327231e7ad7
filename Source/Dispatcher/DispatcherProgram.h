#ifndef TURMERICPASS_DISPATCHER_DISPATCHERPROGRAM_H
#define TURMERICPASS_DISPATCHER_DISPATCHERPROGRAM_H

#include "Daemon/DaemonOptions.h"

namespace turmericpass {

class DaemonContext;
class Scheduler;

/// Runs a dispatcher with \p Decisions until its drain is over.
ExitStatus runDispatcher(DaemonContext &Context, Scheduler &Decisions);

} // namespace turmericpass

#endif
