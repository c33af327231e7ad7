#include "Control/ZoneLease.h"

#include "Core/IdSource.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace turmericpass {

namespace {

struct LeaseValue {
  std::string Holder;
  std::uint64_t Fencing = 0;
};

/// Parses a lease row. The version of the row replaces a missing fencing
/// number, because every new holder has increased the version as well.
LeaseValue parseLease(const TableRow &Row) {
  const nlohmann::json Root = nlohmann::json::parse(Row.Value, nullptr, false);
  LeaseValue Value;
  Value.Fencing = Row.Version;
  if (!Root.is_object())
    return Value;
  if (const auto Holder = Root.find("holder");
      Holder != Root.end() && Holder->is_string())
    Value.Holder = Holder->get<std::string>();
  if (const auto Number = Root.find("fencing");
      Number != Root.end() && Number->is_number_unsigned())
    Value.Fencing = Number->get<std::uint64_t>();
  return Value;
}

} // namespace

ZoneLease::ZoneLease(Table &Rows, IdSource &Ids, const Clock &Time,
                     std::string Zone, std::string Node)
    : Rows(Rows), Ids(Ids), Time(Time), Key("lease/orders/" + std::move(Zone)),
      Node(std::move(Node)) {}

bool ZoneLease::holds() const {
  return this->IsHolder && this->Time.now() - this->RenewedAt < HolderTerm;
}

bool ZoneLease::holdsExclusively() const {
  return this->holds() &&
         this->Time.now() - this->AcquiredAt >= OrderDeadline + ArrivalMargin;
}

void ZoneLease::relinquish() {
  this->HighestRefused = std::max(this->HighestRefused, this->Fencing);
  this->IsHolder = false;
}

void ZoneLease::tick(bool IsCandidate) {
  this->IsCandidate = IsCandidate;
  if (this->IsHolder && !this->holds())
    this->IsHolder = false;
  if (this->CallPending)
    return;
  if (this->IsHolder && this->Time.now() - this->LastWrite < RenewPeriod)
    return;
  if (this->IsHolder || IsCandidate)
    this->read();
}

void ZoneLease::read() {
  this->CallPending = true;
  this->Rows.get(this->Key, [this](const Result<TableRow> &Row) {
    this->CallPending = false;
    this->observe(Row);
  });
}

void ZoneLease::observe(const Result<TableRow> &Row) {
  if (!Row && Row.error().Code != ErrorCode::NotFound)
    return;
  const std::uint64_t Version = Row ? Row->Version : 0;
  const LeaseValue Value = Row ? parseLease(*Row) : LeaseValue{};
  if (this->IsHolder) {
    if (Value.Holder == this->Node && Value.Fencing == this->Fencing)
      this->write(Version, this->Fencing);
    else
      this->IsHolder = false;
    return;
  }
  const Instant Now = this->Time.now();
  if (this->ObservedVersion != Version) {
    this->ObservedVersion = Version;
    this->ObservedSince = Now;
  }
  // A missing row means that the lease was never held. A row with this node's
  // own name may stem from an earlier run whose orders are still in transit.
  const bool IsFree = Version == 0 || Now - this->ObservedSince >= TakeoverTerm;
  if (IsFree && this->IsCandidate)
    this->write(Version, std::max(Value.Fencing, this->HighestRefused) + 1);
}

void ZoneLease::write(std::uint64_t RowVersion, std::uint64_t Number) {
  TableTransaction Write;
  Write.WriteId = this->Ids.longId();
  Write.Checks = {{this->Key, RowVersion}};
  Write.Puts = {
      {this->Key,
       nlohmann::json({{"holder", this->Node}, {"fencing", Number}}).dump()}};
  this->CallPending = true;
  const Instant StartedAt = this->Time.now();
  this->LastWrite = StartedAt;
  const std::string Id = Write.WriteId;
  this->Rows.transact(std::move(Write),
                      [this, Id, Number, StartedAt](const Result<void> &Done) {
                        this->CallPending = false;
                        if (Done)
                          this->confirmLease(Number, StartedAt);
                        else if (Done.error().Code == ErrorCode::Timeout)
                          this->resolveOutcome(Id, Number, StartedAt);
                        else if (Done.error().Code == ErrorCode::Conflict)
                          this->IsHolder = false;
                      });
}

/// Reads the row back after a lost reply. Its write id shows whether the write
/// took effect.
void ZoneLease::resolveOutcome(const std::string &WriteId, std::uint64_t Number,
                               Instant StartedAt) {
  this->CallPending = true;
  this->Rows.get(this->Key, [this, WriteId, Number,
                             StartedAt](const Result<TableRow> &Row) {
    this->CallPending = false;
    if (Row && Row->WriteId == WriteId)
      this->confirmLease(Number, StartedAt);
  });
}

void ZoneLease::confirmLease(std::uint64_t Number, Instant StartedAt) {
  // The term runs from the start of the write, so a process that was paused
  // during the write has less of it left.
  if (!this->IsHolder || this->Fencing != Number)
    this->AcquiredAt = this->Time.now();
  this->IsHolder = true;
  this->Fencing = Number;
  this->RenewedAt = StartedAt;
}

} // namespace turmericpass
