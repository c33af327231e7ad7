#include "BaselineScheduler.h"
#include "Daemon/DaemonContext.h"
#include "Dispatcher/DispatcherProgram.h"

#include <cstdlib>
#include <iostream>
#include <utility>

using namespace turmericpass;

/// The dispatcher with a baseline policy, named by the environment variable
/// BASELINE_POLICY so that its command line stays that of the real one.
int main(int ArgCount, char **Args) {
  const char *Name = std::getenv("BASELINE_POLICY");
  BaselinePolicy Policy = BaselinePolicy::LeastOutstanding;
  if (!Name || !fromName(Name, Policy)) {
    std::cerr << "BASELINE_POLICY must be round_robin, least_outstanding, "
                 "fcfs or static_partition\n";
    return static_cast<int>(ExitStatus::Usage);
  }
  DaemonStart Start = readDaemonOptions(
      "BaselineDispatcher", "dispatches by a simple policy", ArgCount, Args);
  if (!Start.Options)
    return static_cast<int>(Start.Status);
  DaemonContext Context(DaemonRole::Dispatcher, std::move(*Start.Options));
  BaselineScheduler Decisions(Policy);
  return static_cast<int>(runDispatcher(Context, Decisions));
}
