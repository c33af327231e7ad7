#include "Serving/RateLimits.h"

#include "Core/Hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace turmericpass {

namespace {

/// The window of the limit allows 20 requests in addition to the rate and the
/// burst. This part of them is added to the burst, because requests of small
/// organisations come at random: with a burst below one request, 1 in 8 of a
/// demand well within the rate was refused.
constexpr double AddedBurst = 8;

/// From this part of the limit of the window on, a VM admits its share of the
/// rate only. Before, a demand of five times the rate in three zones exceeds
/// the limit by 1.3 seconds of the rate until all VMs know of it.
constexpr double SharedPart = 0.8;

/// The time for which unused tokens near the limit of the window are kept.
constexpr double ShareTokenSeconds = 0.1;

/// The lowest balance in seconds of the rate. A sudden demand of five times the
/// rate leads to -1.3 seconds. Lower values come from reports after a
/// partition, whose requests were admitted with the parts of their senders.
constexpr double LowestBalanceSeconds = 2;

/// By this time after the settings have arrived, a VM has got a report of each
/// VM that it hears.
constexpr Duration ReportingTime = std::chrono::milliseconds(450);
/// A VM that still hears few others after this time is on the small side of a
/// partition, and uses the parts of those that it hears.
constexpr Duration MaxUninformedTime = std::chrono::seconds(2);

/// Callers that are refused at the same time are spread over this time.
constexpr Duration RetrySpread = std::chrono::seconds(1);
constexpr Duration MinRetryDelay = std::chrono::milliseconds(300);
/// The delay is bounded for rates of a few requests per hour.
constexpr double MaxRetrySeconds = 60;

/// The number of reports for which this VM remembers what they contained.
constexpr std::size_t MaxSentReports = 64;

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

OrganisationKey organisationKey(std::string_view Name) { return hash64(Name); }

RateLimits::RateLimits(const Clock &Time, const std::string &Address)
    : Time(Time), Shares(Time, Address) {}

double RateLimits::fullBurst(const Bucket &State) {
  return State.Burst + AddedBurst;
}

double RateLimits::capacity(const Bucket &State) const {
  return fullBurst(State) *
         (this->Informed ? this->Shares.heardPart() : this->Shares.ownPart());
}

double RateLimits::credit() const {
  return this->Informed ? this->Shares.credit() : this->Shares.ownCredit();
}

void RateLimits::refill(Bucket &State) {
  const double Credit = this->credit();
  State.Balance =
      std::min(State.Balance + State.Rate * (Credit - State.Refilled),
               this->capacity(State));
  State.Refilled = Credit;
}

void RateLimits::update() {
  this->Shares.update();
  if (this->Informed || !this->SettingsAt)
    return;
  const Duration Age = this->Time.now() - *this->SettingsAt;
  const bool HearsMost = this->Shares.heard() * 2 > this->Shares.count();
  if (this->Shares.count() == 1 || (HearsMost && Age >= ReportingTime) ||
      Age >= MaxUninformedTime)
    this->becomeInformed();
}

void RateLimits::becomeInformed() {
  const bool HearsMost = this->Shares.heard() * 2 > this->Shares.count();
  for (auto &[Key, State] : this->Buckets)
    this->refill(State);
  this->Informed = true;
  const Instant Now = this->Time.now();
  for (auto &[Key, State] : this->Buckets) {
    State.Refilled = this->credit();
    if (State.FromInformed) {
      State.Balance = static_cast<double>(State.FromInformed->Balance) -
                      static_cast<double>(State.Own.Admitted);
      const std::uint64_t Counted = State.Window.total(Now);
      if (State.FromInformed->FleetRecently > Counted)
        State.Window.addSpread(Now,
                               State.FromInformed->FleetRecently - Counted);
      State.FromInformed.reset();
    } else if (HearsMost) {
      // No other VM had a request of the organisation before this VM started.
      State.Balance = fullBurst(State) - static_cast<double>(State.Seen);
    }
    State.Balance = std::min(State.Balance, this->capacity(State));
  }
}

void RateLimits::setOrganisations(
    const std::vector<OrganisationSettings> &Organisations) {
  if (!this->SettingsAt)
    this->SettingsAt = this->Time.now();
  this->update();
  std::unordered_map<OrganisationKey, Bucket> Kept;
  for (const OrganisationSettings &Each : Organisations) {
    if (Each.RatePerSecond <= 0)
      continue;
    const OrganisationKey Key = organisationKey(Each.Name);
    const auto Known = this->Buckets.find(Key);
    const bool IsNew = Known == this->Buckets.end();
    Bucket &State = Kept[Key];
    if (!IsNew) {
      this->refill(Known->second);
      State = Known->second;
    }
    State.Rate = Each.RatePerSecond;
    State.Burst = Each.Burst;
    State.Refilled = this->credit();
    const double Capacity = this->capacity(State);
    State.Balance = IsNew ? Capacity : std::min(State.Balance, Capacity);
  }
  this->Buckets = std::move(Kept);
  const auto IsUnknown = [&](OrganisationKey Key) {
    return !this->Buckets.contains(Key);
  };
  std::erase_if(this->OwnActive, IsUnknown);
  std::erase_if(this->ZoneActive, IsUnknown);
}

void RateLimits::setListedVms(const std::vector<std::string> &Addresses) {
  this->Shares.setListedVms(Addresses);
}

bool RateLimits::exceedsWindow(Bucket &State) {
  const Instant Now = this->Time.now();
  const double Window = seconds(UseWindow::Length) * State.Rate;
  const double Limit = Window + State.Burst;
  const auto Seen = static_cast<double>(State.Window.total(Now));
  // The other VMs may have admitted their parts since they were last heard, and
  // both sides of a partition may have used the burst before they noticed it.
  const double Expected = Seen + State.Rate * this->Shares.meanAge() +
                          State.Burst * (1 - this->Shares.heardPart());
  const double Elapsed = seconds(Now - State.ShareRefilledAt);
  State.ShareRefilledAt = Now;
  if (Expected >= Limit + AddedBurst)
    return true;
  const double Part = std::max(
      this->Shares.ownPart(),
      Seen > 0 ? static_cast<double>(State.Window.own(Now)) / Seen : 0.0);
  const double Share = State.Rate * Part;
  State.ShareTokens = std::min(State.ShareTokens + Elapsed * Share,
                               std::max(1.0, Share * ShareTokenSeconds));
  if (Seen < SharedPart * Limit + AddedBurst)
    return false;
  if (State.ShareTokens < 1)
    return true;
  State.ShareTokens -= 1;
  return false;
}

std::optional<Duration>
RateLimits::refuse(const OrganisationSettings &Organisation,
                   std::uint64_t Random) {
  const OrganisationKey Key = organisationKey(Organisation.Name);
  const auto Found = this->Buckets.find(Key);
  if (Organisation.RatePerSecond <= 0 || Found == this->Buckets.end())
    return std::nullopt;
  Bucket &State = Found->second;
  this->update();
  this->refill(State);
  if (State.Balance <= 0 || this->exceedsWindow(State))
    return this->delayUntilToken(State, Random);
  const Instant Now = this->Time.now();
  State.Balance -= 1;
  State.Window.add(Now, 1, true);
  ++State.Seen;
  ++State.Own.Admitted;
  State.Own.LastUse = Now;
  this->OwnActive.insert(Key);
  this->countForZone(Key, State, 1);
  return std::nullopt;
}

Duration RateLimits::delayUntilToken(const Bucket &State,
                                     std::uint64_t Random) const {
  const double Missing = std::max(0.0, 1 - State.Balance);
  const double Rate = State.Rate * this->Shares.heardPart();
  const double Wait = std::min(Missing / Rate, MaxRetrySeconds);
  const Duration Expected(static_cast<std::int64_t>(Wait * 1e6));
  const Duration Spread(static_cast<std::int64_t>(
      Random % static_cast<std::uint64_t>(RetrySpread.count())));
  return std::max(MinRetryDelay, Expected + Spread);
}

void RateLimits::subtract(Bucket &State, std::uint64_t Requests) {
  if (Requests == 0)
    return;
  // Until this VM is informed, the balance is its own share, of which only its
  // own requests are subtracted.
  if (this->Informed)
    State.Balance = std::max(State.Balance - static_cast<double>(Requests),
                             -LowestBalanceSeconds * State.Rate - AddedBurst);
  State.Window.add(this->Time.now(), Requests, false);
  State.Seen += Requests;
}

void RateLimits::countForZone(OrganisationKey Key, Bucket &State,
                              std::uint64_t Requests) {
  if (Requests == 0)
    return;
  State.Zone.Admitted += Requests;
  State.Zone.LastUse = this->Time.now();
  this->ZoneActive.insert(Key);
}

void RateLimits::recordHeard(const std::string &Address,
                             std::uint64_t Incarnation) {
  this->Shares.recordHeard(Address, Incarnation);
}

void RateLimits::addVmReport(const std::string &Address,
                             std::uint64_t Incarnation, const UseReport &Report,
                             bool IsCounted, bool IsOwnZone) {
  this->update();
  // What was refilled before is cut off at the capacity now, and the part of
  // the sender only after its requests are subtracted: they used that part.
  for (const OrganisationUse &Use : Report.Uses)
    if (const auto Found = this->Buckets.find(Use.Organisation);
        Found != this->Buckets.end())
      this->refill(Found->second);
  this->recordHeard(Address, Incarnation);
  Source &Sender = this->Vms[Address];
  const bool IsFirst = Sender.Incarnation != Incarnation;
  if (IsFirst)
    Sender = {Incarnation, {}, this->Time.now()};
  // The sender admitted these requests before this VM started.
  const bool IsBase = IsFirst && Report.Informed && !this->Informed;
  for (const OrganisationUse &Use : Report.Uses) {
    const auto Newest = static_cast<std::int64_t>(Use.Admitted);
    const auto [Known, IsNew] =
        Sender.Admitted.try_emplace(Use.Organisation, Newest);
    const auto Found = this->Buckets.find(Use.Organisation);
    std::uint64_t Requests = 0;
    if (IsNew && !IsBase)
      // Earlier ones are more than a window ago, or were counted before this
      // VM forgot the sender.
      Requests = std::min(Use.Admitted, Use.AdmittedRecently);
    else if (Newest > Known->second)
      Requests = static_cast<std::uint64_t>(Newest - Known->second);
    Known->second = std::max(Known->second, Newest);
    if (Found == this->Buckets.end())
      continue;
    Bucket &State = Found->second;
    if (!this->Informed && Report.Informed)
      State.FromInformed = Use;
    if (IsOwnZone)
      this->countForZone(Use.Organisation, State, Requests);
    if (IsCounted)
      this->subtract(State, Requests);
    this->refill(State);
  }
}

std::int64_t RateLimits::ownPart(OrganisationKey Key,
                                 std::uint64_t Sequence) const {
  for (auto Sent = this->SentReports.rbegin(); Sent != this->SentReports.rend();
       ++Sent)
    if (Sent->Sequence <= Sequence)
      if (const auto Found = Sent->Admitted.find(Key);
          Found != Sent->Admitted.end())
        return Found->second;
  const auto Older = this->OlderReports.find(Key);
  return Older == this->OlderReports.end() ? 0 : Older->second;
}

void RateLimits::addZoneReport(const std::string &Zone,
                               std::uint64_t Aggregator,
                               std::optional<std::uint64_t> OwnSequence,
                               const UseReport &Report, bool IsCounted) {
  this->update();
  Source &Sender = this->Zones[Zone];
  if (Sender.Incarnation != Aggregator)
    Sender = {Aggregator, {}, this->Time.now()};
  const bool IsBase = this->Time.now() - Sender.Since <= ReportingTime;
  for (const OrganisationUse &Use : Report.Uses) {
    const std::int64_t Others =
        static_cast<std::int64_t>(Use.Admitted) -
        (OwnSequence ? this->ownPart(Use.Organisation, *OwnSequence) : 0);
    const auto [Known, IsNew] =
        Sender.Admitted.try_emplace(Use.Organisation, Others);
    const std::int64_t Change =
        std::max<std::int64_t>(0, Others - Known->second);
    Known->second += Change;
    const auto Found = this->Buckets.find(Use.Organisation);
    if (Found == this->Buckets.end())
      continue;
    Bucket &State = Found->second;
    if (!this->Informed && Report.Informed)
      State.FromInformed = Use;
    this->refill(State);
    if (!IsCounted)
      continue;
    // The counts of two aggregators begin at different times, so the first ones
    // of each are a base only. Its balance contains what the VMs of its zone
    // admitted before.
    const double Excess = State.Balance - static_cast<double>(Use.Balance);
    if (IsNew && !IsBase)
      this->subtract(State, std::min(static_cast<std::uint64_t>(
                                         std::max<std::int64_t>(0, Others)),
                                     Use.AdmittedRecently));
    else if (IsNew && Report.Informed && Excess > 0)
      this->subtract(State, static_cast<std::uint64_t>(Excess));
    else
      this->subtract(State, static_cast<std::uint64_t>(Change));
  }
}

UseReport RateLimits::makeReport(Counter Bucket::*Kind, Keys &Active,
                                 ReportScope Scope) {
  this->update();
  const Instant Now = this->Time.now();
  std::erase_if(Active, [&](OrganisationKey Key) {
    const Counter &Count = this->Buckets.at(Key).*Kind;
    return Now - Count.LastUse > ReportTime &&
           Count.Admitted == Count.ReportedToAll;
  });
  std::vector<std::pair<std::uint64_t, OrganisationKey>> Changes;
  Changes.reserve(Active.size());
  for (const OrganisationKey Key : Active) {
    const Counter &Count = this->Buckets.at(Key).*Kind;
    if (Scope == ReportScope::Recent)
      Changes.emplace_back(Count.Admitted - Count.ReportedToAll, Key);
    else if (Count.Admitted != Count.Reported)
      Changes.emplace_back(Count.Admitted - Count.Reported, Key);
  }
  const std::size_t Size = std::min(MaxReportedUses, Changes.size());
  std::partial_sort(Changes.begin(),
                    Changes.begin() + static_cast<std::ptrdiff_t>(Size),
                    Changes.end(), std::greater<>());
  Changes.resize(Size);
  UseReport Report;
  Report.Informed = this->Informed;
  Report.Uses.reserve(Size);
  for (const auto &[Change, Key] : Changes) {
    Bucket &State = this->Buckets.at(Key);
    Counter &Count = State.*Kind;
    this->refill(State);
    Count.Reported = Count.Admitted;
    if (Scope == ReportScope::Recent)
      Count.ReportedToAll = Count.Admitted;
    OrganisationUse &Use = Report.Uses.emplace_back();
    Use.Organisation = Key;
    Use.Admitted = Count.Admitted;
    Use.FleetRecently = State.Window.total(Now);
    Use.AdmittedRecently =
        Kind == &Bucket::Own ? State.Window.own(Now) : Use.FleetRecently;
    Use.Balance = static_cast<std::int64_t>(std::floor(State.Balance));
  }
  return Report;
}

UseReport RateLimits::makeReport(std::uint64_t Sequence, ReportScope Scope) {
  UseReport Report = this->makeReport(&Bucket::Own, this->OwnActive, Scope);
  SentReport &Sent = this->SentReports.emplace_back();
  Sent.Sequence = Sequence;
  for (const OrganisationUse &Use : Report.Uses)
    Sent.Admitted[Use.Organisation] = static_cast<std::int64_t>(Use.Admitted);
  if (this->SentReports.size() > MaxSentReports) {
    for (const auto &[Key, Admitted] : this->SentReports.front().Admitted)
      this->OlderReports[Key] = Admitted;
    this->SentReports.pop_front();
  }
  return Report;
}

UseReport RateLimits::makeZoneReport(ReportScope Scope) {
  return this->makeReport(&Bucket::Zone, this->ZoneActive, Scope);
}

double RateLimits::balance(std::string_view Organisation) {
  const auto Found = this->Buckets.find(organisationKey(Organisation));
  if (Found == this->Buckets.end())
    return 0;
  this->update();
  this->refill(Found->second);
  return Found->second.Balance;
}

} // namespace turmericpass
