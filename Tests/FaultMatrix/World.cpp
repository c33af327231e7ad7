#include "FaultMatrix/World.h"

#include <algorithm>

namespace turmericpass {

namespace {

using namespace std::chrono_literals;

/// Longer than the lapse of a lease and the time until others notice it.
constexpr Duration PauseTime = 60s;
constexpr Duration DownTime = 30s;
constexpr Duration SlowTime = 10s;
constexpr Duration SlowReplyTime = 3s;
constexpr Duration LateTime = 5s;
constexpr Duration LateAnswerTime = 15s;
constexpr Duration ClientPatience = 2s;
constexpr Duration RestartTime = 1s;

FleetSettings fleetSettings() {
  FleetSettings Settings;
  Settings.Version = 1;
  Settings.Zones["a"] = {"a", "r"};
  for (const std::uint16_t Port : {7101, 7102}) {
    const std::string Name = "n" + std::to_string(Port);
    Settings.Nodes[Name] = {Name, "a", "127.0.0.1", 0, 0, Port, 0, 0, 0};
  }
  Settings.Services["nosing"] = {"nosing", ServiceKind::Model, "m", true, true,
                                 1000};
  Settings.Services["orders"] = {"orders", ServiceKind::Plain, "", false, false,
                                 0};
  for (const char *Name : {"nosing", "orders"})
    Settings.Servers[Name] = {Name, Name, "a", "127.0.0.1:1", 8};
  return Settings;
}

bool isWord(const Submit &Work, std::string_view Word) {
  return Work.Body.find(Word) != std::string::npos;
}

} // namespace

World::World(std::vector<PlannedFault> Faults, Protections Rules)
    : Fleet(fleetSettings()), Rules(Rules), Backend(Shared.Time),
      Reader(Shared.Rows, Shared.Objects, Shared.Time, Ids),
      Faults(std::move(Faults)), Begun(Shared.Time.now()) {
  this->Alive.push_back(this->make());
  this->Alive.push_back(this->make());
}

std::unique_ptr<Process> World::make() {
  auto Next = std::make_unique<Process>(this->Shared, this->Fleet,
                                        this->NextSeed++, this->Rules);
  const auto Pick = [this, Raw = Next.get()](const std::string &Call) {
    return this->pick(*Raw, Call);
  };
  Next->Rows.Faults.Pick = Pick;
  Next->Objects.Faults.Pick = Pick;
  return Next;
}

StoreFault World::pick(Process &Of, const std::string &Call) {
  const Instant Now = this->Shared.Time.now();
  if (Of.dead())
    return StoreFault::CrashBefore;
  if (Of.PausedUntil)
    return StoreFault::Slow;
  if (Now < this->DownUntil)
    return StoreFault::Unavailable;
  if (isWrite(Call)) {
    const std::optional<Step> At = stepOf(Call);
    if (!At)
      this->problem("no step is declared for the write " + Call);
    else if (const std::optional<Fault> What = this->strike(*At))
      return this->begin(Of, *What);
  }
  if (Now < Of.SlowUntil) {
    if (!Of.ReleaseAt)
      Of.ReleaseAt = Now + SlowReplyTime;
    return StoreFault::Slow;
  }
  return StoreFault::None;
}

std::optional<Fault> World::strike(Step At) {
  for (PlannedFault &Planned : this->Faults) {
    if (Planned.Fired || Planned.At != At)
      continue;
    Planned.Fired = true;
    return Planned.What;
  }
  return std::nullopt;
}

StoreFault World::begin(Process &Of, Fault What) {
  const Instant Now = this->Shared.Time.now();
  this->Disturbed = true;
  switch (What) {
  case Fault::CrashBefore:
  case Fault::CrashAfter:
    this->SenderLost = true;
    return What == Fault::CrashBefore ? StoreFault::CrashBefore
                                      : StoreFault::CrashAfter;
  case Fault::PauseBefore:
    this->pauseUntil(Of, Now + PauseTime);
    return StoreFault::Slow;
  case Fault::PauseAfter:
    this->pauseUntil(Of, Now + PauseTime);
    return StoreFault::SlowReply;
  case Fault::StoreDown:
    this->DownUntil = Now + DownTime;
    return StoreFault::Unavailable;
  case Fault::StoreSlow:
    Of.SlowUntil = Now + SlowTime;
    Of.ReleaseAt = Now + SlowReplyTime;
    return StoreFault::Slow;
  case Fault::ReplyLost:
    return StoreFault::ReplyLost;
  case Fault::LateEffect:
    Of.ReleaseAt = Now + LateTime;
    return StoreFault::LateEffect;
  case Fault::ClientResends:
    for (ClientCall &Call : this->Calls)
      Call.Next = Now;
    Of.ReleaseAt = Now + 1s;
    return StoreFault::Slow;
  case Fault::OperatorsRace:
    // The write is held while the other process does the same.
    for (ClientCall &Call : this->Calls)
      Call.Next = Now;
    Of.ReleaseAt = Now + SlowReplyTime;
    return StoreFault::Slow;
  default:
    this->problem("fault " + std::string(toName(What)) + " is not for a store");
    return StoreFault::None;
  }
}

void World::pauseUntil(Process &Of, Instant Until) {
  this->Disturbed = true;
  this->SenderLost = true;
  Of.PausedUntil = Until;
}

void World::crash(std::size_t Index) {
  this->Disturbed = true;
  this->SenderLost = true;
  this->Alive[Index]->crash();
}

void World::pause(std::size_t Index, Duration For) {
  if (!this->Alive[Index]->dead())
    this->pauseUntil(*this->Alive[Index], this->Shared.Time.now() + For);
}

void World::storeDown(Duration For) {
  this->Disturbed = true;
  this->DownUntil = this->Shared.Time.now() + For;
}

void World::failNext(std::size_t Index, StoreFault What) {
  this->Disturbed = true;
  this->Alive[Index]->Rows.Faults.Next.push_back(What);
}

void World::pass(Duration Time) {
  for (Duration Done{0}; Done < Time; Done += Tick)
    this->stepOnce();
}

void World::stepOnce() {
  this->Shared.Time.advance(Tick);
  const Instant Now = this->Shared.Time.now();
  for (std::unique_ptr<Process> &Slot : this->Alive) {
    if (!Slot->dead())
      continue;
    // A dead process stays in memory, since held calls refer to it.
    Slot->crash();
    // The broken connection tells the dispatchers to stop its requests.
    for (const std::string &Id : Slot->Requests)
      this->Withdrawals.emplace(Id, Duration{0});
    this->Dead.push_back(std::move(Slot));
    Slot = this->make();
    Slot->PausedUntil = Now + RestartTime;
  }
  for (const std::unique_ptr<Process> &Gone : this->Dead)
    if (Gone->ReleaseAt && *Gone->ReleaseAt <= Now) {
      Gone->ReleaseAt.reset();
      Gone->release();
    }
  for (std::size_t I = 0; I < this->Alive.size(); ++I)
    this->tend(*this->Alive[I]);
  this->deliver();
  for (ClientCall &Call : this->Calls) {
    Process *To =
        Call.Answered || Call.Next > Now ? nullptr : this->choose(Call.Sent);
    if (!To)
      continue;
    Call.Next = Now + ClientPatience;
    ++Call.Sent;
    Call.Send(*To);
  }
  if (Now >= this->NextRead)
    this->observe();
}

Process *World::choose(std::size_t Sent) {
  for (std::size_t I = 0; I < this->Alive.size(); ++I) {
    Process &To = *this->Alive[(Sent + I) % this->Alive.size()];
    if (!To.dead() && !To.PausedUntil)
      return &To;
  }
  return nullptr;
}

void World::tend(Process &Of) {
  const Instant Now = this->Shared.Time.now();
  if (Of.PausedUntil) {
    if (*Of.PausedUntil > Now)
      return;
    Of.PausedUntil.reset();
    Of.LastWake = Now;
    Of.ReleaseAt = Now;
    Of.Leftovers = Of.Peers.Out.size();
  }
  if (Of.holds() && !Of.ReleaseAt)
    Of.ReleaseAt = Now + LateTime;
  if (Of.ReleaseAt && *Of.ReleaseAt <= Now) {
    Of.ReleaseAt.reset();
    Of.release();
  }
  // A crash or a pause in one call ends the turn of the whole process.
  const auto Runs = [&Of] { return !Of.dead() && !Of.PausedUntil; };
  if (Runs())
    Of.Intents.tick();
  if (Runs())
    Of.Batcher.storeTick();
  if (Runs())
    Of.Batcher.tick();
  if (Runs())
    this->exchange(Of);
}

void World::exchange(Process &Of) {
  std::vector<FakePeerPort::Sent> Out;
  Out.swap(Of.Peers.Out);
  const std::size_t Leftovers = std::exchange(Of.Leftovers, 0);
  for (std::size_t I = 0; I < Out.size(); ++I) {
    if (Of.PausedUntil || Of.dead()) {
      Of.Peers.Out.insert(Of.Peers.Out.end(),
                          Out.begin() + static_cast<std::ptrdiff_t>(I),
                          Out.end());
      Of.Leftovers = Of.Peers.Out.size();
      return;
    }
    if (const auto *Work = std::get_if<Submit>(&Out[I].Body))
      this->run(Of, Out[I].Peer, *Work, I < Leftovers);
    else if (const auto *Order = std::get_if<Cancel>(&Out[I].Body))
      this->withdraw(Of, Out[I].Peer, *Order);
  }
}

void World::run(Process &Of, const std::string &Peer, const Submit &Work,
                bool Leftover) {
  const Instant Now = this->Shared.Time.now();
  const std::optional<Fault> Struck = this->strike(Step::Run);
  if (Struck == Fault::CrashBefore || Struck == Fault::CrashAfter)
    this->SenderLost = true;
  if (Struck == Fault::CrashBefore)
    return Of.crash();
  if (Struck == Fault::PauseBefore || Struck == Fault::PauseAfter)
    this->pauseUntil(Of, Now + PauseTime);
  if (Struck == Fault::PauseBefore) {
    Of.Peers.Out.push_back({Peer, Work});
    Of.Leftovers = Of.Peers.Out.size();
    return;
  }
  if (Struck == Fault::StoreDown)
    this->storeDown(DownTime);
  if (Struck == Fault::StoreSlow)
    Of.SlowUntil = Now + SlowTime;
  Of.Requests.push_back(Work.RequestId);
  this->answer(Of, Peer, Work, Struck, Leftover);
  if (Struck == Fault::CrashAfter)
    Of.crash();
}

void World::answer(Process &Of, const std::string &Peer, const Submit &Work,
                   std::optional<Fault> Struck, bool Leftover) {
  Instant Due = this->Shared.Time.now() + Tick;
  this->Answers.push_back(
      {Due, &Of, Peer, Accepted{Work.RequestId, Work.Attempt, {}}});
  Finish Ending;
  Ending.RequestId = Work.RequestId;
  Ending.Attempt = Work.Attempt;
  Ending.Ran = Execution::Ran;
  Ending.Status = 200;
  const std::string Text = this->Backend.execute(
      (Work.Repeatable ? "" : "once/") + Work.IdempotencyKey, Work.RequestId,
      Leftover);
  if (isWord(Work, "bad")) {
    Ending.Code = FinishCode::ServerError;
    Ending.Status = 500;
  } else if (isWord(Work, "hang")) {
    return;
  }
  if (isWord(Work, "slow"))
    Due += 2s;
  if (Struck == Fault::LateAnswer)
    Due += LateAnswerTime;
  Chunk Piece{Work.RequestId, Work.Attempt, 0, {1, 2}, {Text, "."}};
  if (!Work.Stream) {
    Ending.Body = "\"" + Text + "\"";
  } else if (Ending.Code == FinishCode::Ok) {
    Ending.TotalTokens = 2;
    if (Struck == Fault::CutAnswer)
      Piece = {Work.RequestId, Work.Attempt, 1, {2}, {"."}};
    this->Answers.push_back({Due, &Of, Peer, Piece});
  }
  if (Struck == Fault::CrossedAnswer) {
    Finish Crossed = Ending;
    Crossed.Attempt += 7;
    Crossed.Body = "\"of another request\"";
    Crossed.TotalTokens = 0;
    this->Answers.push_back({Due, &Of, Peer, Crossed});
    Crossed.Attempt = Ending.Attempt;
    this->Answers.push_back({Due, &Of, "127.0.0.1:9", Crossed});
  }
  this->Answers.push_back({Due, &Of, Peer, Ending});
  if (Struck == Fault::DuplicateAnswer)
    this->Answers.push_back({Due, &Of, Peer, Ending});
}

void World::withdraw(Process &Of, const std::string &Peer,
                     const Cancel &Order) {
  this->Withdrawals.emplace(Order.RequestId,
                            this->Shared.Time.now() - Of.LastWake);
  Finish Ending;
  Ending.RequestId = Order.RequestId;
  Ending.Attempt = Order.Attempt;
  Ending.Code = FinishCode::Cancelled;
  Ending.Ran = Execution::Ran;
  this->Answers.push_back({this->Shared.Time.now() + Tick, &Of, Peer, Ending});
}

void World::deliver() {
  const Instant Now = this->Shared.Time.now();
  std::deque<Answer> Due;
  std::deque<Answer> Later;
  for (Answer &Entry : this->Answers) {
    const bool Ready = Entry.Due <= Now && !Entry.To->PausedUntil;
    (Ready ? Due : Later).push_back(std::move(Entry));
  }
  this->Answers = std::move(Later);
  for (const Answer &Entry : Due) {
    if (Entry.To->PausedUntil)
      this->Answers.push_back(Entry);
    else if (!Entry.To->dead())
      Entry.To->Batcher.received(Entry.Peer, Entry.Body);
  }
}

void World::problem(const std::string &Text) {
  if (std::find(this->Problems.begin(), this->Problems.end(), Text) ==
      this->Problems.end())
    this->Problems.push_back(Text);
}

} // namespace turmericpass
