#include "Daemon/DaemonContext.h"
#include "Dispatcher/DispatcherProgram.h"
#include "Scheduling/FleetScheduler.h"

#include <utility>

using namespace turmericpass;

int main(int ArgCount, char **Args) {
  DaemonStart Start = readDaemonOptions(
      "turmericpass-dispatcher",
      "decides what each backend server of this node runs", ArgCount, Args);
  if (!Start.Options)
    return static_cast<int>(Start.Status);
  DaemonContext Context(DaemonRole::Dispatcher, std::move(*Start.Options));
  FleetScheduler Decisions(Context.Time, Context.Ids);
  return static_cast<int>(runDispatcher(Context, Decisions));
}
