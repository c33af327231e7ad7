#include "Serving/RateLimitsFleet.h"

#include <algorithm>

namespace turmericpass {

using namespace std::chrono_literals;

namespace {

constexpr Duration Step = 10ms;
constexpr Duration ZoneInterval = 20ms;
constexpr Duration AllInterval = 400ms;

} // namespace

RateLimitsFleet::RateLimitsFleet(Options Setup)
    : Setup(Setup), Random(Setup.Seed), StartedAt(this->Time.now()),
      CentralBalance(Setup.Burst) {
  this->Organisation.Name = "o";
  this->Organisation.RatePerSecond = Setup.Rate;
  this->Organisation.Burst = Setup.Burst;
  const int Count = Setup.Zones * Setup.VmsPerZone;
  for (int I = 0; I < Count; ++I)
    this->Addresses.push_back("10.0.0." + std::to_string(I) + ":1");
  this->Vms.resize(static_cast<std::size_t>(Count));
  for (std::size_t I = 0; I < this->Vms.size(); ++I) {
    this->Vms[I].Zone = static_cast<int>(I) % Setup.Zones;
    this->start(I);
  }
}

void RateLimitsFleet::start(std::size_t Vm) {
  auto &Started = this->Vms[Vm];
  Started.Limits =
      std::make_unique<RateLimits>(this->Time, this->Addresses[Vm]);
  Started.Incarnation = ++this->Incarnations;
  Started.Limits->setListedVms(this->Addresses);
  Started.Limits->setOrganisations({this->Organisation});
  Started.ZoneSentAt = this->Time.now();
  // The VMs do not send at the same time.
  Started.AllSentAt =
      this->Time.now() -
      Duration(static_cast<std::int64_t>(
          this->random() * static_cast<double>(AllInterval.count())));
}

double RateLimitsFleet::now() const {
  return std::chrono::duration<double>(this->Time.now() - this->StartedAt)
      .count();
}

bool RateLimitsFleet::isCut(std::size_t From, std::size_t To) const {
  return this->CutZone >= 0 && (this->Vms[From].Zone == this->CutZone) !=
                                   (this->Vms[To].Zone == this->CutZone);
}

void RateLimitsFleet::send(std::size_t From) {
  Vm &Sender = this->Vms[From];
  const Instant Now = this->Time.now();
  const bool ToAll = Now - Sender.AllSentAt >= AllInterval;
  if (!ToAll && (!Sender.Changed || Now - Sender.ZoneSentAt < ZoneInterval))
    return;
  Sender.Changed = false;
  Sender.ZoneSentAt = Now;
  if (ToAll)
    Sender.AllSentAt = Now;
  const auto Report =
      std::make_shared<const UseReport>(Sender.Limits->makeReport(
          ++Sender.Sequence,
          ToAll ? ReportScope::Recent : ReportScope::Changed));
  for (std::size_t To = 0; To < this->Vms.size(); ++To) {
    const bool IsOwnZone = Sender.Zone == this->Vms[To].Zone;
    if (To == From || (!ToAll && !IsOwnZone) || this->isCut(From, To) ||
        this->random() < this->Setup.Loss)
      continue;
    const Duration Longest = IsOwnZone ? 5ms : this->Setup.OtherZoneDelay;
    const Duration Delay(static_cast<std::int64_t>(
        this->random() * static_cast<double>(Longest.count())));
    this->InTransit.emplace(Now + Delay,
                            Message{From, To, Sender.Incarnation, Report});
  }
}

void RateLimitsFleet::deliver() {
  while (!this->InTransit.empty() &&
         this->InTransit.begin()->first <= this->Time.now()) {
    const Message Arrived = this->InTransit.begin()->second;
    this->InTransit.erase(this->InTransit.begin());
    // Digests of an earlier incarnation are dropped by their receivers, as
    // PeerDirectory keeps the newest one of each address.
    if (!this->Vms[Arrived.To].Limits ||
        this->Vms[Arrived.From].Incarnation != Arrived.Incarnation)
      continue;
    this->Vms[Arrived.To].Limits->addVmReport(
        this->Addresses[Arrived.From], Arrived.Incarnation, *Arrived.Report,
        true, this->Vms[Arrived.From].Zone == this->Vms[Arrived.To].Zone);
  }
}

void RateLimitsFleet::request() {
  std::vector<std::size_t> Usable;
  for (std::size_t I = 0; I < this->Vms.size(); ++I)
    if (this->Vms[I].Limits &&
        (this->UsedVms.empty() ||
         std::find(this->UsedVms.begin(), this->UsedVms.end(), I) !=
             this->UsedVms.end()))
      Usable.push_back(I);
  if (Usable.empty())
    return;
  Vm &Used = this->Vms[Usable[this->Random() % Usable.size()]];
  this->requestCentrally();
  const bool IsRefused =
      Used.Limits->refuse(this->Organisation, this->Random()).has_value();
  Used.Changed = Used.Changed || !IsRefused;
  (IsRefused ? this->Refused : this->Admitted).push_back(this->now());
}

void RateLimitsFleet::requestCentrally() {
  const double Now = this->now();
  this->CentralBalance =
      std::min(this->Setup.Burst,
               this->CentralBalance +
                   this->Setup.Rate * (Now - this->CentralRefilledAt));
  this->CentralRefilledAt = Now;
  if (this->CentralBalance > 0)
    this->CentralBalance -= 1;
  else
    ++this->CentralRefused;
}

double RateLimitsFleet::refusedWithinLimit() const {
  if (this->Refused.size() <= this->CentralRefused)
    return 0;
  return static_cast<double>(this->Refused.size() - this->CentralRefused) /
         static_cast<double>(this->requestCount());
}

void RateLimitsFleet::run(double Seconds, const Demand &Wanted) {
  const double StepSeconds = std::chrono::duration<double>(Step).count();
  while (this->now() < Seconds) {
    this->deliver();
    for (std::size_t I = 0; I < this->Vms.size(); ++I)
      if (this->Vms[I].Limits)
        this->send(I);
    const double Mean = Wanted(this->now()) * StepSeconds;
    const int Requests =
        Mean <= 0 ? 0 : std::poisson_distribution<int>(Mean)(this->Random);
    for (int I = 0; I < Requests; ++I)
      this->request();
    this->Time.advance(Step);
  }
}

double RateLimitsFleet::worstWindow() const {
  constexpr double Window = 5;
  const double Limit =
      (this->Setup.Rate * Window + this->Setup.Burst) * 1.1 + 20;
  std::size_t Most = 0;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < this->Admitted.size(); ++Last) {
    while (this->Admitted[Last] - this->Admitted[First] > Window)
      ++First;
    Most = std::max(Most, Last - First + 1);
  }
  return static_cast<double>(Most) / Limit;
}

double RateLimitsFleet::admittedBetween(double From, double To) const {
  return static_cast<double>(
      std::count_if(this->Admitted.begin(), this->Admitted.end(),
                    [&](double At) { return At >= From && At < To; }));
}

double RateLimitsFleet::refusedPart(double Since) const {
  const auto CountSince = [&](const std::vector<double> &Times) {
    return static_cast<double>(std::count_if(
        Times.begin(), Times.end(), [&](double At) { return At >= Since; }));
  };
  const double All = CountSince(this->Refused) + CountSince(this->Admitted);
  return All == 0 ? 0 : CountSince(this->Refused) / All;
}

} // namespace turmericpass
