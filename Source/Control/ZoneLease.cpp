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

/// Reads a lease row. The number of a damaged row is taken from its version,
/// which every new holder has raised as well.
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
  return this->Holder && this->Time.now() - this->Renewed < HolderTerm;
}

bool ZoneLease::holdsExclusively() const {
  return this->holds() &&
         this->Time.now() - this->Won >= OrderDeadline + Margin;
}

void ZoneLease::relinquish() {
  this->Refused = std::max(this->Refused, this->Fencing);
  this->Holder = false;
}

void ZoneLease::tick(bool IsCandidate) {
  this->Candidate = IsCandidate;
  if (this->Holder && !this->holds())
    this->Holder = false;
  if (this->Busy)
    return;
  if (this->Holder && this->Time.now() - this->LastWrite < RenewPeriod)
    return;
  if (this->Holder || IsCandidate)
    this->read();
}

void ZoneLease::read() {
  this->Busy = true;
  this->Rows.get(this->Key, [this](const Result<TableRow> &Row) {
    this->Busy = false;
    this->observe(Row);
  });
}

void ZoneLease::observe(const Result<TableRow> &Row) {
  if (!Row && Row.error().Code != ErrorCode::NotFound)
    return;
  const std::uint64_t Version = Row ? Row->Version : 0;
  const LeaseValue Value = Row ? parseLease(*Row) : LeaseValue{};
  if (this->Holder) {
    if (Value.Holder == this->Node && Value.Fencing == this->Fencing)
      this->write(Version, this->Fencing);
    else
      this->Holder = false;
    return;
  }
  const Instant Now = this->Time.now();
  if (this->SeenVersion != Version) {
    this->SeenVersion = Version;
    this->SeenSince = Now;
  }
  // An absent row was never held. A row with this node's own name may be of
  // an earlier run whose orders are still on their way.
  const bool Free = Version == 0 || Now - this->SeenSince >= TakeoverTerm;
  if (Free && this->Candidate)
    this->write(Version, std::max(Value.Fencing, this->Refused) + 1);
}

void ZoneLease::write(std::uint64_t RowVersion, std::uint64_t Number) {
  TableTransaction Write;
  Write.WriteId = this->Ids.longId();
  Write.Checks = {{this->Key, RowVersion}};
  Write.Puts = {
      {this->Key,
       nlohmann::json({{"holder", this->Node}, {"fencing", Number}}).dump()}};
  this->Busy = true;
  const Instant Begun = this->Time.now();
  this->LastWrite = Begun;
  const std::string Id = Write.WriteId;
  this->Rows.transact(std::move(Write),
                      [this, Id, Number, Begun](const Result<void> &Done) {
                        this->Busy = false;
                        if (Done)
                          this->won(Number, Begun);
                        else if (Done.error().Code == ErrorCode::Timeout)
                          this->settle(Id, Number, Begun);
                        else if (Done.error().Code == ErrorCode::Conflict)
                          this->Holder = false;
                      });
}

/// Reads the row back after a lost reply; the write id tells whose it is.
void ZoneLease::settle(const std::string &WriteId, std::uint64_t Number,
                       Instant Begun) {
  this->Busy = true;
  this->Rows.get(this->Key,
                 [this, WriteId, Number, Begun](const Result<TableRow> &Row) {
                   this->Busy = false;
                   if (Row && Row->WriteId == WriteId)
                     this->won(Number, Begun);
                 });
}

void ZoneLease::won(std::uint64_t Number, Instant Begun) {
  // A process that was paused during the write has less of the term left.
  if (!this->Holder || this->Fencing != Number)
    this->Won = this->Time.now();
  this->Holder = true;
  this->Fencing = Number;
  this->Renewed = Begun;
}

} // namespace turmericpass
