#include "Admission/CustomerQuotas.h"
#include "Admission/RequestLifeCycle.h"
#include "CapacityReport.h"
#include "Probes.h"
#include "Scheduling/Quarantine.h"
#include "Support/SchedulerRig.h"

#include <memory>

namespace turmericpass {

namespace {

/// Submits until \p Count streams run; returns their attempts.
std::vector<SchedulerAttemptId> startStreams(SchedulerRig &Rig, int Count) {
  std::vector<SchedulerAttemptId> Running;
  for (int I = 0; I < Count; ++I) {
    Rig.Sut.submit("gw",
                   Rig.Fleet.request("r" + std::to_string(I), "quote", 435));
    for (const SchedulerAction &Action : Rig.Sut.takeActions())
      if (const auto *Start = std::get_if<StartAttempt>(&Action))
        Running.push_back(Start->Id);
  }
  return Running;
}

/// One second of ticks each 5 ms, in which every stream gets a token each
/// 30 ms, as streams that are not stalled do.
void recordSecond(CapacityReport &Out, SchedulerRig &Rig,
                  const std::vector<SchedulerAttemptId> &Running, double Size) {
  constexpr std::size_t TicksPerToken = 6;
  double Ticks = 0;
  const double Begun = cpuMicros();
  for (std::size_t I = 0; I < 200; ++I) {
    for (std::size_t S = I % TicksPerToken; S < Running.size();
         S += TicksPerToken) {
      Rig.Sut.handleAttemptTokens(Running[S], {{7}, {"word"}});
      Rig.Sut.takeActions();
    }
    Rig.Now.advance(std::chrono::milliseconds(5));
    const double Mark = cpuMicros();
    Rig.Sut.tick();
    Rig.Sut.takeActions();
    Ticks += cpuMicros() - Mark;
  }
  Out.add("scheduler.ticks_cpu_us_s", "servers", Size, Ticks);
  Out.add("scheduler.second_cpu_us_s", "servers", Size, cpuMicros() - Begun);
}

/// A dispatcher with \p Engines servers of 10 streams each.
void probeScheduler(CapacityReport &Out, int Engines) {
  constexpr int Rounds = 60;
  const auto Axis = "servers";
  const auto Size = static_cast<double>(Engines);
  SchedulerRig Rig(Engines, 10);
  Rig.warmUp();
  const double Before = heapBytes();
  double Begun = cpuMicros();
  const std::vector<SchedulerAttemptId> Running =
      startStreams(Rig, Engines * 10);
  const auto Streams = static_cast<double>(Engines * 10);
  Out.add("scheduler.submit_cpu_us", Axis, Size,
          (cpuMicros() - Begun) / Streams);
  Begun = cpuMicros();
  for (int Round = 0; Round < Rounds; ++Round)
    for (const SchedulerAttemptId Id : Running) {
      Rig.Sut.handleAttemptTokens(Id, {{7}, {"word"}});
      Rig.Sut.takeActions();
    }
  Out.add("scheduler.token_cpu_us", Axis, Size,
          (cpuMicros() - Begun) / Rounds /
              static_cast<double>(std::max<std::size_t>(Running.size(), 1)));
  Out.add("scheduler.streams_running", Axis, Size,
          static_cast<double>(Running.size()));
  Out.add("scheduler.memory_per_stream", Axis, Size,
          (heapBytes() - Before) / Streams);
  recordSecond(Out, Rig, Running, Size);
}

void probeQuotas(CapacityReport &Out, std::size_t Count) {
  const auto Size = static_cast<double>(Count);
  const auto Axis = "customers";
  FleetSettings Settings;
  std::vector<std::string> Names;
  for (std::size_t I = 0; I < Count; ++I) {
    Names.push_back("organisation" + std::to_string(I));
    Settings.Customers[Names.back()] = {Names.back(), {}, {}, 20, 9000};
  }
  ManualClock Time;
  const double Before = heapBytes();
  CustomerQuotas Quotas(Time);
  Quotas.configure(Settings, 410);
  double Begun = cpuMicros();
  for (const std::string &Name : Names) {
    Quotas.tryAdmit(Name, 1);
    Quotas.adjustCharge(Name, 1, 1);
  }
  Out.add("quotas.first_request_cpu_us", Axis, Size,
          (cpuMicros() - Begun) / Size);
  Begun = cpuMicros();
  for (const std::string &Name : Names) {
    Quotas.tryAdmit(Name, 1);
    Quotas.adjustCharge(Name, 1, 1);
  }
  Out.add("quotas.request_cpu_us", Axis, Size, (cpuMicros() - Begun) / Size);
  Out.add("quotas.memory", Axis, Size, heapBytes() - Before);
  Begun = cpuMicros();
  Quotas.configure(Settings, 409);
  Out.add("quotas.configure_cpu_us", Axis, Size, cpuMicros() - Begun);
}

/// A customer's request of \p Tokens tokens at a gateway that grants a 410th
/// of its quota, after an idle time.
void probeQuotaShare(CapacityReport &Out, std::size_t Gateways) {
  FleetSettings Settings;
  Settings.Customers["c"] = {"c", {}, {}, 20, 9000};
  ManualClock Time;
  CustomerQuotas Quotas(Time);
  Quotas.configure(Settings, Gateways);
  int Admitted = 0;
  Time.advance(std::chrono::seconds(60));
  for (int I = 0; I < 100; ++I)
    Admitted += Quotas.tryAdmit("c", 435) == Duration(0) ? 1 : 0;
  Out.add("quotas.burst_requests_admitted", "gateways",
          static_cast<double>(Gateways), Admitted);
  int Sustained = 0;
  for (int I = 0; I < 600; ++I) {
    Time.advance(std::chrono::milliseconds(100));
    Sustained += Quotas.tryAdmit("c", 435) == Duration(0) ? 1 : 0;
  }
  Out.add("quotas.requests_admitted_per_minute", "gateways",
          static_cast<double>(Gateways), Sustained);
}

void probeQuarantine(CapacityReport &Out, std::size_t Count) {
  const auto Size = static_cast<double>(Count);
  const auto Axis = "fingerprints";
  std::vector<std::string> Keys;
  std::set<std::string> All;
  for (std::size_t I = 0; I < Count; ++I) {
    Keys.push_back(std::string(56, 'f') + std::to_string(10000000 + I));
    All.insert(Keys.back());
  }
  const double Before = heapBytes();
  Quarantine Found;
  for (const std::string &Key : Keys)
    Found.add(Key);
  Out.add("quarantine.memory", Axis, Size, heapBytes() - Before);
  double Begun = cpuMicros();
  std::size_t Hits = 0;
  for (const std::string &Key : Keys)
    Hits += Found.isQuarantined(Key) ? 1 : 0;
  Out.add("quarantine.lookup_cpu_us", Axis, Size,
          (cpuMicros() - Begun) /
              static_cast<double>(std::max<std::size_t>(Hits, 1)));
  SchedulerRig Rig(4, 4);
  Begun = cpuMicros();
  Rig.Sut.addQuarantinedFingerprints(All);
  Out.add("quarantine.set_cpu_us", Axis, Size, cpuMicros() - Begun);
}

/// \p Count requests in flight at a gateway, each with 435 tokens.
void probeLifeCycles(CapacityReport &Out, std::size_t Count) {
  constexpr std::uint32_t Tokens = 435;
  const auto Size = static_cast<double>(Count);
  const auto Axis = "requests";
  ManualClock Time;
  const Instant Deadline = Time.now() + std::chrono::seconds(60);
  const double Before = heapBytes();
  std::vector<std::unique_ptr<RequestLifeCycle>> Open;
  double Begun = cpuMicros();
  for (std::size_t I = 0; I < Count; ++I) {
    Submit Work;
    Work.RequestId = "request" + std::to_string(I);
    Work.Body = std::string(2000, 'x');
    Work.Stream = true;
    Open.push_back(std::make_unique<RequestLifeCycle>(
        std::move(Work), Deadline, LifeCycleLimits{},
        LifeCycleCallbacks{[](const auto &) { return std::string("d:1"); },
                           [] { return true; }}));
    Open.back()->start(Time.now());
    Open.back()->takeActions();
    Open.back()->handleAccepted("d:1", {Open.back()->work().RequestId, 1, {}},
                                Time.now());
  }
  Out.add("lifecycle.start_cpu_us", Axis, Size, (cpuMicros() - Begun) / Size);
  Begun = cpuMicros();
  for (std::uint32_t I = 0; I < Tokens; ++I)
    for (auto &Each : Open) {
      Each->handleChunk("d:1", {Each->work().RequestId, 1, I, {7}, {"word"}},
                        Time.now());
      Each->takeActions();
    }
  Out.add("lifecycle.token_cpu_us", Axis, Size,
          (cpuMicros() - Begun) / Size / Tokens);
  Out.add("lifecycle.tokens_taken", Axis, Size,
          static_cast<double>(Open.front()->tokenCount()));
  Out.add("lifecycle.memory", Axis, Size, heapBytes() - Before);
  Begun = cpuMicros();
  for (auto &Each : Open)
    Each->tick(Time.now());
  Out.add("lifecycle.tick_all_cpu_us", Axis, Size, cpuMicros() - Begun);
}

} // namespace

void probeServing(CapacityReport &Out) {
  // 133 is the most that one node owns of 12,000 servers; see probeGroups.
  for (const int Engines : {8, 16, 32, 64, 133})
    probeScheduler(Out, Engines);
  for (const std::size_t Count : {1000, 4000, 8000, 14000})
    probeQuotas(Out, Count);
  for (const std::size_t Gateways : {1, 12, 100, 410})
    probeQuotaShare(Out, Gateways);
  for (const std::size_t Count : {1000, 4000, 10000, 20000})
    probeQuarantine(Out, Count);
  for (const std::size_t Count : {100, 300, 600, 1200})
    probeLifeCycles(Out, Count);
}

} // namespace turmericpass
