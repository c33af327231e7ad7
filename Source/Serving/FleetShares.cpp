#include "Serving/FleetShares.h"

#include <algorithm>
#include <unordered_set>

namespace turmericpass {

namespace {

/// Counting visits every VM, so it is not done for every request.
constexpr Duration UpdateInterval = std::chrono::milliseconds(10);

/// Until the store's list or enough digests have arrived, the number of VMs is
/// taken to be at least this one, so that a VM does not regard itself as the
/// only one.
constexpr std::size_t AssumedCount = 100;
/// Every VM sends a digest within 400 ms, so by then those that can be heard
/// are known.
constexpr Duration ListeningTime = std::chrono::seconds(2);

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

FleetShares::FleetShares(const Clock &Time, const std::string &Self)
    : Time(Time), Self(Self), Count(AssumedCount), StartedAt(Time.now()),
      OwnCreditedTo(Time.now()), UpdatedAt(Time.now()) {}

void FleetShares::setListedVms(const std::vector<std::string> &Addresses) {
  const Instant Now = this->Time.now();
  const std::unordered_set<std::string> Listed(Addresses.begin(),
                                               Addresses.end());
  for (const std::string &Address : Listed)
    if (Address != this->Self)
      this->Vms.try_emplace(Address, Vm{0, Now, Now, false});
  // A VM that is gone but still listed is kept, or the next list would make it
  // a new one.
  std::erase_if(this->Vms, [&](const auto &Each) {
    return !Listed.contains(Each.first) &&
           Now - Each.second.LastSign > PartReturnsAfter;
  });
  this->ListKnown = true;
  this->countVms();
}

void FleetShares::recordHeard(const std::string &Address,
                              std::uint64_t Incarnation) {
  if (Address == this->Self)
    return;
  const Instant Now = this->Time.now();
  const auto [Found, IsNew] =
      this->Vms.try_emplace(Address, Vm{Incarnation, Now, Now, true});
  Vm &Known = Found->second;
  const bool WasUnheard =
      IsNew || !Known.WasHeard || Now - Known.LastSign > UnheardAfter;
  // A VM that was silent for longer had no part any more.
  if (Now - Known.LastSign <= PartReturnsAfter)
    this->Credit +=
        seconds(Now - Known.CreditedTo) / static_cast<double>(this->Count);
  Known = {Incarnation, Now, Now, true};
  if (WasUnheard)
    this->countVms();
}

void FleetShares::countVms() {
  const Instant Now = this->Time.now();
  this->UpdatedAt = Now;
  std::size_t Counted = 1;
  std::size_t HeardVms = 1;
  double Ages = 0;
  for (const auto &[Address, Known] : this->Vms) {
    const Duration Silence = Now - Known.LastSign;
    if (Silence > PartReturnsAfter)
      continue;
    ++Counted;
    HeardVms += Known.WasHeard && Silence <= UnheardAfter;
    Ages += seconds(std::min(MaxAge, Silence));
  }
  if (!this->ListKnown &&
      (HeardVms == 1 || Now - this->StartedAt < ListeningTime))
    Counted = std::max(Counted, AssumedCount);
  this->Count = Counted;
  this->Heard = HeardVms;
  this->MeanAge = Ages / static_cast<double>(Counted);
}

void FleetShares::update() {
  const Instant Now = this->Time.now();
  const double Own = seconds(Now - this->OwnCreditedTo) * this->ownPart();
  this->Credit += Own;
  this->OwnCredit += Own;
  this->OwnCreditedTo = Now;
  if (Now - this->UpdatedAt >= UpdateInterval)
    this->countVms();
}

double FleetShares::heardPart() const {
  return static_cast<double>(this->Heard) / static_cast<double>(this->Count);
}

} // namespace turmericpass
