#include "FaultMatrix/World.h"

#include <nlohmann/json.hpp>

namespace turmericpass {

namespace {

using namespace std::chrono_literals;

constexpr Duration ReadPeriod = 3s;
/// Garbage of old epochs is collected after the job has ended.
constexpr Duration GarbagePatience = 150s;
/// After that time a call in progress counts as unknown.
constexpr std::int64_t OncePatienceMs = 90000;

/// Gives an answer only to a client whose server lives and runs.
bool reaches(const Process &From) { return !From.dead(); }

} // namespace

ClientCall &World::addCall() {
  this->Calls.emplace_back();
  return this->Calls.back();
}

KnownJob &World::submit(const std::string &Lines, std::size_t Items,
                        std::uint64_t WindowMs) {
  this->Jobs.emplace_back();
  KnownJob &Job = this->Jobs.back();
  Job.Key = "key" + std::to_string(this->Jobs.size());
  Job.Items = Items;
  Job.MayExpire = WindowMs < 100000;
  ClientCall &Call = this->addCall();
  Call.Send = [this, &Job, &Call, Lines, WindowMs](Process &To) {
    this->submitFrom(To, Job, Lines, WindowMs, Call);
  };
  return Job;
}

void World::submitFrom(Process &Of, KnownJob &Job, const std::string &Lines,
                       std::uint64_t WindowMs, ClientCall &Call) {
  if (Job.File.empty()) {
    Of.Jobs.putFile("c", "in", Lines,
                    [this, &Job, &Call, &Of](const Result<FileRecord> &File) {
                      if (!reaches(Of) || !File)
                        return;
                      if (!Job.File.empty() && Job.File != File->Id)
                        this->problem("a resend made a second file");
                      if (!Job.File.empty())
                        return;
                      Job.File = File->Id;
                      Call.Next = this->Shared.Time.now();
                    });
    return;
  }
  Of.Jobs.submit(
      {"c", "night", Job.File, "/v1/chat/completions", Job.Key, WindowMs},
      [this, &Job, &Call, &Of](const Result<JobRecord> &Reply) {
        if (!reaches(Of) || !Reply)
          return;
        if (!Job.Id.empty() && Job.Id != Reply->Id)
          this->problem("a resend made a second job");
        Job.Id = Reply->Id;
        Call.Answered = true;
      });
}

void World::cancel(KnownJob &Job) {
  ClientCall &Call = this->addCall();
  Call.Send = [this, &Job, &Call](Process &To) {
    if (Job.Id.empty())
      return;
    To.Jobs.cancel("c", Job.Id,
                   [this, &Job, &Call, &To](const Result<JobRecord> &Reply) {
                     if (!reaches(To))
                       return;
                     if (!Reply && Reply.error().Code != ErrorCode::Conflict)
                       return;
                     Call.Answered = true;
                     if (!Reply)
                       Job.CancelRefused = true;
                     else if (!Job.CancelAcknowledged)
                       Job.CancelAcknowledged = this->Shared.Time.now();
                   });
  };
}

void World::callOnce(const std::string &Key) {
  this->OnceCalls.emplace_back();
  KnownCall &Known = this->OnceCalls.back();
  Known.Key = Key;
  ClientCall &Call = this->addCall();
  Call.Send = [this, &Known, &Call](Process &To) {
    this->beginOnce(To, Known, Call);
  };
}

void World::beginOnce(Process &Of, KnownCall &Known, ClientCall &Call) {
  const std::string Attempt = "attempt" + std::to_string(this->NextAttempt++);
  const auto Tell = [this, &Known, &Call, &Of](const std::string &Text) {
    if (!reaches(Of))
      return;
    if (Known.Answered && Known.Text != Text && !Known.Text.empty())
      this->problem("a resend got another outcome: " + Text);
    Known.Answered = true;
    Known.Text = Text;
    Call.Answered = true;
  };
  Of.Intents.begin(
      {"c", Known.Key}, Attempt, "hash",
      [this, &Known, &Of, Attempt, Tell](const Result<IntentDecision> &Got) {
        if (!reaches(Of) || !Got)
          return;
        if (Got->Verdict == IntentVerdict::Replay)
          return Tell(Got->Outcome.Body);
        const std::int64_t Age = this->Shared.Time.wallMillis() - Got->SinceMs;
        if (Got->Verdict == IntentVerdict::InProgress && Age > OncePatienceMs)
          return Tell("");
        if (Got->Verdict != IntentVerdict::Proceed)
          return;
        const std::string Text =
            this->Backend.execute(Known.Key, Attempt, false);
        Of.Intents.finish({"c", Known.Key}, Attempt,
                          {Execution::Ran, 200, "text/plain", Text},
                          [Tell, Text](const Result<void> &Stored) {
                            if (Stored)
                              Tell(Text);
                          });
      });
}

void World::observe() {
  this->NextRead = this->Shared.Time.now() + ReadPeriod;
  for (KnownJob &Job : this->Jobs)
    if (!Job.Id.empty())
      this->read(Job);
}

void World::read(KnownJob &Job) {
  this->Reader.find("c", Job.Id, [this, &Job](const Result<JobRecord> &Reply) {
    if (!Reply)
      return this->problem("an accepted job is not found");
    const bool IsFinal = Reply->State != JobState::Running &&
                         Reply->State != JobState::Cancelling;
    if (Job.Final && Job.Final != Reply->State)
      this->problem("a job left its final state");
    if (IsFinal)
      Job.Final = Reply->State;
  });
  this->Reader.readFile(
      "c", Job.Id + "-output", [this, &Job](const Result<std::string> &Text) {
        if (!Text)
          return this->problem("committed results cannot be read");
        std::set<std::string> Seen;
        std::size_t At = 0;
        while (At < Text->size()) {
          const std::size_t End = Text->find('\n', At);
          const std::string Line = Text->substr(At, End - At);
          At = End + 1;
          const std::string Id =
              nlohmann::json::parse(Line)["custom_id"].dump();
          if (!Seen.insert(Id).second)
            this->problem("an item has two results");
          const auto [Known, New] = Job.Lines.emplace(Id, Line);
          if (!New && Known->second != Line)
            this->problem("a committed result changed: " + Known->second +
                          " became " + Line);
        }
        if (Seen.size() != Job.Lines.size())
          this->problem("a committed result vanished");
      });
}

/// Returns what is not at rest, empty if everything is.
std::string World::unrest() const {
  for (const PlannedFault &Planned : this->Faults)
    if (!Planned.Fired && Planned.At == Step::CollectGarbage &&
        this->Shared.Time.now() < this->Begun + GarbagePatience)
      return "garbage is not collected";
  for (const ClientCall &Call : this->Calls)
    if (!Call.Answered)
      return "a client has no answer";
  for (const KnownJob &Job : this->Jobs)
    if (!Job.Final)
      return "a job has no end";
  for (const auto &Slot : this->Alive)
    if (Slot->PausedUntil || Slot->ReleaseAt || !Slot->Worker.isIdle() ||
        Slot->Intents.pendingOutcomes() > 0)
      return "a process is busy";
  for (const auto &[Key, Row] : *this->Shared.Rows.rows())
    if (Key.starts_with("open/"))
      return "the index has " + Key;
  return this->Shared.Time.now() >= this->DownUntil ? "" : "the store is down";
}

void World::settle(Duration Limit) {
  const Instant End = this->Shared.Time.now() + Limit;
  while (!this->atRest() && this->Shared.Time.now() < End)
    this->stepOnce();
  if (!this->atRest())
    this->problem("it does not come to rest: " + this->unrest());
  this->pass(2s);
  this->observe();
  this->checkEnd();
}

void World::checkEnd() {
  for (const KnownJob &Job : this->Jobs)
    this->checkJob(Job);
  for (const auto &[Key, Count] : this->Backend.counts()) {
    if (Key.starts_with("once") && Count > 1)
      this->problem(Key + " must not be repeated and ran " +
                    std::to_string(Count) + " times");
  }
  for (const KnownCall &Call : this->OnceCalls) {
    const int Ran = this->Backend.count(Call.Key);
    if (Call.Answered && Call.Text.empty() && !this->SenderLost)
      this->problem("an outcome is unknown though its sender lives");
    if (!Call.Text.empty() && Ran != 1)
      this->problem("an answered call ran " + std::to_string(Ran) + " times");
  }
}

// A request that lay in the queue of a process that stood still cannot be
// called back. The process withdraws it as soon as it runs again, unless it
// must not be repeated: its outcome would then be lost.
bool World::startedInTime(const Service::Execution &Entry,
                          Instant Bound) const {
  if (Entry.At <= Bound)
    return true;
  if (Entry.Leftover && Entry.Key.starts_with("once"))
    return true;
  const auto Withdrawn = this->Withdrawals.find(Entry.RequestId);
  return Entry.Leftover && Withdrawn != this->Withdrawals.end() &&
         Withdrawn->second <= 1s;
}

void World::checkJob(const KnownJob &Job) {
  if (Job.Id.empty() || !Job.Final)
    return;
  if (Job.Lines.size() != Job.Items)
    this->problem("a job with " + std::to_string(Job.Items) + " items has " +
                  std::to_string(Job.Lines.size()) + " results");
  const bool MayStop = Job.MayExpire || Job.CancelAcknowledged;
  if (!MayStop && *Job.Final != JobState::Completed)
    this->problem("a job did not complete");
  if (Job.CancelAcknowledged && !Job.MayExpire &&
      *Job.Final != JobState::Cancelled)
    this->problem("a cancelled job did not end as cancelled");
  if (!Job.CancelAcknowledged)
    return;
  // A batcher that cannot read the list of stopping jobs starts items for at
  // most StoppingJobsMaxAge.
  const Duration Bound =
      (this->Disturbed ? StoppingJobsMaxAge : Duration(1s)) + Tick;
  for (const Service::Execution &Entry : this->Backend.log())
    if (Entry.Key.find(Job.Id) != std::string::npos &&
        !this->startedInTime(Entry, *Job.CancelAcknowledged + Bound))
      this->problem(
          "a cancelled job started " + Entry.Key + " after " +
          std::to_string(toMillis(Entry.At - *Job.CancelAcknowledged)) + " ms" +
          (Entry.Leftover ? ", from the queue of a paused process" : ""));
}

} // namespace turmericpass
