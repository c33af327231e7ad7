#ifndef TURMERICPASS_TESTS_FAULTMATRIX_PROCESS_H
#define TURMERICPASS_TESTS_FAULTMATRIX_PROCESS_H

#include "Batcher/BatcherDaemon.h"
#include "Control/DecisionLog.h"
#include "Jobs/TableIntentLedger.h"
#include "Jobs/TableJobService.h"
#include "Loop/EventLoop.h"
#include "Support/BatchNode.h"
#include "Support/FakePeerPort.h"
#include "Support/StaticFleet.h"
#include "Telemetry/Logger.h"
#include "Telemetry/Metrics.h"

namespace turmericpass {

/// One entry VM: the durable parts of a gateway and a batcher, over the real
/// classes and its own connections to the shared stores.
class Process {
public:
  Process(BatchPlatform &Shared, const FleetSource &Fleet, std::uint64_t Seed,
          Protections Rules)
      : Rows(Shared.Rows.rows()), Objects(Shared.Objects.objects()), Ids(Seed),
        Loop(Shared.Time), Spans(Shared.Time, Ids, "test", "a1", false),
        Records(Shared.Time, 100, 100000),
        Intents(Rows, Shared.Time, Ids, Rules),
        Jobs(Rows, Objects, Shared.Time, Ids, Rules),
        Worker(Rows, Objects, Shared.Time, Ids, {}, Rules),
        Batcher({Loop, Peers, Shared.Time, Ids, Log, Stats, Spans, Fleet,
                 Records, Worker, Intents, "a"}) {}

  bool dead() const {
    return this->Rows.Faults.Dead || this->Objects.Faults.Dead;
  }

  void crash() {
    this->Rows.Faults.Dead = true;
    this->Objects.Faults.Dead = true;
  }

  bool holds() const {
    return this->Rows.Faults.held() + this->Objects.Faults.held() > 0;
  }

  void release() {
    this->Rows.Faults.release();
    this->Objects.Faults.release();
  }

  MemoryTable Rows;
  MemoryObjectStore Objects;
  IdSource Ids;
  EventLoop Loop;
  FakePeerPort Peers;
  NullLogger Log;
  Metrics Stats;
  Tracer Spans;
  DecisionLog Records;
  TableIntentLedger Intents;
  TableJobService Jobs;
  BatchWorker Worker;
  BatcherDaemon Batcher;
  /// The process stands still until then.
  std::optional<Instant> PausedUntil;
  Instant LastWake{};
  /// How many queued messages are older than the last pause.
  std::size_t Leftovers = 0;
  /// The ids of the requests that it sent.
  std::vector<std::string> Requests;
  /// Held calls are done and answered then.
  std::optional<Instant> ReleaseAt;
  /// Every call is held until then.
  Instant SlowUntil{};
};

} // namespace turmericpass

#endif
