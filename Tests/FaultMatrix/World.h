#ifndef TURMERICPASS_TESTS_FAULTMATRIX_WORLD_H
#define TURMERICPASS_TESTS_FAULTMATRIX_WORLD_H

#include "FaultMatrix/Process.h"
#include "FaultMatrix/Service.h"
#include "FaultMatrix/Steps.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace turmericpass {

/// A fault that strikes once, at the next time its step is reached.
struct PlannedFault {
  Step At = Step::Accept;
  Fault What = Fault::CrashBefore;
  bool Fired = false;
};

/// What a client asks for, sent again until it is answered.
struct ClientCall {
  std::function<void(Process &)> Send;
  bool Answered = false;
  Instant Next{};
  std::size_t Sent = 0;
};

/// What the clients were told of one batch job.
struct KnownJob {
  std::string Key;
  bool Upload = false;
  std::string File;
  /// Empty until a submission is acknowledged.
  std::string Id;
  std::size_t Items = 0;
  bool MayExpire = false;
  std::optional<Instant> CancelAcknowledged;
  bool CancelRefused = false;
  std::optional<JobState> Final;
  /// Result lines by custom id, as they were first read.
  std::map<std::string, std::string> Lines;
};

/// What the client was told of one call that must run at most once.
struct KnownCall {
  std::string Key;
  bool Answered = false;
  /// Empty if the outcome is unknown.
  std::string Text;
};

/// Two processes, their clients, and a service, with faults. Everything goes
/// on after the faults until it comes to rest; what then does not hold stands
/// in problems().
class World {
public:
  explicit World(std::vector<PlannedFault> Faults, Protections Rules = {});

  /// Submits a job whose input is \p Lines.
  KnownJob &submit(const std::string &Lines, std::size_t Items,
                   std::uint64_t WindowMs);
  void cancel(KnownJob &Job);
  void callOnce(const std::string &Key);

  /// Lets \p Time pass in steps of Tick.
  void pass(Duration Time);

  /// Goes on until all is at rest, at most \p Limit, and checks everything.
  void settle(Duration Limit = std::chrono::seconds(400));

  /// Faults that tests set by hand; \p Index is 0 or 1.
  void crash(std::size_t Index);
  void pause(std::size_t Index, Duration For);
  void storeDown(Duration For);
  void failNext(std::size_t Index, StoreFault What);
  void plan(PlannedFault Fault) { this->Faults.push_back(Fault); }

  const std::vector<std::string> &problems() const { return this->Problems; }
  const std::vector<PlannedFault> &faults() const { return this->Faults; }

  static constexpr Duration Tick = std::chrono::milliseconds(200);

private:
  struct Answer {
    Instant Due;
    Process *To = nullptr;
    std::string Peer;
    Message Body;
  };

  std::unique_ptr<Process> make();
  Process *choose(std::size_t Sent);
  StoreFault pick(Process &Of, const std::string &Call);
  std::optional<Fault> strike(Step At);
  StoreFault begin(Process &Of, Fault What);
  void pauseUntil(Process &Of, Instant Until);
  void stepOnce();
  void tend(Process &Of);
  void deliver();
  void exchange(Process &Of);
  void run(Process &Of, const std::string &Peer, const Submit &Work,
           bool Leftover);
  void answer(Process &Of, const std::string &Peer, const Submit &Work,
              std::optional<Fault> Struck, bool Leftover);
  void withdraw(Process &Of, const std::string &Peer, const Cancel &Order);
  void submitFrom(Process &Of, KnownJob &Job, const std::string &Lines,
                  std::uint64_t WindowMs, ClientCall &Call);
  void beginOnce(Process &Of, KnownCall &Known, ClientCall &Call);
  ClientCall &addCall();
  void observe();
  void read(KnownJob &Job);
  std::string unrest() const;
  bool atRest() const { return this->unrest().empty(); }
  bool startedInTime(const Service::Execution &Entry, Instant Bound) const;
  void checkEnd();
  void checkJob(const KnownJob &Job);
  void problem(const std::string &Text);

  BatchPlatform Shared;
  StaticFleet Fleet;
  Protections Rules;
  Service Backend;
  std::list<std::unique_ptr<Process>> Dead;
  std::vector<std::unique_ptr<Process>> Alive;
  TableJobService Reader;
  IdSource Ids{99};
  std::vector<PlannedFault> Faults;
  std::deque<Answer> Answers;
  std::list<ClientCall> Calls;
  std::list<KnownJob> Jobs;
  std::list<KnownCall> OnceCalls;
  std::uint64_t NextSeed = 1;
  std::uint64_t NextAttempt = 1;
  /// When a request was withdrawn, by its id.
  std::map<std::string, Instant> Withdrawals;
  Instant Begun;
  Instant DownUntil{};
  Instant NextRead{};
  /// Some store call failed or some process stood still.
  bool Disturbed = false;
  bool SenderLost = false;
  std::vector<std::string> Problems;
};

} // namespace turmericpass

#endif
